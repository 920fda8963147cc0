#include "source_watcher.hpp"

#include "gateway/gateway_fixture.hpp"

#include <algorithm>

using namespace wisteriahatch;
using namespace std::chrono_literals;

// Guards against a version that decreases, and against one that is missed.
TEST_CASE_FIXTURE(gateway_fixture, "versions only increase")
{
    this->put_config(5, 0);
    this->wait_for(0, 5);
    this->put_config(4, 0);
    this->put_config(9, 0);
    this->wait_for(0, 9);
    this->put_config(8, 0);
    this->add_server("plain", "i-1");
    this->wait_for(1, 9);
}

// Guards against an instance that misses changes after the store has been
// unavailable, for each way in which it can fail.
TEST_CASE_FIXTURE(gateway_fixture, "changes are read after the store failed")
{
    this->put_config(1, 0);
    this->wait_for(0, 1);
    unsigned version = 1;
    for (const auto mode : {store_mode::busy, store_mode::limited,
                            store_mode::silent, store_mode::garbled})
    {
        CAPTURE(static_cast<int>(mode));
        this->store.set_mode(mode);
        this->put_config(++version, 0);
        std::this_thread::sleep_for(300ms);
        this->store.set_mode(store_mode::normal);
        this->wait_for(0, version);
    }
}

// Guards against changes that are missed because of a gap in the store's
// history, and against a list that ends after its first page.
TEST_CASE_FIXTURE(gateway_fixture, "a gap in the history leads to a new list")
{
    this->put_config(1, 0);
    this->add_server("plain", "i-1");
    this->wait_for(1, 1);
    this->store.set_mode(store_mode::busy);
    std::this_thread::sleep_for(100ms);
    this->store.remove("servers/i-1");
    for (unsigned index = 0; index < 2 * stand_in_store::page_items; ++index)
        this->store.put("servers/i-x" + std::to_string(index),
                        R"({"service":"plain","address":"127.0.0.1:9",)"
                        R"("zone":"z","capacity":1,"state":"ready"})");
    this->store.forget_history();
    this->store.set_mode(store_mode::normal);
    this->wait_for(2 * stand_in_store::page_items, 1);
}

// Guards against a malformed entry of another writer that crashes the process
// or discards other entries.
TEST_CASE_FIXTURE(gateway_fixture, "only malformed entries are ignored")
{
    this->put_config(1, 0);
    this->add_server("plain", "i-1");
    this->wait_for(1, 1);
    for (const char* bad : {"", "{", "[]", "\xff\xfe", "{\"service\":1}",
                            R"({"service":"plain","address":"x","zone":"z",)"
                            R"("capacity":1,"state":"ready"})"})
        this->store.put("servers/i-bad", bad);
    this->store.put("op/config", "no JSON");
    this->store.put("op/other", "unknown key");
    this->add_server("plain", "i-2");
    this->wait_for(2, 1);
    CHECK(this->ask("GET", "/p/x").result_int() == 200);
}

// Guards against an instance that starts while the configuration is unreadable
// and then knows no upstreams when it has been corrected.
TEST_CASE_FIXTURE(gateway_fixture, "the directory is read without routes")
{
    this->store.put("op/config", "no JSON");
    this->add_server("plain", "i-1");
    REQUIRE(wait_until(
        [&]
        {
            return this->on_worker(
                [&] { return this->state.upstreams.listed().size() == 1; });
        }));
    this->put_config(1, 0);
    this->wait_for(1, 1);
}

// Guards against instances that together keep more connections than the
// upstreams of a service accept: each upstream here accepts 800.
TEST_CASE_FIXTURE(gateway_fixture, "the subset depends on the instances")
{
    struct scenario
    {
        std::size_t instances, subset_size;
    };
    for (const char* id : {"i-1", "i-2", "i-3"})
        this->add_server("plain", id);
    this->put_config(1, 0);
    this->wait_for(3, 1);
    for (const auto& each :
         {scenario{9, 3}, scenario{600, 2}, scenario{2000, 1}, scenario{9, 3}})
    {
        CAPTURE(each.instances);
        const auto subset_size = this->on_worker(
            [&]
            {
                this->watcher->set_fleet_size(
                    {each.instances, fleet_view::settled});
                return std::ranges::count_if(
                    this->state.upstreams.group("plain"),
                    [](const registered_upstream_ptr& upstream)
                    { return upstream->state->is_in_subset(); });
            });
        CHECK(static_cast<std::size_t>(subset_size) == each.subset_size);
    }
    CHECK(this->ask("GET", "/p/x").result_int() == 200);
}
