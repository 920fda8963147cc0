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

// Action: request a peer's document key by gossip.exchange. The caller passes
// the answer to handle_peer_key; a missing answer need not be reported.
struct request_peer_key
{
    std::string peer;
};

// Action: fetch a peer's document by document.fetch. The caller passes the
// result to handle_transfer or handle_fetch_failure.
struct fetch_document
{
    std::string peer;
    document_request request;
};

// Action: read the document from the configuration service. The caller passes a
// document to handle_text and reports anything else with handle_service_answer.
struct read_configuration
{
    // True if the request stays open until the document changes.
    bool is_watch = false;
};

// Action: use the document for new requests and pass its key to membership.
struct activate_document
{
    document_ptr accepted;
};

using document_action = std::variant<request_peer_key, fetch_document,
                                     read_configuration, activate_document>;

// Result of checking a received text.
enum class document_verdict : std::uint8_t
{
    accepted,
    // The document is already active.
    same,
    // Its key is lower than that of the active document.
    stale,
    // It has problems or belongs to another environment.
    invalid,
};

// Returns the verdict's name as used in logs and metrics.
std::string_view to_string(document_verdict verdict);

// Outcome of processing a received text.
struct document_outcome
{
    document_verdict verdict = document_verdict::invalid;
    // Key of the document; empty if the text failed the check.
    document_key key;
    std::vector<document_problem> problems;
    std::vector<document_action> actions;
};

// Holds the active document, decides when the instance is ready to serve, and
// decides when it reads the configuration service or fetches from peers. Does
// no I/O and reads no clock; owned by the control thread.
class document_store
{
public:
    struct options
    {
        // Peer address of this instance.
        std::string instance;
        // Documents of another environment are invalid.
        std::string environment;
        // Maximum time that a joining instance waits for its peers' answers.
        std::chrono::milliseconds join_timeout{3000};
        // Maximum number of peers that a joining instance asks.
        std::size_t max_join_peers = 16;
        // An unanswered fetch from a peer is abandoned after this time.
        std::chrono::milliseconds fetch_timeout{2000};
        // Number of instances that watch the configuration service. 16 watches
        // and one read per 90 s from each of 4,900 nodes stay far below 2,000
        // calls/s.
        std::size_t reader_count = 16;
        // Bounds of the random interval at which other instances read it.
        std::chrono::milliseconds poll_interval_min{60000};
        std::chrono::milliseconds poll_interval_max{120000};
        // Delay until the next read of a watching instance, or of one without
        // a document, after an answer without a new document.
        std::chrono::milliseconds retry_delay{1000};
        // Number of documents kept as bases of deltas, the active one included.
        std::size_t max_delta_bases = 4;
        // Set by tests only.
        control_fault fault = control_fault::none;
    };

    // Parses and checks a text. Tests substitute a simpler function.
    using checker = std::function<document_check(std::string_view)>;

    // `seed` makes the random read times reproducible.
    document_store(options opts, std::uint64_t seed,
                   checker check = check_document);

    // Starts joining: returns requests to the configuration service and to the
    // known peers.
    std::vector<document_action> start(std::span<const std::string> peers,
                                       time_point now);
    // Handles a pause of the process: the instance joins again before it is
    // ready.
    std::vector<document_action>
    handle_pause(std::span<const std::string> peers, time_point now);
    // Handles a text from the configuration service.
    document_outcome handle_text(std::string_view text, time_point now);
    // Handles an answer of the configuration service without a document, or
    // a missing answer.
    void handle_service_answer(time_point now);
    // Handles a peer's answer to document.fetch. A delta that does not produce
    // the document with the named key is invalid, and the whole text is
    // requested.
    document_outcome handle_transfer(const std::string& peer,
                                     const document_transfer& transfer,
                                     time_point now);
    // Handles a failed document.fetch.
    std::vector<document_action> handle_fetch_failure(const std::string& peer,
                                                      time_point now);
    // Handles a peer's message that names its active document.
    std::vector<document_action> handle_peer_key(const std::string& peer,
                                                 const document_key& key,
                                                 time_point now);
    // Handles a newly read directory; a joining instance asks the peers that it
    // has not asked yet.
    std::vector<document_action>
    handle_directory(std::span<const std::string> peers, time_point now);
    // Updates the live members, by which each instance decides whether it
    // watches the configuration service.
    std::vector<document_action>
    set_members(std::span<const std::string> live_addresses, time_point now);
    // Returns the reads that are due, and the next fetch if the current one has
    // timed out.
    std::vector<document_action> handle_timer(time_point now);

    // Returns the active document, or nullptr.
    const document_ptr& current() const;
    // Returns the key of the active document; serial 0 without one.
    document_key key() const;
    // Returns the answer to a peer's document.fetch.
    document_transfer answer_fetch(const document_request& request) const;
    // Returns a request with the digests of the documents on which a delta may
    // be based, newest first.
    document_request fetch_request() const;
    // Returns true if the instance may serve: it holds a document and the
    // directory, and every peer asked has answered or the join time-out has
    // passed.
    bool is_ready(time_point now) const;
    // Returns true if this instance watches the configuration service.
    bool is_reader() const;

private:
    struct pending_fetch
    {
        std::string peer;
        time_point started;
    };

    document_outcome accept(std::string_view text);
    // Returns the transferred text, with a delta applied to its base, if any.
    std::optional<std::string> unpack(const document_transfer& transfer) const;
    void reject(const std::string& digest);
    // Asks further peers, up to max_join_peers.
    std::vector<document_action> ask_peers(std::span<const std::string> peers);
    // Removes peer keys that are not newer than the active document or were
    // rejected, and fetches the greatest remaining one.
    void fetch_newest(time_point now, std::vector<document_action>& actions);
    void schedule_read(document_verdict verdict, time_point now);

    options config;
    std::mt19937_64 random;
    checker check;
    document_ptr active;
    // Newest first; the first is the active document.
    std::deque<document_ptr> bases;
    // Digests under which a peer delivered a faulty or different text, so that
    // they are not fetched repeatedly.
    std::deque<std::string> rejected;
    bool has_directory = false;
    // Peers whose answer the joining instance waits for.
    std::set<std::string> awaited;
    // Peers asked since the instance started joining.
    std::set<std::string> asked;
    time_point join_deadline;
    // Keys that peers announced, by peer.
    std::map<std::string, document_key> peer_keys;
    std::optional<pending_fetch> pending;
    bool is_watching = false;
    // True while a read or watch request is open.
    bool is_reading = false;
    time_point next_read;
};

}

#endif
