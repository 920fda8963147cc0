#ifndef WISTERIAHATCH_TESTS_CORE_PROCESS_FLEET_HPP
#define WISTERIAHATCH_TESTS_CORE_PROCESS_FLEET_HPP

#include "core/process/document_store.hpp"
#include "core/process/membership.hpp"
#include "core/process/pause_detector.hpp"
#include "core/request/run_registry.hpp"

#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wisteriahatch::test_support
{

// Kinds of steps in a generated case.
enum class command_kind : std::uint8_t
{
    submit,
    resend,
    kill,
    replace,
    pause,
    wake,
    split,
    heal,
    list_lags,
    list_current,
    service_down,
    service_stale,
    service_up,
    publish,
    publish_two_at_once,
    publish_old,
    upstream,
};

// How the simulated upstream treats requests.
enum class upstream_mode : std::uint8_t
{
    answers,
    sheds,
    sheds_twice,
    refuses_connections,
    silent_unstarted,
    silent_started,
    answers_late,
    answers_twice,
    // Chosen at random from the above for each request.
    mixed,
};

// One step of a case. The numbers select instances, runs and times modulo the
// available count, so that every step is valid in every state.
struct command
{
    command_kind kind = command_kind::submit;
    unsigned first = 0;
    unsigned second = 0;
    unsigned wait_ms = 0;
};

std::ostream& operator<<(std::ostream& stream, const command& step);

// What the test observed of one run.
struct run_history
{
    run_id id;
    time_point issued;
    std::chrono::milliseconds deadline{0};
    unsigned executions = 0;
    // The final outcome that was reported to a caller.
    std::optional<run_outcome> reported_outcome;
};

// Simulates several instances on a network that delays, drops, duplicates and
// reorders messages, with models of the upstream, the configuration service and
// the platform's list. Time passes only in `advance`.
class fleet
{
public:
    fleet(std::uint64_t seed, control_fault injected);

    void apply(const command& step);
    void advance(duration time);
    // Heals the network, wakes every instance, delivers the platform's current
    // list to each and simulates `rounds` rounds of 1 s. Returns the last round
    // in which an instance had an older document than the newest at healing.
    int settle(int rounds);
    // Returns the first violated invariant; empty if none.
    const std::string& violation() const;
    // Returns how often each kind of event occurred.
    const std::map<std::string, unsigned>& event_counts() const;

private:
    static constexpr unsigned slots = 4;

    // One instance. Events reach it only while it is up.
    struct node
    {
        unsigned slot = 0;
        std::uint64_t nonce = 0;
        bool is_up = false;
        bool is_paused = false;
        std::unique_ptr<run_registry> runs;
        std::unique_ptr<membership> members;
        std::unique_ptr<document_store> documents;
        std::unique_ptr<pause_detector> pauses;
        bool has_list = false;
        time_point paused_at;
        // End of the last pause that was long enough to be noticed.
        time_point resumed_at;
        document_key last_key;
        std::uint64_t seen_generation = 0;
        std::uint64_t seen_revision = 0;
        std::set<std::uint64_t> open_calls;
        std::map<std::uint64_t, std::function<void(node&, const answer_run&)>>
            waiters;
        // Events that arrived during a pause.
        std::vector<std::function<void(node&)>> backlog;
    };

    using event_handler = std::function<void(node&)>;
    using answer_handler = std::function<void(node&, const answer_run&)>;

    // Random numbers for the generated times and decisions.
    unsigned random_below(unsigned bound);
    bool random_chance(unsigned percent);
    duration network_delay();

    // Runs the handler on the instance in the slot after a delay, if its
    // incarnation is `nonce`; 0 stands for any incarnation.
    void at(duration delay, unsigned slot, std::uint64_t nonce,
            event_handler handler);
    // Does the same over the network between instances, which may lose or
    // duplicate the message.
    void send(unsigned from, unsigned to, std::uint64_t nonce,
              event_handler handler);
    void deliver(node& target, const event_handler& handler);
    // Ticks the pause detector, as at the start of every event of an instance,
    // and handles the pause that it may report.
    void check_for_pause(node& target);
    void tick(node& target);
    void start(unsigned slot);
    void wake(node& target);
    void check(node& target);
    void report_violation(const std::string& text);

    static std::string address(unsigned slot);
    static unsigned slot_of(const std::string& address);

    void gossip(node& from, const membership::exchange& exchange);
    void learn_key(node& at, const gossip_message& message);
    void deliver_list(node& target);
    void perform(node& from, const std::vector<document_action>& actions);
    void fetch(node& from, const fetch_document& action);
    void read(node& from, bool is_watch, int polls);
    void publish(std::uint64_t number, const std::string& marker);
    void publish(const std::string& text);

    // Returns the mode for the next request.
    upstream_mode next_upstream_mode();
    void issue_run(const command& step);
    void send_submission(unsigned slot, const std::string& label);
    void submit(node& target, const std::string& label,
                const answer_handler& reply);
    void forward(node& from, const std::string& label,
                 const answer_handler& reply);
    void perform(node& from, const std::vector<run_action>& actions);
    void try_send(node& from, const dispatch_run& action, time_point queued);
    void reach_upstream(unsigned slot, std::uint64_t nonce,
                        const dispatch_run& action);
    void execute(const std::string& label);
    void check_answer(const std::string& label, const answer_run& answer,
                      bool is_from_owner);

    control_fault injected;
    std::mt19937_64 random;
    time_point now{std::chrono::hours(1)};
    std::vector<node> nodes{slots};
    std::multimap<time_point, std::function<void()>> events;
    std::uint64_t next_number = 1;
    // Partition of the network that each slot is in.
    std::vector<unsigned> partitions = std::vector<unsigned>(slots, 0);
    bool is_lossy = true;

    std::vector<std::string> published;
    std::string service_text;
    std::string stale_text;
    std::uint64_t revision = 0;
    std::uint64_t serial = 0;
    bool is_service_down = false;
    bool is_service_stale = false;
    bool is_list_lagging = false;
    std::vector<std::string> listed_addresses;

    upstream_mode mode = upstream_mode::mixed;
    // Runs by label, which is also the payload.
    std::map<std::string, run_history> runs;
    std::string first_violation;
    std::map<std::string, unsigned> counts;
};

}

#endif
