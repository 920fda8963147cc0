#include "core/process/document_store.hpp"

#include "core/version/document_delta.hpp"
#include "core/version/ownership.hpp"

#include <algorithm>
#include <utility>

namespace wisteriahatch
{

namespace
{

// Rendezvous hashing key that ranks the instances for watching the
// configuration service.
constexpr std::string_view reader_key = "config-reader";

// Number of rejected digests that are remembered.
constexpr std::size_t max_rejected = 16;

// Number of peers whose announced keys are remembered.
constexpr std::size_t max_peer_keys = 64;

}

std::string_view to_string(document_verdict verdict)
{
    switch (verdict)
    {
    case document_verdict::accepted:
        return "accepted";
    case document_verdict::same:
        return "same";
    case document_verdict::stale:
        return "stale";
    case document_verdict::invalid:
        return "invalid";
    }
    return "invalid";
}

document_store::document_store(options opts, std::uint64_t seed, checker check)
    : config(std::move(opts))
    , random(seed)
    , check(std::move(check))
{
}

std::vector<document_action>
document_store::start(std::span<const std::string> peers, time_point now)
{
    auto actions = this->handle_pause(peers, now);
    auto reads = this->handle_timer(now);
    std::ranges::move(reads, std::back_inserter(actions));
    return actions;
}

std::vector<document_action>
document_store::handle_pause(std::span<const std::string> peers, time_point now)
{
    this->awaited.clear();
    this->asked.clear();
    this->join_deadline = now + this->config.join_timeout;
    this->next_read = now;
    return this->ask_peers(peers);
}

document_outcome document_store::handle_text(std::string_view text,
                                             time_point now)
{
    auto outcome = this->accept(text);
    this->schedule_read(outcome.verdict, now);
    this->fetch_newest(now, outcome.actions);
    return outcome;
}

void document_store::handle_service_answer(time_point now)
{
    this->schedule_read(document_verdict::same, now);
}

document_outcome document_store::handle_transfer(
    const std::string& peer, const document_transfer& transfer, time_point now)
{
    if (this->pending && this->pending->peer == peer)
        this->pending.reset();
    this->peer_keys.erase(peer);
    document_outcome outcome;
    outcome.verdict = document_verdict::same;
    const auto text = this->unpack(transfer);
    if (text)
        outcome = this->accept(*text);
    if (transfer.form == transfer_form::delta && outcome.key != transfer.key)
    {
        // A request without digests makes the peer send the whole text.
        outcome.verdict = document_verdict::invalid;
        this->pending = {peer, now};
        outcome.actions.emplace_back(fetch_document{.peer = peer});
        return outcome;
    }
    // Otherwise a peer that announces one key and delivers another would be
    // asked again in every gossip round.
    if (text && outcome.key != transfer.key)
        this->reject(transfer.key.digest);
    this->awaited.erase(peer);
    this->fetch_newest(now, outcome.actions);
    return outcome;
}

std::vector<document_action>
document_store::handle_fetch_failure(const std::string& peer, time_point now)
{
    if (this->pending && this->pending->peer == peer)
        this->pending.reset();
    this->peer_keys.erase(peer);
    std::vector<document_action> actions;
    this->fetch_newest(now, actions);
    return actions;
}

std::vector<document_action>
document_store::handle_peer_key(const std::string& peer,
                                const document_key& key, time_point now)
{
    if (this->peer_keys.size() < max_peer_keys ||
        this->peer_keys.contains(peer))
        this->peer_keys[peer] = key;
    std::vector<document_action> actions;
    this->fetch_newest(now, actions);
    return actions;
}

std::vector<document_action>
document_store::handle_directory(std::span<const std::string> peers,
                                 time_point now)
{
    this->has_directory = true;
    if (now >= this->join_deadline)
        return {};
    return this->ask_peers(peers);
}

std::vector<document_action>
document_store::set_members(std::span<const std::string> live_addresses,
                            time_point now)
{
    const bool was_watching = this->is_watching;
    const auto own_weight =
        rendezvous_weight(this->config.instance, reader_key);
    const bool is_live =
        std::ranges::find(live_addresses, this->config.instance) !=
        live_addresses.end();
    const auto higher_ranked = std::ranges::count_if(
        live_addresses,
        [&](const std::string& address)
        {
            return std::pair(rendezvous_weight(address, reader_key), address) >
                   std::pair(own_weight, this->config.instance);
        });
    this->is_watching = is_live && static_cast<std::size_t>(higher_ranked) <
                                       this->config.reader_count;
    if (this->is_watching && !was_watching)
        this->next_read = std::min(this->next_read, now);
    return this->handle_timer(now);
}

std::vector<document_action> document_store::handle_timer(time_point now)
{
    std::vector<document_action> actions;
    if (this->pending &&
        now - this->pending->started >= this->config.fetch_timeout)
        actions =
            this->handle_fetch_failure(std::string(this->pending->peer), now);
    if (!this->is_reading && now >= this->next_read)
    {
        this->is_reading = true;
        const bool is_watch = this->is_watching && this->active != nullptr;
        actions.emplace_back(read_configuration{.is_watch = is_watch});
    }
    return actions;
}

const document_ptr& document_store::current() const
{
    return this->active;
}

document_key document_store::key() const
{
    return this->active ? this->active->key : document_key{};
}

document_transfer
document_store::answer_fetch(const document_request& request) const
{
    if (!this->active)
        return {};
    document_transfer transfer;
    transfer.key = this->active->key;
    const auto holds = [&](const std::string& digest)
    {
        return std::ranges::find(request.held_digests, digest) !=
               request.held_digests.end();
    };
    if (holds(transfer.key.digest))
    {
        transfer.form = transfer_form::held;
        return transfer;
    }
    transfer.form = transfer_form::text;
    transfer.body = this->active->text;
    const auto base =
        std::ranges::find_if(this->bases, [&](const document_ptr& candidate)
                             { return holds(candidate->key.digest); });
    if (base == this->bases.end())
        return transfer;
    auto delta = encode_delta(compute_delta((*base)->text, this->active->text));
    // The delta of a text that shares little with its base is larger than the
    // text.
    if (delta.size() < transfer.body.size())
    {
        transfer.form = transfer_form::delta;
        transfer.base = (*base)->key.digest;
        transfer.body = std::move(delta);
    }
    return transfer;
}

document_request document_store::fetch_request() const
{
    document_request request;
    for (const auto& base : this->bases)
        request.held_digests.push_back(base->key.digest);
    return request;
}

bool document_store::is_ready(time_point now) const
{
    return this->active != nullptr && this->has_directory &&
           (this->awaited.empty() || now >= this->join_deadline);
}

bool document_store::is_reader() const
{
    return this->is_watching;
}

document_outcome document_store::accept(std::string_view text)
{
    document_outcome outcome;
    if (this->active && this->active->text == text)
    {
        outcome.verdict = document_verdict::same;
        outcome.key = this->active->key;
        return outcome;
    }
    auto checked = this->check(text);
    outcome.problems = std::move(checked.problems);
    if (checked.accepted == nullptr)
        return outcome;
    outcome.key = checked.accepted->key;
    if (checked.accepted->environment != this->config.environment)
    {
        outcome.problems.push_back(
            {.section = "document",
             .key = "environment",
             .value = checked.accepted->environment,
             .message = "the document is for another environment; publish "
                        "the document of \"" +
                        this->config.environment + "\" here"});
        return outcome;
    }
    if (outcome.key < this->key() &&
        this->config.fault != control_fault::accept_lower_keys)
    {
        outcome.verdict = document_verdict::stale;
        return outcome;
    }
    outcome.verdict = document_verdict::accepted;
    this->active = std::move(checked.accepted);
    this->bases.push_front(this->active);
    if (this->bases.size() > this->config.max_delta_bases)
        this->bases.pop_back();
    outcome.actions.emplace_back(activate_document{.accepted = this->active});
    return outcome;
}

std::optional<std::string>
document_store::unpack(const document_transfer& transfer) const
{
    if (transfer.form == transfer_form::text)
        return transfer.body;
    if (transfer.form != transfer_form::delta)
        return std::nullopt;
    const auto base = std::ranges::find(this->bases, transfer.base,
                                        [](const document_ptr& candidate)
                                        { return candidate->key.digest; });
    const auto delta = decode_delta(transfer.body);
    if (base == this->bases.end() || !delta)
        return std::nullopt;
    auto text = apply_delta((*base)->text, delta.value());
    if (!text)
        return std::nullopt;
    return std::move(text.value());
}

void document_store::reject(const std::string& digest)
{
    this->rejected.push_back(digest);
    if (this->rejected.size() > max_rejected)
        this->rejected.pop_front();
}

std::vector<document_action>
document_store::ask_peers(std::span<const std::string> peers)
{
    std::vector<std::string> chosen_peers(peers.begin(), peers.end());
    std::ranges::shuffle(chosen_peers, this->random);
    std::vector<document_action> actions;
    for (auto& peer : chosen_peers)
    {
        if (this->asked.size() >= this->config.max_join_peers)
            break;
        if (peer == this->config.instance || !this->asked.insert(peer).second)
            continue;
        this->awaited.insert(peer);
        actions.emplace_back(request_peer_key{.peer = std::move(peer)});
    }
    return actions;
}

void document_store::fetch_newest(time_point now,
                                  std::vector<document_action>& actions)
{
    std::erase_if(this->peer_keys,
                  [&](const auto& announced)
                  {
                      const auto& [peer, key] = announced;
                      if (key > this->key() &&
                          std::ranges::find(this->rejected, key.digest) ==
                              this->rejected.end())
                          return false;
                      this->awaited.erase(peer);
                      return true;
                  });
    if (this->pending || this->peer_keys.empty())
        return;
    const auto greatest = std::ranges::max_element(
        this->peer_keys, {},
        [](const auto& announced) { return announced.second; });
    this->pending = {greatest->first, now};
    actions.emplace_back(fetch_document{.peer = greatest->first,
                                        .request = this->fetch_request()});
}

void document_store::schedule_read(document_verdict verdict, time_point now)
{
    this->is_reading = false;
    if (verdict == document_verdict::accepted && this->is_watching)
    {
        this->next_read = now;
        return;
    }
    if (this->is_watching || this->active == nullptr)
    {
        this->next_read = now + this->config.retry_delay;
        return;
    }
    std::uniform_int_distribution<std::int64_t> delay(
        this->config.poll_interval_min.count(),
        this->config.poll_interval_max.count());
    this->next_read = now + std::chrono::milliseconds(delay(this->random));
}

}
