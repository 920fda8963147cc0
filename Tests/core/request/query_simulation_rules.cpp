#include "core/request/query_simulation.hpp"

#include <algorithm>

namespace wisteriahatch
{

const group_spec& query_simulation::group_of(const std::string& shard,
                                             index_version version) const
{
    const auto index =
        std::ranges::find(this->service.indexes, version, &index_spec::version);
    const auto spec =
        std::ranges::find(index->shards, shard, &shard_spec::name);
    require(spec != index->shards.end(), "shard in map");
    return this->service.groups[spec->group];
}

bool query_simulation::may_be_asked(const std::string& replica,
                                    index_version version) const
{
    const auto entry = this->upstreams->find(replica);
    return entry != this->upstreams->end() && !entry->second->is_draining() &&
           entry->second->may_hold(version);
}

void query_simulation::check_send(std::size_t query, const send_attempt& send)
{
    auto& entry = this->queries[query];
    require(this->now < entry.deadline && send.deadline == entry.deadline,
            "nothing sent after the deadline");
    if (entry.plans == 0 || entry.version != send.version)
    {
        const time_point started{std::chrono::seconds(1000)};
        require(++entry.plans <= 2, "one second plan");
        require(entry.plans == 1 || 2 * (entry.deadline - this->now) >=
                                        entry.deadline - started,
                "half the time left for a second plan");
        this->statistics.second_plans += entry.plans == 2;
        entry.version = send.version;
        entry.asked.clear();
    }
    require(this->may_be_asked(send.replica, send.version),
            "replica may be asked");
    const auto& group = this->group_of(send.shard, send.version);
    require(std::ranges::count(group.replicas, send.replica,
                               &replica_spec::name) == 1,
            "replica is in the group");
    require(this->wire_ids.insert(send.wire_request_id).second,
            "unique wire id");

    const bool is_first = entry.plans == 1 && entry.asked[send.shard].empty();
    const bool is_hedge =
        std::ranges::any_of(this->sent,
                            [&](const sent_attempt& other)
                            {
                                return other.query == query &&
                                       !other.has_ended &&
                                       other.send.version == send.version &&
                                       other.send.shard == send.shard;
                            });
    require(entry.asked[send.shard].insert(send.replica).second,
            "each replica once");
    if (is_first)
        this->millitokens = std::min(
            10000,
            this->millitokens +
                static_cast<int>(this->caller_class.hedge_budget_percent * 10));
    else if (is_hedge)
        require(this->millitokens >= 1000, "hedge within budget");
    if (!is_first && this->millitokens >= 1000)
        this->millitokens -= 1000;
    this->statistics.hedges += is_hedge;
    this->statistics.retries += !is_first && !is_hedge;

    ++entry.sent;
    this->upstreams->at(send.replica)->record_start({});
    this->sent.push_back({query, send, this->now});
    this->answer_attempt(this->sent.size() - 1);
}

void query_simulation::check_answer(std::size_t query,
                                    const query_answer& answer)
{
    auto& entry = this->queries[query];
    entry.is_finished = true;
    require(this->now <= entry.deadline, "ends by the deadline");
    require(answer.request_id == "same" && answer.sent == entry.sent,
            "request id and number of sub-requests");
    require(entry.plans == 0 || answer.version == entry.version,
            "version of the last plan");
    const auto index = std::ranges::find(this->service.indexes, answer.version,
                                         &index_spec::version);
    require(index != this->service.indexes.end(), "known version");

    // The two lists are the map's shards, each once and in the map's order.
    std::vector<row> reference;
    auto covered = answer.covered.begin();
    auto lacked = answer.lacked.begin();
    for (const auto& shard : index->shards)
    {
        if (covered != answer.covered.end() && *covered == shard.name)
        {
            ++covered;
            const auto rows = this->rows_of(query, answer.version, shard.name);
            reference.insert(reference.end(), rows.begin(), rows.end());
            continue;
        }
        require(lacked != answer.lacked.end() && *lacked == shard.name,
                "each shard listed once");
        ++lacked;
        // Before the deadline a shard may be lacked only if a sub-request was
        // sent to every replica that allows it.
        for (const auto& replica :
             this->group_of(shard.name, answer.version).replicas)
            require(this->now == entry.deadline ||
                        !this->may_be_asked(replica.name, answer.version) ||
                        entry.asked[shard.name].contains(replica.name),
                    "no replica left for a lacked shard");
    }
    require(covered == answer.covered.end(), "no other shard covered");
    require(lacked == answer.lacked.end(), "no other shard lacked");
    std::ranges::sort(reference);
    require(answer.rows == reference, "rows equal the reference answer");
    require(answer.is_complete == answer.lacked.empty(),
            "complete without lacked shards");
    require(answer.needed == index->shards.size(), "needed shards");
    require(std::ranges::none_of(
                this->sent, [&](const sent_attempt& attempt)
                { return attempt.query == query && !attempt.has_ended; }),
            "nothing left running");
    this->statistics.complete += answer.is_complete;
    this->statistics.partial += !answer.is_complete && !answer.covered.empty();
    this->statistics.deadline_ends += this->now == entry.deadline;
}

}
