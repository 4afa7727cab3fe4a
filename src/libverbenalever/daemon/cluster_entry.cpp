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

#include <algorithm>

namespace verbenalever {

namespace {

constexpr milliseconds hand_over_check_interval{200};
/// Assumed fitness of the strongest VM until a coordinator has told or stored it: what each VM has
/// on the users' smaller sites, which is enough to coordinate them.
constexpr vm_fitness default_strongest{.processor_share = 0.25};
/// A weak VM becomes a candidate this much later than the strong ones: several times the random
/// spread of their candidacies.
constexpr milliseconds weak_candidacy_delay{400};
/// The same in a process that has not heard any coordinator: after a loss of all processes the
/// stronger VMs may take a second longer to start.
constexpr milliseconds weak_candidacy_delay_after_start{1000};
/// Each further level of weakness adds this much.
constexpr milliseconds weakness_level_delay{200};
/// Wait before the fitness of the strongest VM is read again after a failure.
constexpr milliseconds join_retry_wait{250};
/// A coordinator that has made no progress for this long asks members whether the store answers
/// them, early enough that their answers arrive before it would hand over.
constexpr milliseconds store_check_after{1500};
/// A process that handed over takes coordination from no other, and hands it to none, for this
/// long.
constexpr milliseconds candidacy_pause{15'000};

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

void cluster_entry::join_election()
{
    this->external.store.read(this->strongest_key(), [this, alive = this->alive](auto stored) {
        if (!*alive)
            return;
        if (!stored.ok()) {
            this->join_timer.start_once(join_retry_wait);
            return;
        }
        if (*stored) {
            if (const auto read = unpack_message<vm_fitness>((*stored)->value); read.ok())
                this->strongest_record.set(fitter(this->strongest_record.value(), *read),
                                           boot_time());
            else
                this->log.write("coordination", "strongest_unreadable", {{"key", (*stored)->key}});
        }
        this->election.start();
    });
}

std::string cluster_entry::strongest_key() const
{
    return this->own_settings.key_prefix + "strongest";
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

std::string cluster_entry::greeting() const
{
    return pack_message(member_greeting{
        .vm = this->own_settings.vm,
        .availability_zone = this->own_settings.availability_zone,
        .configuration_revision = this->configuration->revision,
        .configuration_digest = this->configuration->digest,
        .lag_ms = this->loop_lag.lag().count(),
        .processor_share = this->own_settings.processor_share,
        .strongest_share = this->strongest().processor_share,
        .store_answers = this->election.store_answers(),
        .coordinating = this->active_coordinator != nullptr && !this->election.handing_over(),
        .certain = this->election.is_lease_valid(),
        .leaving = this->retired,
        .link_mbps = this->own_settings.link_mbps,
        .strongest_link_mbps = this->strongest().link_mbps,
        .may_coordinate = this->election.accepts_hand_over(),
        .store_check_wanted = this->time_without_progress() >= store_check_after,
        .store_checked = this->election.store_checked()});
}

void cluster_entry::apply_heartbeat(const member_greeting& member)
{
    this->member_conditions[member.vm] = {
        .vm = member.vm,
        .fitness = {.processor_share = member.processor_share, .link_mbps = member.link_mbps},
        .loop_lag = milliseconds(member.lag_ms),
        .store_checked = member.store_checked,
        .can_coordinate = member.store_answers && member.may_coordinate && !member.leaving};
    if (member.leaving)
        this->orders.remove_relay(member.vm);
    else
        this->orders.update_relay(member.vm, member.availability_zone, member.processor_share);
}

void cluster_entry::handle_coordinator_heartbeat(const member_greeting& greeting)
{
    // A process that was restarted at the former coordinator's address knows less.
    if (greeting.coordinating)
        this->strongest_record.set({.processor_share = greeting.strongest_share,
                                    .link_mbps = greeting.strongest_link_mbps},
                                   boot_time());
    this->coordinator_lease_certain = greeting.certain;
    if (greeting.store_check_wanted)
        this->election.check_store();
    this->send_snapshot_if_behind(greeting, this->link.channel());
    // A restarted process listens at the former coordinator's address without coordinating. A
    // newly elected coordinator may report it one heartbeat late.
    constexpr int max_non_coordinating = 2;
    this->non_coordinating_heartbeats =
        greeting.coordinating ? 0 : this->non_coordinating_heartbeats + 1;
    if (greeting.coordinating)
        this->election.confirm_coordinator();
    if (this->non_coordinating_heartbeats == max_non_coordinating)
        this->election.replace_coordinator(coordinator_loss::process_replaced);
}

milliseconds cluster_entry::time_without_progress() const
{
    if (!this->active_coordinator)
        return milliseconds(0);
    return std::max(this->election.time_without_answer(),
                    this->active_coordinator->time_without_load_progress());
}

vm_fitness cluster_entry::own_fitness() const
{
    return {.processor_share = this->own_settings.processor_share,
            .link_mbps = this->own_settings.link_mbps};
}

vm_fitness cluster_entry::strongest() const
{
    return fitter(this->strongest_present(), this->strongest_record.value());
}

vm_fitness cluster_entry::strongest_present() const
{
    auto strongest = this->own_fitness();
    for (const auto& [vm, member] : this->member_conditions)
        strongest = fitter(strongest, member.fitness);
    return strongest;
}

milliseconds cluster_entry::candidacy_delay() const
{
    const int weakness = this->own_fitness().weakness_beside(this->strongest_record.value());
    if (weakness == 0)
        return milliseconds(0);
    return (this->coordinator_ever_heard ? weak_candidacy_delay
                                         : weak_candidacy_delay_after_start) +
           weakness_level_delay * (weakness - 1);
}

void cluster_entry::store_strongest()
{
    this->strongest_record.update(this->strongest_present(), boot_time());
    const auto strongest = this->strongest_record.value();
    if (this->chain == nullptr || strongest == this->strongest_stored)
        return;
    this->strongest_stored = strongest;
    this->chain->put(this->strongest_key(), [strongest] { return pack_message(strongest); }, false,
                     {});
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
            .ended_retention = this->own_settings.ended_retention,
            .usage_half_life = this->own_settings.usage_half_life,
            .admission = this->own_settings.admission,
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

void cluster_entry::check_hand_over()
{
    if (!this->active_coordinator) {
        this->hand_over_timer.stop();
        return;
    }
    if (this->election.handing_over())
        return;
    this->store_strongest();
    std::vector<member_condition> members;
    for (const auto& [vm, member] : this->member_conditions) {
        if (this->hub.find(vm) != nullptr)
            members.push_back(member);
    }
    const coordinator_condition own{.fitness = this->own_fitness(),
                                    .paused = !this->election.accepts_hand_over(),
                                    .loop_lag = this->loop_lag.lag(),
                                    .since_change = boot_time() - this->last_role_change,
                                    .writes_stalled = this->election.time_without_answer(),
                                    .load_stalled =
                                        this->active_coordinator->time_without_load_progress(),
                                    .store_answers = this->election.renewals_answered()};
    const auto decision = decide_hand_over(own, members);
    if (!decision)
        return;
    this->log.write("coordination", "handing_over",
                    {{"reason", decision->reason},
                     {"processor_share", own.fitness.processor_share},
                     {"link_mbps", own.fitness.link_mbps},
                     {"lag_ms", own.loop_lag.count()},
                     {"writes_stalled_ms", own.writes_stalled.count()},
                     {"load_stalled_ms", own.load_stalled.count()},
                     {"member", decision->member}});
    this->last_role_change = boot_time();
    this->hand_over(candidacy_pause);
}

void cluster_entry::hand_over(milliseconds pause)
{
    this->election.hand_over(pause);
    // Members that know become candidates as soon as the leader key is gone.
    this->hub.for_each_member(
        [](const std::string&, peer_channel& channel) { channel.send_heartbeat(); });
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
