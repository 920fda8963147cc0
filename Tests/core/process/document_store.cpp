#include "core/process/document_store.hpp"

#include "core/process/plain_document.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace wisteriahatch;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

document_store make_store(const std::string& instance = "a:1")
{
    return {{.instance = instance, .environment = "test"},
            1,
            test_support::check_plain};
}

using test_support::plain_text;

template <class Action>
std::vector<Action> all(const std::vector<document_action>& actions)
{
    std::vector<Action> found;
    for (const auto& action : actions)
    {
        if (const auto* match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

}

// Guards against a document that reverts to an older one, and against an active
// document that depends on the order of arrival.
TEST_CASE("the greatest key wins in every order")
{
    // Two documents have serial 3; the one with the greater digest must win.
    const std::string texts[] = {plain_text(2, "x"), plain_text(3, "left"),
                                 plain_text(3, "right")};
    document_key expected;
    for (const auto& text : texts)
        expected =
            std::max(expected, test_support::check_plain(text).accepted->key);
    std::vector<int> order = {0, 1, 2};
    do
    {
        auto store = make_store();
        document_key last;
        for (const auto index : order)
        {
            const auto outcome = store.handle_text(texts[index], start);
            CHECK(store.key() >= last);
            CHECK((outcome.verdict == document_verdict::accepted) ==
                  (store.key() > last));
            last = store.key();
        }
        CHECK(last == expected);
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a faulty text that replaces the active document.
TEST_CASE("texts are checked before they become active")
{
    struct row
    {
        std::string text;
        document_verdict verdict;
    };
    const row rows[] = {
        {plain_text(5, "x"), document_verdict::same},
        {plain_text(4, "old"), document_verdict::stale},
        {"bad", document_verdict::invalid},
        {plain_text(9, "x", "other"), document_verdict::invalid},
        {plain_text(6, "new"), document_verdict::accepted},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.text);
        auto store = make_store();
        store.handle_text(plain_text(5, "x"), start);
        const auto outcome = store.handle_text(row.text, start);
        CHECK(outcome.verdict == row.verdict);
        CHECK(store.key().serial ==
              (row.verdict == document_verdict::accepted ? 6 : 5));
        CHECK(all<activate_document>(outcome.actions).size() ==
              (row.verdict == document_verdict::accepted));
        CHECK(outcome.problems.empty() ==
              (row.verdict != document_verdict::invalid));
    }
}

// Guards against serving an old document from the configuration service while
// peers hold a newer one, and against waiting forever.
TEST_CASE("an instance is ready only after its peers answered or 3 s")
{
    auto store = make_store();
    const std::vector<std::string> peers = {"b:1", "a:1"};
    auto actions = store.start(peers, start);
    REQUIRE(all<request_peer_key>(actions).size() == 1);
    CHECK(all<read_configuration>(actions).size() == 1);
    store.handle_text(plain_text(4, "old"), start);
    const std::vector<std::string> listed = {"b:1", "c:1"};
    actions = store.handle_directory(listed, start);
    REQUIRE(all<request_peer_key>(actions).size() == 1);
    CHECK(all<request_peer_key>(actions)[0].peer == "c:1");
    CHECK_FALSE(store.is_ready(start));

    // c:1 has no document; b:1 has a newer one, whose text is awaited as well.
    store.handle_peer_key("c:1", {}, start);
    const auto newer = test_support::check_plain(plain_text(5, "new")).accepted;
    actions = store.handle_peer_key("b:1", newer->key, start);
    REQUIRE(all<fetch_document>(actions).size() == 1);
    CHECK_FALSE(store.is_ready(start));
    auto unanswered = store;
    store.handle_transfer(
        "b:1",
        {.form = transfer_form::text, .key = newer->key, .body = newer->text},
        start);
    CHECK(store.key().serial == 5);
    CHECK(store.is_ready(start));
    CHECK_FALSE(unanswered.is_ready(start + 2999ms));
    CHECK(unanswered.is_ready(start + 3s));

    // After a pause the peers are asked again before the instance is ready.
    store.handle_pause(peers, start + 10s);
    CHECK_FALSE(store.is_ready(start + 10s));
    store.handle_peer_key("b:1", newer->key, start + 10s);
    CHECK(store.is_ready(start + 10s));
}

// Guards against an instance that serves without a document or directory.
TEST_CASE("an instance without a document or directory is never ready")
{
    auto store = make_store();
    store.start({}, start);
    store.handle_directory({}, start);
    CHECK_FALSE(store.is_ready(start + 1h));
    auto unlisted = make_store();
    unlisted.start({}, start);
    unlisted.handle_text(plain_text(1, "x"), start);
    CHECK_FALSE(unlisted.is_ready(start + 1h));
    unlisted.handle_directory({}, start);
    CHECK(unlisted.is_ready(start));
}

// Guards against sending the whole document for a small change, and against
// activating the result of a damaged delta.
TEST_CASE("changes are sent as deltas with a fallback to the text")
{
    auto ahead = make_store("b:1");
    auto behind = make_store();
    const auto body = std::string(5000, 'x');
    for (auto* store : {&ahead, &behind})
        store->handle_text(plain_text(1, body), start);
    ahead.handle_text(plain_text(2, body), start);
    auto transfer = ahead.answer_fetch(behind.fetch_request());
    REQUIRE(transfer.form == transfer_form::delta);
    CHECK(transfer.body.size() < 500);
    CHECK(ahead.answer_fetch({}).form == transfer_form::text);
    CHECK(ahead.answer_fetch(ahead.fetch_request()).form ==
          transfer_form::held);

    auto damaged = transfer;
    damaged.body[damaged.body.size() / 2] ^= 1;
    const auto rejected = behind.handle_transfer("b:1", damaged, start);
    CHECK(rejected.verdict == document_verdict::invalid);
    CHECK(behind.key().serial == 1);
    const auto again = all<fetch_document>(rejected.actions);
    REQUIRE(again.size() == 1);
    CHECK(again[0].request.held_digests.empty());
    CHECK(behind.handle_transfer("b:1", transfer, start).verdict ==
          document_verdict::accepted);
    CHECK(behind.key() == ahead.key());
}

// Guards against a change that is delayed by a peer that does not answer or
// delivers another text than it announced.
TEST_CASE("another peer is asked after a time-out or a wrong text")
{
    auto store = make_store();
    const auto newer = test_support::check_plain(plain_text(5, "new")).accepted;
    const document_key greater = {9, "f"};
    store.handle_peer_key("b:1", greater, start);
    CHECK(all<fetch_document>(store.handle_peer_key("c:1", newer->key, start))
              .empty());
    const auto next = all<fetch_document>(store.handle_timer(start + 2s));
    REQUIRE(next.size() == 1);
    CHECK(next[0].peer == "c:1");
    store.handle_transfer(
        "c:1",
        {.form = transfer_form::text, .key = newer->key, .body = newer->text},
        start);
    CHECK(store.key() == newer->key);
    // A key under which another text was delivered is not fetched again.
    store.handle_peer_key("b:1", greater, start);
    store.handle_transfer(
        "b:1",
        {.form = transfer_form::text, .key = greater, .body = newer->text},
        start);
    CHECK(all<fetch_document>(store.handle_peer_key("b:1", greater, start))
              .empty());
}

// Guards against a fleet in which every instance watches the configuration
// service, and against one in which none does.
TEST_CASE("sixteen members watch the service, others read it rarely")
{
    std::vector<std::string> members;
    for (int index = 0; index < 200; ++index)
        members.push_back("i" + std::to_string(index) + ":1");
    int readers = 0;
    for (const auto& instance : members)
    {
        auto store = make_store(instance);
        store.start({}, start);
        store.handle_text(plain_text(1, "x"), start);
        store.set_members(members, start);
        readers += store.is_reader();
        store.handle_service_answer(start);
        int reads = 0;
        for (auto now = start + 1s; now < start + 10min; now += 1s)
        {
            for (const auto& read :
                 all<read_configuration>(store.handle_timer(now)))
            {
                ++reads;
                CHECK(read.is_watch == store.is_reader());
                store.handle_service_answer(now);
            }
        }
        if (!store.is_reader())
        {
            CHECK(reads >= 4);
            CHECK(reads <= 10);
        }
    }
    CHECK(readers == 16);
}
