#include "core/request/query_simulation.hpp"

#include <algorithm>

namespace wisteriahatch
{

using std::chrono::milliseconds;

namespace
{

constexpr std::string_view domains[] = {"d0", "d1", "d2"};

}

query_simulation::query_simulation(choices& decisions, injected_fault fault,
                                   query_statistics& statistics)
    : decide(decisions)
    , fault(fault)
    , statistics(statistics)
    , random(decisions.below(1000))
{
    this->make_service();
    this->make_queries();
}

void query_simulation::make_service()
{
    const std::size_t groups = 1 + this->decide.below(3);
    const std::uint64_t versions = 1 + this->decide.below(3);
    upstream_table table;
    for (std::size_t group = 0; group < groups; ++group)
    {
        group_spec spec{.name = std::to_string(group)};
        const std::size_t replicas = 3 - this->decide.below(3);
        for (std::size_t replica = 0; replica < replicas; ++replica)
        {
            const std::string name =
                "g" + std::to_string(group) + "r" + std::to_string(replica);
            spec.replicas.push_back({name, std::string(domains[replica])});
            auto state = std::make_shared<upstream_state>(
                name, std::string(domains[replica]), this->now);
            std::vector<index_version> reported;
            for (std::uint64_t version = 1; version <= versions; ++version)
            {
                if (!this->decide.one_in(5))
                    reported.push_back({version});
            }
            for (const auto version : reported)
            {
                if (!this->decide.one_in(5))
                    this->held[name].insert(version);
            }
            if (this->decide.one_in(2))
                state->set_versions(reported);
            // Some replicas are in the document but not in the table.
            if (!this->decide.one_in(10))
                table.emplace(name, std::move(state));
        }
        this->service.groups.push_back(std::move(spec));
    }
    for (std::uint64_t version = versions; version >= 1; --version)
    {
        index_spec index{.version = {version}};
        const std::size_t shards = 1 + this->decide.below(4);
        for (std::size_t shard = 0; shard < shards; ++shard)
            index.shards.push_back(
                {"s" + std::to_string(shard), this->decide.below(groups)});
        this->service.indexes.push_back(std::move(index));
    }
    this->upstreams = std::make_shared<const upstream_table>(std::move(table));
}

void query_simulation::make_queries()
{
    static constexpr const char* triggers[] = {"fixed", "quantile", "never"};
    static constexpr const char* selectors[] = {"two_choices",
                                                "least_in_flight", "random"};
    static constexpr double percents[] = {5, 0, 50, 100};
    this->shared = std::make_unique<service_state>(
        service_state::options{.selector = selectors[this->decide.below(3)],
                               .hedge_trigger = triggers[this->decide.below(3)],
                               .fixed_hedge_delay = milliseconds(5)});
    this->caller_class.hedge_budget_percent = percents[this->decide.below(4)];
    for (unsigned tokens = this->decide.below(4); tokens > 0; --tokens)
    {
        this->shared->budget().earn(100);
        this->millitokens += 1000;
    }
    this->queries.resize(1 + this->decide.below(3));
    for (auto& entry : this->queries)
    {
        entry.deadline =
            this->now + milliseconds(100 - 20 * this->decide.below(4));
        entry.machine = std::make_unique<query>(
            query_options{.request_id = "same",
                          .upstreams = this->upstreams,
                          .service = &this->service,
                          .caller_class = &this->caller_class,
                          .shared_state = this->shared.get(),
                          .random = &this->random,
                          .failure_domain = "d1",
                          .deadline = entry.deadline,
                          .fault = this->fault});
    }
}

std::vector<row> query_simulation::rows_of(std::size_t query,
                                           index_version version,
                                           const std::string& shard) const
{
    // A few unsorted rows with repeated keys and duplicates, which differ
    // between queries, versions and shards.
    const std::string value = "v" + std::to_string(version.value) + shard +
                              "q" + std::to_string(query);
    const auto count = std::hash<std::string>()(value) % 4;
    std::vector<row> rows;
    for (std::size_t number = count; number > 0; --number)
        rows.push_back({"k" + std::to_string(number / 2), value});
    return rows;
}

search_reply query_simulation::true_reply(std::size_t sent_index) const
{
    const auto& attempt = this->sent[sent_index];
    const auto& send = attempt.send;
    return {.request_id = send.wire_request_id,
            .shard = send.shard,
            .version = send.version,
            .rows = this->rows_of(attempt.query, send.version, send.shard)};
}

void query_simulation::apply(std::size_t query,
                             std::vector<query_action> actions)
{
    auto& entry = this->queries[query];
    for (auto& action : actions)
    {
        require(!entry.is_finished, "no action after finish_query");
        if (const auto* send = std::get_if<send_attempt>(&action))
            this->check_send(query, *send);
        else if (const auto* timer = std::get_if<set_timer>(&action))
            entry.timer = timer->at;
        else if (const auto* finish = std::get_if<finish_query>(&action))
            this->check_answer(query, finish->answer);
        else
        {
            const auto id = std::get<cancel_attempt>(action).attempt;
            const auto attempt =
                std::ranges::find_if(this->sent,
                                     [&](const sent_attempt& candidate) {
                                         return candidate.query == query &&
                                                candidate.send.attempt == id;
                                     });
            require(attempt != this->sent.end() && !attempt->has_ended,
                    "cancel names a running attempt");
            attempt->has_ended = true;
            this->upstreams->at(attempt->send.replica)->record_cancel();
        }
    }
    // Without a timer at or before the deadline the query could hang.
    require(entry.is_finished ||
                (entry.timer && *entry.timer <= entry.deadline),
            "timer by the deadline");
}

void query_simulation::answer_attempt(std::size_t sent_index)
{
    static constexpr error_kind kinds[] = {
        error_kind::connect_failed, error_kind::upstream_shed,
        error_kind::truncated_reply, error_kind::upstream_timeout,
        error_kind::wrong_version};
    const auto& send = this->sent[sent_index].send;
    const auto add_true_outcome = [&]
    {
        if (this->held[send.replica].contains(send.version))
            this->pending_messages.push_back(
                {sent_index, this->true_reply(sent_index)});
        else
            this->pending_messages.push_back(
                {sent_index, std::nullopt, error_kind::wrong_version});
    };
    switch (this->decide.below(11))
    {
    case 4: // never answers
        return;
    case 5:
        this->pending_messages.push_back(
            {sent_index, std::nullopt,
             kinds[this->decide.below(std::size(kinds))]});
        return;
    case 6:
        add_true_outcome();
        add_true_outcome();
        return;
    case 7: // an answer from another index version
    {
        auto reply = this->true_reply(sent_index);
        reply.version.value += 1;
        reply.rows = this->rows_of(this->sent[sent_index].query, reply.version,
                                   reply.shard);
        this->pending_messages.push_back({sent_index, std::move(reply)});
        return;
    }
    case 8: // the answer to another attempt, and perhaps that to this one
        this->pending_messages.push_back(
            {sent_index, this->true_reply(this->decide.below(sent_index + 1))});
        if (this->decide.one_in(2))
            add_true_outcome();
        return;
    case 9:
        this->held[send.replica].erase(send.version);
        add_true_outcome();
        return;
    default:
        add_true_outcome();
    }
}

bool query_simulation::is_any_running() const
{
    return !std::ranges::all_of(this->queries, &running_query::is_finished);
}

void query_simulation::deliver(std::size_t message_index)
{
    const message received = std::move(this->pending_messages[message_index]);
    this->pending_messages.erase(this->pending_messages.begin() +
                                 static_cast<std::ptrdiff_t>(message_index));
    auto& attempt = this->sent[received.sent];
    auto& replica = *this->upstreams->at(attempt.send.replica);
    if (received.kind == error_kind::wrong_version)
    {
        const auto& versions = this->held[attempt.send.replica];
        replica.set_versions(std::vector(versions.begin(), versions.end()));
    }
    const bool was_ended = std::exchange(attempt.has_ended, true);
    if (!was_ended && received.reply)
        replica.record_success(this->now - attempt.started, this->now);
    else if (!was_ended)
        replica.record_failure(milliseconds(100), this->now);

    const auto number = attempt.query;
    const auto id = attempt.send.attempt;
    auto& machine = *this->queries[number].machine;
    auto actions = received.reply
                       ? machine.handle_reply(id, *received.reply, this->now)
                       : machine.handle_failure(id, received.kind, this->now);
    this->statistics.ignored_messages += was_ended;
    require(!was_ended || actions.empty(), "ended attempts are ignored");
    if (!actions.empty())
        this->apply(number, std::move(actions));
}

void query_simulation::advance(time_point to)
{
    // More timers than 3 queries x 12 attempts can set, because the intervals
    // between the timers of an attempt double.
    for (int fired = 0; fired < 1000; ++fired)
    {
        std::size_t first = this->queries.size();
        for (std::size_t query = 0; query < this->queries.size(); ++query)
        {
            const auto& entry = this->queries[query];
            if (!entry.is_finished && *entry.timer <= to &&
                (first == this->queries.size() ||
                 *entry.timer < *this->queries[first].timer))
                first = query;
        }
        if (first == this->queries.size())
        {
            this->now = std::max(this->now, to);
            return;
        }
        auto& entry = this->queries[first];
        this->now = std::max(this->now, *std::exchange(entry.timer, {}));
        this->apply(first, entry.machine->handle_timer(this->now));
    }
    RC_FAIL("a query sets timers without end");
}

void query_simulation::advance_to_next_timer()
{
    std::optional<time_point> next;
    for (const auto& entry : this->queries)
    {
        if (!entry.is_finished && (!next || *entry.timer < *next))
            next = entry.timer;
    }
    this->advance(*next);
}

void query_simulation::disturb_replica()
{
    if (this->upstreams->empty())
        return;
    auto entry = this->upstreams->begin();
    std::advance(entry, this->decide.below(this->upstreams->size()));
    auto& versions = this->held[entry->first];
    if (this->decide.one_in(3))
        entry->second->set_draining(true);
    else if (!versions.empty())
        versions.erase(versions.begin());
}

void query_simulation::run()
{
    for (std::size_t query = 0; query < this->queries.size(); ++query)
        this->apply(query, this->queries[query].machine->start(this->now));
    for (int step = 0; step < 60 && this->is_any_running(); ++step)
    {
        switch (this->decide.below(8))
        {
        case 5:
            this->advance(this->now + milliseconds(this->decide.below(8)));
            break;
        case 6:
            this->advance_to_next_timer();
            break;
        case 7:
            this->disturb_replica();
            break;
        default:
            if (!this->pending_messages.empty())
                this->deliver(
                    this->decide.below(this->pending_messages.size()));
        }
    }
    while (this->is_any_running())
        this->advance_to_next_timer();
    while (!this->pending_messages.empty())
        this->deliver(0);
}

}
