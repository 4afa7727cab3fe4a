#include "membership/peer_mesh.h"

#include "loop/event_loop.h"
#include "membership/heartbeat_ack.h"
#include "membership/probe_answer.h"
#include "membership/probe_request.h"
#include "membership/vm_list_relay.h"
#include "membership/vm_list_request.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"
#include "wire/frame_connection.h"
#include "wire/frame_listener.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace verbenalever {

namespace {

constexpr milliseconds interval{50};
constexpr std::chrono::seconds run_limit{5};

/// A peer that sends and receives just what the test says.
class manual_peer {
public:
    manual_peer(event_loop& loop, std::string name) : loop(loop), name(std::move(name))
    {
        auto listening = frame_listener::listen(
            loop, {.address = "127.0.0.1", .port = 0},
            [this](std::unique_ptr<frame_connection> connection) {
                this->accepted = std::move(connection);
                this->accepted->set_handlers([this](std::string_view frame) { this->take(frame); },
                                             {});
            });
        this->listener = *std::move(listening);
    }

    [[nodiscard]] vm_record record() const
    {
        return {.name = this->name,
                .role = vm_role::entry,
                .availability_zone = "zone-a",
                .address = {.address = "127.0.0.1", .port = this->listener->port()}};
    }

    void connect(const endpoint& to)
    {
        this->outgoing = *frame_connection::connect(this->loop, to);
        this->outgoing->set_handlers([this](std::string_view frame) { this->take(frame); }, {});
    }

    template <typename Message>
    void send(const Message& message, std::uint64_t incarnation)
    {
        this->outgoing->send(pack_message(peer_envelope{.type = Message::type,
                                                        .from = this->name,
                                                        .incarnation = incarnation,
                                                        .body = pack_message(message)}));
    }

    [[nodiscard]] std::size_t count(std::string_view type) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->received.begin(), this->received.end(),
                          [type](const peer_envelope& envelope) { return envelope.type == type; }));
    }

    std::vector<peer_envelope> received;

private:
    void take(std::string_view frame)
    {
        this->received.push_back(*unpack_message<peer_envelope>(frame));
    }

    event_loop& loop;
    std::string name;
    std::unique_ptr<frame_listener> listener;
    std::unique_ptr<frame_connection> accepted;
    std::unique_ptr<frame_connection> outgoing;
};

entry_settings settings_of_test()
{
    entry_settings settings;
    settings.name = "entry-a1";
    settings.availability_zone = "zone-a";
    settings.heartbeat_interval = interval;
    return settings;
}

/// @return a loopback address that nothing listens on now
endpoint free_endpoint(event_loop& loop)
{
    const auto listening = frame_listener::listen(loop, {.address = "127.0.0.1", .port = 0},
                                                  [](std::unique_ptr<frame_connection>) {});
    return {.address = "127.0.0.1", .port = (*listening)->port()};
}

} // namespace

class peer_mesh_of_two : public testing::Test {
protected:
    peer_mesh_of_two()
        : settings(settings_of_test()), log("test"), first(this->loop, "entry-a2"),
          second(this->loop, "entry-a3")
    {
        this->settings.peer = free_endpoint(this->loop);
    }

    void start()
    {
        this->mesh =
            std::make_unique<peer_mesh>(this->loop, this->settings, this->metrics, this->log);
        ASSERT_TRUE(this->mesh->start([](heartbeat&) {}).ok());
        this->first.connect(this->settings.peer);
        this->second.connect(this->settings.peer);
    }

    void run_until(const std::function<bool()>& condition)
    {
        timer poll(this->loop, [&] {
            if (condition())
                this->loop.stop();
        });
        timer limit(this->loop, [&] { this->loop.stop(); });
        poll.start_repeating(milliseconds(1));
        limit.start_once(run_limit);
        this->loop.run();
        ASSERT_TRUE(condition());
    }

    void join_both()
    {
        this->mesh->set_members(
            std::vector<vm_record>{this->first.record(), this->second.record()});
    }

