#ifndef WISTERIAHATCH_CORE_PROCESS_DOCUMENT_STORE_HPP
#define WISTERIAHATCH_CORE_PROCESS_DOCUMENT_STORE_HPP

#include "core/base/time.hpp"
#include "core/process/control_faults.hpp"
#include "core/process/document_transfer.hpp"
#include "core/version/document.hpp"
#include "core/version/document_check.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriahatch
{

// Ask a peer which document it has by gossip.exchange; report the answer with
// handle_peer_key. A peer that does not answer needs no report.
struct request_peer_key
{
    std::string peer;
};

// Get a peer's document by document.fetch; report the answer with
// handle_transfer or handle_fetch_failure.
struct fetch_document
{
    std::string peer;
    document_request request;
};

// Ask the configuration service. Report a document with handle_text, anything
// else with handle_service_answer.
struct read_configuration
{
    // True: keep the request open until the document changes (a watch).
    bool is_watch = false;
};

// Make the document the one that new requests use, and tell membership its
// key.
struct activate_document
{
    document_ptr accepted;
};

using document_action = std::variant<request_peer_key, fetch_document,
                                     read_configuration, activate_document>;

// What became of a text.
enum class document_verdict : std::uint8_t
{
    accepted,
    // The document is in force already.
    same,
    // Its key is lower than the one in force.
    stale,
    // It has faults, or belongs to another environment.
    invalid,
};

// Returns the verdict's name as used in logs and metrics.
std::string_view to_string(document_verdict verdict);

// Result of a text that arrived.
struct document_outcome
{
    document_verdict verdict = document_verdict::invalid;
    // Key of the text; without serial when it is invalid.
    document_key key;
    std::vector<document_problem> problems;
    std::vector<document_action> actions;
};

// The document in force, the rule by which an instance becomes ready, and who
// asks the configuration service. No I/O and no clock; the control thread owns
// it.
class document_store
{
public:
    struct options
    {
        // Peer address of this instance.
        std::string instance;
        // Documents of another environment are invalid.
        std::string environment;
        // A joining instance waits this long for its peers' answers.
        std::chrono::milliseconds join_timeout{3000};
        // Peers that a joining instance asks at most.
        std::size_t max_join_peers = 16;
        // A fetch from a peer without answer is given up after this time.
        std::chrono::milliseconds fetch_timeout{2000};
        // Instances that keep a watch open: 16 watches and one read in 90 s
        // by each of 4,900 nodes stay far below 2,000 calls/s.
        std::size_t reader_count = 16;
        std::chrono::milliseconds poll_interval_min{60000};
        std::chrono::milliseconds poll_interval_max{120000};
        // Pause of a reader after a failed or empty answer.
        std::chrono::milliseconds retry_delay{1000};
        // Texts kept as bases of deltas.
        std::size_t max_delta_bases = 4;
        // For tests only.
        control_fault fault = control_fault::none;
    };

    // Parses and checks a text; tests give a cheap stand-in.
    using checker = std::function<document_check(std::string_view)>;

    // `seed` makes the random read times repeatable.
    document_store(options values, std::uint64_t seed,
                   checker check = check_document);

    // Starts joining: asks the service and the known peers.
    std::vector<document_action> start(std::span<const std::string> peers,
                                       time_point now);
    // The process stood still: joins again before it is ready.
    std::vector<document_action>
    handle_pause(std::span<const std::string> peers, time_point now);
    // A text arrived from the configuration service.
    document_outcome handle_text(std::string_view text, time_point now);
    // The service answered without a document, or did not answer.
    void handle_service_answer(time_point now);
    // A peer answered document.fetch. A delta that does not lead to the named
    // digest is invalid, and the whole text is asked for.
    document_outcome handle_transfer(const std::string& peer,
                                     const document_transfer& transfer,
                                     time_point now);
    // A peer did not answer document.fetch.
    std::vector<document_action> handle_fetch_failure(const std::string& peer,
                                                      time_point now);
    // A peer's message names the document in force at the peer.
    std::vector<document_action> handle_peer_key(const std::string& peer,
                                                 const document_key& key,
                                                 time_point now);
    // The directory is known; a joining instance asks the peers that it did
    // not know yet.
    std::vector<document_action>
    handle_directory(std::span<const std::string> peers, time_point now);
    // The live members changed; decides who asks the service.
    std::vector<document_action>
    set_members(std::span<const std::string> live_addresses, time_point now);
    // Returns the reads that are due.
    std::vector<document_action> handle_timer(time_point now);

    // The document in force, or nullptr.
    const document_ptr& current() const;
    // The key in force; serial 0 without a document.
    document_key key() const;
    // Answers a peer's document.fetch.
    document_transfer answer_fetch(const document_request& request) const;
    // Digests of the texts that a delta may build on, newest first.
    document_request fetch_request() const;
    // True when the instance may serve: it holds a document and the directory,
    // and every known peer has answered or the waiting time has passed.
    bool is_ready(time_point now) const;
    // True when this instance keeps a watch on the configuration service.
    bool is_reader() const;

private:
    struct pending_fetch
    {
        std::string peer;
        time_point started;
    };

    document_outcome accept(std::string_view text);
    // Returns the text that a transfer leads to, if any.
    std::optional<std::string> unpack(const document_transfer& transfer) const;
    void reject(const std::string& digest);
    // Asks peers while there is room for them.
    std::vector<document_action> ask_peers(std::span<const std::string> peers);
    // Forgets offers that are no longer news and fetches the greatest.
    void follow_offers(time_point now, std::vector<document_action>& actions);
    void schedule_read(document_verdict verdict, time_point now);

    options chosen;
    std::mt19937_64 random;
    checker check;
    document_ptr in_force;
    // Newest first; the first is the one in force.
    std::deque<document_ptr> bases;
    // Digests of faulty texts, so that they are not fetched again and again.
    std::deque<std::string> rejected;
    bool has_directory = false;
    // Peers whose answer the joining instance waits for.
    std::set<std::string> awaited;
    // Peers asked since the instance started joining.
    std::set<std::string> asked;
    time_point join_deadline;
    // Greater keys that peers named, by peer.
    std::map<std::string, document_key> offers;
    std::optional<pending_fetch> pending;
    bool watches = false;
    // A read or watch is under way.
    bool is_reading = false;
    time_point next_read;
};

}

#endif
