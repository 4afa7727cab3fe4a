#include "targets/lease_manager.h"

#include "configuration/configuration_store.h"
#include "http/http_client.h"
#include "loop/event_loop.h"
#include "membership/peer_mesh.h"
#include "store/kv_client.h"
#include "targets/inventory_poller.h"
#include "targets/lease_arbiter.h"
#include "targets/target_client.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <gtest/gtest.h>

namespace verbenalever {

namespace {

/// Stores each lease request until the test answers it.
class manual_arbiter : public lease_arbiter {
public:
    struct acquisition {
        std::int64_t epoch = 0;
        lease_callback answer;
    };

    void acquire(const target_record&, std::int64_t epoch, milliseconds, milliseconds,
                 lease_callback done) override
    {
        this->acquisitions.push_back({epoch, std::move(done)});
    }
    void release(const target_record&, std::int64_t epoch, release_callback done) override
    {
        this->released.push_back(epoch);
        done(absl::OkStatus());
    }

    std::vector<acquisition> acquisitions;
    std::vector<std::int64_t> released;
};

entry_settings settings_of_test()
{
    entry_settings settings;
    settings.name = "entry-a1";
    settings.availability_zone = "zone-a";
    settings.target_lease = milliseconds(400);
    settings.target_lease_renewal = milliseconds(100);
    settings.platform = {.address = "127.0.0.1", .port = 1};
    return settings;
}

} // namespace

class lease_manager_with_one_target : public testing::Test {
protected:
    lease_manager_with_one_target()
        : settings(settings_of_test()), log("test"), http(this->loop),
          store(this->http, this->metrics, this->settings.platform),
          configuration(this->loop, this->store, this->log),
          mesh(this->loop, this->settings, this->metrics, this->log),
          registry(this->configuration, "zone-a"), client(this->http, this->metrics),
          inventories(this->client, this->registry),
          manager(this->loop, this->settings, this->mesh, this->arbiter, this->inventories,
                  this->registry, this->metrics, this->log)
    {
        const std::vector<vm_record> vms{{.name = "t1",
                                          .availability_zone = "zone-a",
                                          .address = {.address = "127.0.0.1", .port = 1},
                                          .capacity = {.slots = 1}}};
        this->registry.update(vms);
        this->manager.start();
    }

    /// Run the loop until @p condition is true; fails after two seconds.
    void run_until(const std::function<bool()>& condition)
    {
        timer poll(this->loop, [&] {
            if (condition())
                this->loop.stop();
        });
        timer limit(this->loop, [&] { this->loop.stop(); });
        poll.start_repeating(milliseconds(1));
        limit.start_once(std::chrono::seconds(2));
        this->loop.run();
        ASSERT_TRUE(condition());
    }

    target_record& target()
    {
        return *this->registry.find("t1");
    }

