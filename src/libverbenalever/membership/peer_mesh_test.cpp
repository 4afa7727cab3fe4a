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

/// A peer that sends only what the test tells it to and stores all frames that it receives.
class manual_peer {
public:
    manual_peer(event_loop& loop, std::string name) : loop(loop), name(std::move(name))
    {
        auto listening = frame_listener::listen(
            loop, {.address = "127.0.0.1", .port = 0},
            [this](std::unique_ptr<frame_connection> connection) {
                this->accepted = std::move(connection);
                this->accepted->set_handlers(
                    [this](std::string_view frame) { this->on_frame(frame); }, {});
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
        this->outgoing->set_handlers([this](std::string_view frame) { this->on_frame(frame); }, {});
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
    void on_frame(std::string_view frame)
    {
        this->received.push_back(*unpack_message<peer_envelope>(frame));
    }

    event_loop& loop;
    std::string name;
    std::unique_ptr<frame_listener> listener;
    std::unique_ptr<frame_connection> accepted;
    std::unique_ptr<frame_connection> outgoing;
};

entry_settings test_settings()
{
    entry_settings settings;
    settings.name = "entry-a1";
    settings.availability_zone = "zone-a";
    settings.heartbeat_interval = interval;
    return settings;
}

/// @return a loopback address on which nothing listens
endpoint unused_endpoint(event_loop& loop)
{
    const auto listening = frame_listener::listen(loop, {.address = "127.0.0.1", .port = 0},
                                                  [](std::unique_ptr<frame_connection>) {});
    return {.address = "127.0.0.1", .port = (*listening)->port()};
}

} // namespace

class peer_mesh_test : public testing::Test {
protected:
    peer_mesh_test()
        : settings(test_settings()), log("test"), first(this->loop, "entry-a2"),
          second(this->loop, "entry-a3")
    {
        this->settings.peer = unused_endpoint(this->loop);
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

    void add_both_as_members()
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

TEST_F(peer_mesh_test, ignores_messages_of_an_older_incarnation)
{
    this->start();
    this->add_both_as_members();
    this->first.send(heartbeat{.availability_zone = "zone-a", .free_slots = 7}, 20);
    this->run_until([this] { return this->state("entry-a2").last_heartbeat.free_slots == 7; });
    const auto earlier_acks = this->first.count(heartbeat_ack::type);
    this->first.send(heartbeat{.availability_zone = "zone-a", .free_slots = 1}, 19);
    this->run_until([&] { return this->first.count(heartbeat_ack::type) > earlier_acks; });
    EXPECT_EQ(this->state("entry-a2").last_heartbeat.free_slots, 7);
    const auto ack = unpack_message<heartbeat_ack>(this->first.received.back().body);
    EXPECT_EQ(ack->known_incarnation, 20U) << "the older one learns that it was superseded";
}

TEST_F(peer_mesh_test, probes_other_peers_before_marking_a_peer_silent)
{
    this->start();
    this->add_both_as_members();
    this->first.send(heartbeat{.availability_zone = "zone-a"}, 1);
    this->second.send(heartbeat{.availability_zone = "zone-a"}, 1);
    timer heartbeat_sender(this->loop, [this] {
        this->second.send(heartbeat{.availability_zone = "zone-a"}, 1);
        if (this->second.count(probe_request::type) > 0)
            this->second.send(probe_answer{.peer = "entry-a2"}, 1);
    });
    heartbeat_sender.start_repeating(interval / 2);
    this->run_until([this] { return this->second.count(probe_request::type) > 0; });
    timer end(this->loop, [this] { this->loop.stop(); });
    end.start_once(10 * interval);
    this->loop.run();
    EXPECT_TRUE(this->state("entry-a2").alive) << "another entry still hears from it";
}

TEST_F(peer_mesh_test, marks_a_peer_silent_when_no_probe_is_answered)
{
    this->start();
    this->add_both_as_members();
    this->first.send(heartbeat{.availability_zone = "zone-a"}, 1);
    this->run_until([this] { return this->state("entry-a2").alive; });
    this->run_until([this] { return !this->state("entry-a2").alive; });
    EXPECT_EQ(this->mesh->live_in_zone(), std::vector<std::string>{"entry-a1"});
}

TEST_F(peer_mesh_test, adds_an_unknown_sender_as_a_peer)
{
    this->start();
    this->first.send(
        heartbeat{.availability_zone = "zone-a", .peer = this->first.record().address.text()}, 1);
    this->run_until([this] { return this->mesh->peers().contains("entry-a2"); });
    this->run_until([this] { return this->first.count(heartbeat::type) > 0; });
}

TEST_F(peer_mesh_test, requests_the_vm_list_from_a_seed_and_sends_it_to_others)
{
    this->settings.seeds = {this->first.record().address};
    this->start();
    std::string applied;
    vm_list_relay relay(*this->mesh, this->metrics, this->log, milliseconds(100),
                        [&applied](std::string_view text) { applied = text; });
    this->run_until([this] { return this->first.count(vm_list_request::type) > 0; });
    this->first.send(vm_list_copy{.read_at_us = 5, .text = "list"}, 1);
    this->run_until([&applied] { return applied == "list"; });
    this->first.send(vm_list_copy{.read_at_us = 4, .text = "older"}, 1);
    this->second.send(vm_list_request{}, 1);
    this->run_until([this] { return this->second.count(vm_list_copy::type) > 0; });
    EXPECT_EQ(unpack_message<vm_list_copy>(this->second.received.back().body)->text, "list");
    EXPECT_EQ(applied, "list");
}

} // namespace verbenalever
