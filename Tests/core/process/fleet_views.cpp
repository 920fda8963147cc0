#include "core/process/fleet.hpp"
#include "core/process/gossip_codec.hpp"
#include "core/process/plain_document.hpp"

namespace wisteriahatch::test_support
{

using namespace std::chrono_literals;

void fleet::gossip(node& from, const membership::exchange& exchange)
{
    const auto call = this->next_number++;
    const auto slot = from.slot;
    const auto nonce = from.nonce;
    const auto peer = exchange.address;
    from.open_calls.insert(call);
    this->at(1s, slot, nonce,
             [this, call, peer](node& caller)
             {
                 if (caller.open_calls.erase(call) == 0)
                     return;
                 ++this->counts["no answer"];
                 caller.members->handle_no_answer(peer, this->now);
             });
    const auto answer = [this, call, slot, nonce, peer,
                         text = encode_gossip(exchange.message)](node& target)
    {
        const auto request = decode_gossip(text).value();
        auto reply = target.members->handle_exchange(request, this->now);
        this->learn_key(target, request);
        this->send(target.slot, slot, nonce,
                   [this, call, peer, reply = std::move(reply),
                    has_list = target.has_list](node& caller)
                   {
                       caller.open_calls.erase(call);
                       auto follow_up =
                           caller.members->handle_reply(peer, reply, this->now);
                       this->learn_key(caller, reply);
                       if (has_list)
                           this->deliver_list(caller);
                       if (follow_up)
                           this->gossip(caller, *follow_up);
                   });
    };
    this->send(slot, slot_of(peer), 0, answer);
}

void fleet::learn_key(node& at, const gossip_message& message)
{
    this->perform(at, at.documents->handle_peer_key(message.sender.address,
                                                    message.sender.document,
                                                    this->now));
}

void fleet::deliver_list(node& target)
{
    if (!this->is_list_lagging)
    {
        this->listed_addresses.clear();
        for (const auto& listed : this->nodes)
        {
            if (listed.is_up)
                this->listed_addresses.push_back(address(listed.slot));
        }
    }
    target.has_list = true;
    target.members->set_hints(this->listed_addresses);
    this->perform(target, target.documents->handle_directory(
                              this->listed_addresses, this->now));
}

void fleet::perform(node& from, const std::vector<document_action>& actions)
{
    for (const auto& action : actions)
    {
        if (const auto* key_request = std::get_if<request_peer_key>(&action))
            this->gossip(from, from.members->make_exchange(key_request->peer));
        else if (const auto* fetch_request =
                     std::get_if<fetch_document>(&action))
            this->fetch(from, *fetch_request);
        else if (const auto* read_request =
                     std::get_if<read_configuration>(&action))
            this->read(from, read_request->is_watch, 20);
        else
            from.members->set_document_key(
                std::get<activate_document>(action).accepted->key, this->now);
    }
}

void fleet::fetch(node& from, const fetch_document& action)
{
    const auto slot = from.slot;
    const auto nonce = from.nonce;
    const auto call = this->next_number++;
    from.open_calls.insert(call);
    this->at(1s, slot, nonce,
             [this, call, peer = action.peer](node& caller)
             {
                 if (caller.open_calls.erase(call) > 0)
                     this->perform(caller,
                                   caller.documents->handle_fetch_failure(
                                       peer, this->now));
             });
    const auto answer = [this, call, slot, nonce, action](node& target)
    {
        const auto reply = target.documents->answer_fetch(action.request);
        this->send(target.slot, slot, nonce,
                   [this, call, action, reply](node& caller)
                   {
                       caller.open_calls.erase(call);
                       const auto outcome = caller.documents->handle_transfer(
                           action.peer, reply, this->now);
                       if (outcome.verdict == document_verdict::accepted)
                           ++this->counts[reply.form == transfer_form::delta
                                              ? "delta accepted"
                                              : "text accepted"];
                       this->perform(caller, outcome.actions);
                   });
    };
    this->send(slot, slot_of(action.peer), 0, answer);
}

void fleet::read(node& from, bool is_watch, int polls)
{
    const auto answer = [this, is_watch, polls](node& caller)
    {
        const auto& text =
            this->is_service_stale ? this->stale_text : this->service_text;
        if (this->is_service_down || text.empty() || polls == 0)
        {
            caller.documents->handle_service_answer(this->now);
            return;
        }
        if (is_watch && caller.seen_revision == this->revision)
        {
            this->read(caller, is_watch, polls - 1);
            return;
        }
        caller.seen_revision = this->revision;
        const auto outcome = caller.documents->handle_text(text, this->now);
        ++this->counts[std::string(to_string(outcome.verdict))];
        this->perform(caller, outcome.actions);
    };
    this->at(is_watch ? duration(500ms) : this->network_delay(), from.slot,
             from.nonce, answer);
}

void fleet::publish(std::uint64_t number, const std::string& marker)
{
    // Long enough that a change is shorter as a delta.
    this->publish(
        plain_text(number, marker + "\n[rest]\n" + std::string(600, 'x')));
}

void fleet::publish(const std::string& text)
{
    this->published.push_back(text);
    this->service_text = text;
    ++this->revision;
}

}