    entry_settings settings;
    event_loop loop;
    event_log log;
    counters metrics;
    http_client http;
    kv_client store;
    configuration_store configuration;
    peer_mesh mesh;
    target_registry registry;
    target_client client;
    manual_arbiter arbiter;
    inventory_poller inventories;
    lease_manager manager;
};

TEST_F(lease_manager_with_one_target,
       sends_one_request_at_a_time_and_counts_the_lease_from_before_it)
{
    this->run_until([this] { return !this->arbiter.acquisitions.empty(); });
    const auto requested_by = monotonic_clock::now();
    timer later(this->loop, [this] { this->loop.stop(); });
    later.start_once(milliseconds(300));
    this->loop.run();
    ASSERT_EQ(this->arbiter.acquisitions.size(), 1U);
    this->arbiter.acquisitions[0].answer(lease_response{.granted = true, .epoch = 5});
    EXPECT_LE(this->target().lease_valid_until, requested_by + this->settings.target_lease);
    EXPECT_EQ(this->target().lease_epoch, 5);
}

TEST_F(lease_manager_with_one_target, releases_only_after_the_renewal_in_flight_is_answered)
{
    this->run_until([this] { return this->arbiter.acquisitions.size() == 1; });
    this->arbiter.acquisitions[0].answer(lease_response{.granted = true, .epoch = 5});
    this->run_until([this] { return this->arbiter.acquisitions.size() == 2; });
    bool done = false;
    this->manager.hand_over([&done] { done = true; });
    EXPECT_TRUE(this->arbiter.released.empty());
    EXPECT_FALSE(this->target().lease_held(monotonic_clock::now()));
    this->arbiter.acquisitions[1].answer(lease_response{.granted = true, .epoch = 6});
    EXPECT_EQ(this->arbiter.released, std::vector<std::int64_t>{6});
    EXPECT_TRUE(done);
    EXPECT_FALSE(this->target().lease_held(monotonic_clock::now()));
}

TEST_F(lease_manager_with_one_target, retries_at_once_when_a_request_times_out)
{
    this->settings.target_lease_renewal = milliseconds(1500);
    this->run_until([this] { return this->arbiter.acquisitions.size() == 1; });
    this->arbiter.acquisitions[0].answer(absl::DeadlineExceededError("no answer"));
    const auto failed = monotonic_clock::now();
    this->run_until([this] { return this->arbiter.acquisitions.size() == 2; });
    EXPECT_LT(monotonic_clock::now() - failed, milliseconds(1000));
}

TEST_F(lease_manager_with_one_target, accepts_a_smaller_epoch_from_a_target_whose_clock_went_back)
{
    this->run_until([this] { return this->arbiter.acquisitions.size() == 1; });
    this->arbiter.acquisitions[0].answer(lease_response{.granted = true, .epoch = 5});
    target_registry::begin_inventory_read(this->target());
    this->registry.apply_inventory(this->target(), {});
    ASSERT_TRUE(this->registry.try_reserve("t1", "red", {.slots = 1}, "r1"));
    this->registry.mark_unconfirmed("t1", "r1");
    this->run_until([this] { return this->arbiter.acquisitions.size() == 2; });
    this->arbiter.acquisitions[1].answer(lease_response{.granted = true, .epoch = 2});
    EXPECT_EQ(this->target().lease_epoch, 2);
    EXPECT_FALSE(this->registry.may_start(this->target(), monotonic_clock::now()))
        << "its inventory was not read under this lease";
    target_registry::begin_inventory_read(this->target());
    this->registry.apply_inventory(this->target(), {});
    EXPECT_TRUE(this->registry.try_reserve("t1", "red", {.slots = 1}, "r2"));
}

TEST_F(lease_manager_with_one_target, loses_the_lease_when_another_entry_holds_it)
{
    this->run_until([this] { return this->arbiter.acquisitions.size() == 1; });
    this->arbiter.acquisitions[0].answer(lease_response{.granted = true, .epoch = 5});
    this->run_until([this] { return this->arbiter.acquisitions.size() == 2; });
    this->arbiter.acquisitions[1].answer(
        lease_response{.granted = false, .epoch = 6, .holder = "entry-a2"});
    EXPECT_FALSE(this->target().lease_held(monotonic_clock::now()));
}

TEST_F(lease_manager_with_one_target, requests_a_newer_lease_to_resolve_an_unconfirmed_start)
{
    this->run_until([this] { return this->arbiter.acquisitions.size() == 1; });
    this->arbiter.acquisitions[0].answer(lease_response{.granted = true, .epoch = 5});
    target_registry::begin_inventory_read(this->target());
    this->registry.apply_inventory(this->target(), {});
    ASSERT_TRUE(this->registry.try_reserve("t1", "red", {.slots = 1}, "r1"));
    this->registry.mark_unconfirmed("t1", "r1");
    EXPECT_FALSE(this->registry.try_reserve("t1", "red", {.slots = 1}, "r2"));
    this->run_until([this] { return this->arbiter.acquisitions.size() == 2; });
    EXPECT_EQ(this->arbiter.acquisitions[1].epoch, 0);
    this->arbiter.acquisitions[1].answer(lease_response{.granted = true, .epoch = 6});
    target_registry::begin_inventory_read(this->target());
    this->registry.apply_inventory(this->target(), {});
    EXPECT_TRUE(this->registry.try_reserve("t1", "red", {.slots = 1}, "r2"));
}

TEST_F(lease_manager_with_one_target, reports_whether_an_attempt_may_still_run)
{
    const auto now = monotonic_clock::now();
    const auto lapses_at = now + std::chrono::seconds(30);
    EXPECT_TRUE(this->registry.may_still_run("t1", "j.0/try-1", 4, lapses_at, now));
    EXPECT_FALSE(this->registry.may_still_run("t1", "j.0/try-1", 4, now, now));
    this->run_until([this] { return this->arbiter.acquisitions.size() == 1; });
    this->arbiter.acquisitions[0].answer(lease_response{.granted = true, .epoch = 5});
    const auto held = monotonic_clock::now();
    EXPECT_TRUE(this->registry.may_still_run("t1", "j.0/try-1", 4, lapses_at, held));
    target_registry::begin_inventory_read(this->target());
    target_inventory inventory;
    inventory.tasks.push_back({.task = "j.0", .attempt = "try-2", .state = "running"});
    this->registry.apply_inventory(this->target(), inventory);
    EXPECT_FALSE(this->registry.may_still_run("t1", "j.0/try-1", 4, lapses_at, held));
    EXPECT_FALSE(this->registry.may_still_run("t1", "j.0/try-1", 0, lapses_at, held));
    EXPECT_TRUE(this->registry.may_still_run("t1", "j.0/try-1", 5, lapses_at, held));
    EXPECT_TRUE(this->registry.may_still_run("t1", "j.0/try-2", 4, lapses_at, held));
}

} // namespace verbenalever