    [[nodiscard]] const peer_state& state(std::string_view name) const
    {
        return this->mesh->peers().find(name)->second;
    }

    entry_settings settings;
    event_loop loop;
    event_log log;
    counters metrics;
    manual_peer first;
    manual_peer second;
    std::unique_ptr<peer_mesh> mesh;
};

TEST_F(peer_mesh_of_two, ignores_what_an_older_incarnation_sent)
{
    this->start();
    this->join_both();
    this->first.send(heartbeat{.availability_zone = "zone-a", .free_slots = 7}, 20);
    this->run_until([this] { return this->state("entry-a2").last.free_slots == 7; });
    const auto acknowledged = this->first.count(heartbeat_ack::type);
    this->first.send(heartbeat{.availability_zone = "zone-a", .free_slots = 1}, 19);
    this->run_until([&] { return this->first.count(heartbeat_ack::type) > acknowledged; });
    EXPECT_EQ(this->state("entry-a2").last.free_slots, 7);
    const auto ack = unpack_message<heartbeat_ack>(this->first.received.back().body);
    EXPECT_EQ(ack->known_incarnation, 20U) << "the older one is told that it was superseded";
}

TEST_F(peer_mesh_of_two, asks_another_peer_before_giving_up_on_a_silent_one)
{
    this->start();
    this->join_both();
    this->first.send(heartbeat{.availability_zone = "zone-a"}, 1);
    this->second.send(heartbeat{.availability_zone = "zone-a"}, 1);
    timer keep(this->loop, [this] {
        this->second.send(heartbeat{.availability_zone = "zone-a"}, 1);
        if (this->second.count(probe_request::type) > 0)
            this->second.send(probe_answer{.peer = "entry-a2"}, 1);
    });
    keep.start_repeating(interval / 2);
    this->run_until([this] { return this->second.count(probe_request::type) > 0; });
    timer later(this->loop, [this] { this->loop.stop(); });
    later.start_once(10 * interval);
    this->loop.run();
    EXPECT_TRUE(this->state("entry-a2").alive) << "another entry still hears it";
}

TEST_F(peer_mesh_of_two, gives_up_on_a_silent_peer_for_which_nobody_vouches)
{
    this->start();
    this->join_both();
    this->first.send(heartbeat{.availability_zone = "zone-a"}, 1);
    this->run_until([this] { return this->state("entry-a2").alive; });
    this->run_until([this] { return !this->state("entry-a2").alive; });
    EXPECT_EQ(this->mesh->live_in_zone(), std::vector<std::string>{"entry-a1"});
}

TEST_F(peer_mesh_of_two, makes_a_member_of_an_unknown_sender)
{
    this->start();
    this->first.send(
        heartbeat{.availability_zone = "zone-a", .peer = this->first.record().address.text()}, 1);
    this->run_until([this] { return this->mesh->peers().contains("entry-a2"); });
    this->run_until([this] { return this->first.count(heartbeat::type) > 0; });
}

TEST_F(peer_mesh_of_two, takes_the_list_from_a_seed_and_gives_it_to_others)
{
    this->settings.seeds = {this->first.record().address};
    this->start();
    std::string taken;
    vm_list_relay relay(*this->mesh, this->metrics, this->log, milliseconds(100),
                        [&taken](std::string_view text) { taken = text; });
    this->run_until([this] { return this->first.count(vm_list_request::type) > 0; });
    this->first.send(vm_list_copy{.read_at_us = 5, .text = "list"}, 1);
    this->run_until([&taken] { return taken == "list"; });
    this->first.send(vm_list_copy{.read_at_us = 4, .text = "older"}, 1);
    this->second.send(vm_list_request{}, 1);
    this->run_until([this] { return this->second.count(vm_list_copy::type) > 0; });
    EXPECT_EQ(unpack_message<vm_list_copy>(this->second.received.back().body)->text, "list");
    EXPECT_EQ(taken, "list");
}

} // namespace verbenalever
