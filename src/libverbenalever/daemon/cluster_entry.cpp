#include "daemon/cluster_entry.h"

#include "coordination/commit_chain.h"
#include "coordination/member_messages.h"
#include "loop/event_loop.h"
#include "membership/message_codec.h"
#include "ports/metadata_store.h"
#include "ports/operator_source.h"
#include "ports/placement_advisor.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

namespace verbenalever {

namespace {

constexpr milliseconds hand_over_check_interval{200};
/// Assumed fitness of the strongest VM until a coordinator has told or stored it: what each VM has
/// on the users' smaller sites, which is enough to coordinate them.
constexpr vm_fitness default_strongest{.processor_share = 0.25};

} // namespace

cluster_entry::cluster_entry(event_loop& loop, settings own_settings, ports external,
                             const event_log& log, counters& metrics)
    : loop(loop), own_settings(std::move(own_settings)), external(external), log(log),
      metrics(metrics), configuration(std::make_shared<fleet_configuration>()),
      hub(loop,
          {.joined =
               [this](const member_greeting& member) {
                   this->add_advisor(member.vm);
                   this->apply_heartbeat(member);
                   this->log.write(
                       "coordination", "member_joined",
                       {{"vm", member.vm}, {"processor_share", member.processor_share}});
               },
           .left =
               [this](const std::string& vm) {
                   this->member_conditions.erase(vm);
                   this->orders.remove_relay(vm);
                   this->snapshots.remove_peer(vm);
                   if (this->active_coordinator)
                       this->active_coordinator->advice_dispatch().remove_vm(vm);
                   this->log.write("coordination", "member_left", {{"vm", vm}});
               },
           .heartbeat =
               [this](const member_greeting& member) {
                   this->apply_heartbeat(member);
                   this->send_snapshot_if_behind(member, this->hub.find(member.vm));
               },
           .on_message =
               [this](peer_topic topic, std::string_view payload, peer_channel::replier reply) {
                   this->serve(topic, payload, std::move(reply));
               },
           .greeting = [this] { return this->greeting(); }}),
      link(loop, this->own_settings.peer.address,
           {.greeting = [this] { return this->greeting(); },
            .on_message =
                [this](peer_topic topic, std::string_view payload, peer_channel::replier reply) {
                    if (topic != peer_topic::heartbeat) {
                        this->serve(topic, payload, std::move(reply));
                        return;
                    }
                    const auto other = unpack_message<member_greeting>(payload);
                    if (!other.ok())
                        return;
                    this->handle_coordinator_heartbeat(*other);
                },
            .connection_changed =
                [this](bool up) {
                    this->log.write("coordination", up ? "coordinator_heard" : "coordinator_silent",
                                    {});
                    this->external.operators.set_peer_notifies(up);
                    this->non_coordinating_heartbeats = 0;
                    this->coordinator_ever_heard |= up;
                    if (!up)
                        this->election.reload_coordinator();
                },
            .coordinator_gone =
                [this] {
                    this->election.replace_coordinator(coordinator_loss::connection_refused);
                }}),
      relay(external.orders, metrics),
      orders({.loop = loop,
              .direct = external.orders,
              .count = metrics,
              .log = log,
              .call =
                  [this](const std::string& vm, peer_topic topic, std::string payload,
                         milliseconds timeout, relayed_orders::reply_callback done) {
                      auto* channel = this->hub.find(vm);
                      if (channel != nullptr)
                          channel->call(topic, std::move(payload), timeout, std::move(done));
                      return channel != nullptr;
                  }}),
      election(
          loop, external.store, log, this->own_settings.key_prefix,
          {.vm = this->own_settings.vm, .address = this->own_settings.peer.text(), .tenure = {}},
          {.won = [this](std::int64_t term,
                         commit_chain& chain) { this->start_coordinating(term, chain); },
           .lost = [this] { this->stop_coordinating(); },
           .coordinator_changed =
               [this](const std::optional<coordinator_record>& coordinator) {
                   const bool other = coordinator && coordinator->vm != this->own_settings.vm;
                   this->link.set_coordinator(other ? coordinator : std::nullopt);
               },
           .coordinator_heard =
               [this] { return this->link.up() && this->non_coordinating_heartbeats == 0; },
           .candidacy_delay = [this] { return this->candidacy_delay(); }},
          this->own_settings.link_mbps),
      former_coordinator_timer(loop, [this] { this->former_coordinator.reset(); }), loop_lag(loop),
      strongest_record(default_strongest),
      hand_over_timer(loop, [this] { this->check_hand_over(); }),
      join_timer(loop, [this] { this->join_election(); }),
      retry_timer(loop, [this] { this->retry_pending_calls(); })
{
}

cluster_entry::~cluster_entry()
{
    *this->alive = false;
}

absl::Status cluster_entry::start()
{
    if (auto status = this->hub.listen(this->own_settings.peer); !status.ok())
        return status;
    this->external.operators.start([this](std::shared_ptr<const fleet_configuration> read) {
        if (read->version != this->configuration->version)
            this->log.write("configuration", "version_in_force",
                            {{"version", read->version}, {"revision", read->revision}});
        this->configuration = std::move(read);
        if (this->active_coordinator)
            this->active_coordinator->apply_configuration(this->configuration);
    });
    this->join_election();
    return absl::OkStatus();
}

bool cluster_entry::ready() const
{
    // A coordinator that is not sure of its lease accepts nothing, so callers should use another
    // entry daemon.
    const bool can_serve = this->active_coordinator
                               ? this->election.is_lease_valid()
                               : this->link.up() && this->coordinator_lease_certain;
    return !this->retired && this->has_configuration() && can_serve;
}

void cluster_entry::retire()
{
    this->retired = true;
    this->election.retire();
    this->hub.for_each_member(
        [](const std::string&, peer_channel& channel) { channel.send_heartbeat(); });
}

bool cluster_entry::coordinating() const
{
    return this->active_coordinator != nullptr;
}

bool cluster_entry::has_configuration() const
{
    return this->configuration->version != 0;
}

const queue_definition* cluster_entry::find_queue(const caller_identity& caller) const
{
    return this->configuration->find_queue(caller.host, caller.path);
}

void cluster_entry::start_coordinating(std::int64_t term, commit_chain& chain)
{
    this->active_coordinator = std::make_unique<coordinator>(
        coordinator::environment{
            .loop = this->loop,
            .store = this->external.store,
            .orders = this->orders,
            .directory = this->external.directory,
            .log = this->log,
            .metrics = this->metrics,
            .prefix = this->own_settings.key_prefix,
            .task_lease = this->own_settings.task_lease,
            .longest_task_lease = this->own_settings.longest_task_lease,
            .unanswered_start_limit = this->own_settings.unanswered_start_limit,
            .ended_retention = this->own_settings.ended_retention,
            .usage_half_life = this->own_settings.usage_half_life,
            .admission = this->own_settings.admission,
            .advisor_questions = this->own_settings.advisor_questions,
            .preemption = this->own_settings.preemption,
            .all_members_answered_within =
                [this](milliseconds span) { return this->hub.all_members_answered_within(span); },
            .forget_departed_members =
                [this](milliseconds when) { this->hub.forget_disconnected(when); },
            .on_fleet_size = [this](std::size_t targets) { this->orders.set_fleet_size(targets); }},
        this->election, chain, term, this->configuration);
    this->add_advisor(this->own_settings.vm);
    this->hub.for_each_member(
        [this](const std::string& vm, peer_channel&) { this->add_advisor(vm); });
    this->chain = &chain;
    // Right after an election hardly any member is connected.
    this->strongest_record.set(this->strongest(), boot_time());
    this->strongest_stored = {};
    this->active_coordinator->start();
    this->last_role_change = boot_time();
    this->hand_over_timer.start_repeating(hand_over_check_interval);
}

void cluster_entry::stop_coordinating()
{
    this->chain = nullptr;
    this->former_coordinator = std::move(this->active_coordinator);
    this->former_coordinator_timer.start_once(milliseconds(0));
}

void cluster_entry::add_advisor(const std::string& vm)
{
    if (!this->active_coordinator)
        return;
    if (vm == this->own_settings.vm) {
        this->active_coordinator->advice_dispatch().add_vm(
            vm, [this](const advice_question& question, milliseconds timeout,
                       advice_dispatcher::answer_callback done) {
                this->external.advisor.ask(question, timeout, std::move(done));
            });
        return;
    }
    this->active_coordinator->advice_dispatch().add_vm(
        vm, [this, vm](const advice_question& question, milliseconds timeout,
                       advice_dispatcher::answer_callback done) {
            auto* channel = this->hub.find(vm);
            if (channel == nullptr) {
                done({});
                return;
            }
            channel->call(peer_topic::advise, pack_message(question), timeout,
                          [done = std::move(done)](const absl::StatusOr<std::string>& payload) {
                              advice_answer answer;
                              if (payload.ok()) {
                                  if (auto read = unpack_message<advice_answer>(*payload);
                                      read.ok())
                                      answer = *std::move(read);
                              }
                              done(std::move(answer));
                          });
        });
}

void cluster_entry::send_snapshot_if_behind(const member_greeting& peer, peer_channel* channel)
{
    if (channel == nullptr)
        return;
    const snapshot_state peer_state{peer.configuration_revision, peer.configuration_digest};
    const snapshot_state own_state{this->configuration->revision, this->configuration->digest};
    if (!this->snapshots.should_send(peer.vm, peer_state, own_state, channel->unsent(),
                                     boot_time()))
        return;
    this->log.write("configuration", "snapshot_sent", {{"vm", peer.vm}});
    channel->send_notification(peer_topic::configuration,
                               this->external.operators.export_snapshot());
}

} // namespace verbenalever
