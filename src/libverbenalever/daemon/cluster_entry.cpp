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

/// A coordinator whose event loop runs later than this is too slow: the latency objectives of
/// urgent work are a few hundred milliseconds.
constexpr milliseconds max_loop_lag{150};
constexpr milliseconds hand_over_check_interval{200};
/// The coordinator hands over because of its lag only if another process lags this many times less.
constexpr int min_lag_ratio = 4;
/// No hand-over within this time of an election or an earlier hand-over: a new coordinator is busy
/// at first, and a hand-over costs time itself.
constexpr milliseconds hand_over_delay{2000};
/// Assumed share (in cores) of the strongest VM until a coordinator reports it: what each VM has on
/// the users' smaller sites, which is enough to coordinate them.
constexpr double default_strongest_share = 0.25;
/// A VM with less than this fraction of the strongest VM's share counts as weak.
constexpr double weak_share_ratio = 0.6;
/// A weak VM becomes a candidate this much later than the strong ones: several times the random
/// spread of their candidacies.
constexpr milliseconds weak_candidacy_delay{400};
/// A coordinator that handed over is no candidate for this long.
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
                   this->member_shares.erase(vm);
                   this->member_lags.erase(vm);
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
                    if (!up)
                        this->election.reload_coordinator();
                },
            .coordinator_gone = [this] { this->election.replace_coordinator(); }}),
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
           .coordinator_heard = [this] { return this->link.up(); },
           .candidacy_delay = [this] { return this->candidacy_delay(); }}),
      former_coordinator_timer(loop, [this] { this->former_coordinator.reset(); }), loop_lag(loop),
      strongest_known_share(default_strongest_share),
      hand_over_timer(loop, [this] { this->check_hand_over(); }),
      retry_timer(loop, [this] { this->retry_pending_calls(); })
{
}

cluster_entry::~cluster_entry() = default;

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
    this->election.start();
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
    return pack_message(member_greeting{.vm = this->own_settings.vm,
                                        .availability_zone = this->own_settings.availability_zone,
                                        .configuration_revision = this->configuration->revision,
                                        .configuration_digest = this->configuration->digest,
                                        .lag_ms = this->loop_lag.lag().count(),
                                        .processor_share = this->own_settings.processor_share,
                                        .strongest_share = this->strongest_share(),
                                        .store_answers = this->election.store_answers(),
                                        .coordinating = this->active_coordinator != nullptr,
                                        .certain = this->election.is_lease_valid(),
                                        .leaving = this->retired});
}

void cluster_entry::apply_heartbeat(const member_greeting& member)
{
    this->member_lags[member.vm] = member.lag_ms;
    // A member that cannot reach the store could not take over.
    this->member_shares[member.vm] = member.store_answers ? member.processor_share : 0;
    if (member.leaving)
        this->orders.remove_relay(member.vm);
    else
        this->orders.update_relay(member.vm, member.availability_zone, member.processor_share);
}

void cluster_entry::handle_coordinator_heartbeat(const member_greeting& greeting)
{
    this->strongest_known_share = greeting.strongest_share;
    this->coordinator_lease_certain = greeting.certain;
    this->send_snapshot_if_behind(greeting, this->link.channel());
    // A restarted process listens at the former coordinator's address without coordinating. A
    // newly elected coordinator may report it one heartbeat late.
    constexpr int max_non_coordinating = 2;
    this->non_coordinating_heartbeats =
        greeting.coordinating ? 0 : this->non_coordinating_heartbeats + 1;
    if (this->non_coordinating_heartbeats == max_non_coordinating)
        this->election.replace_coordinator();
}

double cluster_entry::strongest_share() const
{
    double strongest = this->own_settings.processor_share;
    for (const auto& [vm, share] : this->member_shares)
        strongest = std::max(strongest, share);
    return strongest;
}

milliseconds cluster_entry::candidacy_delay() const
{
    const bool weak =
        this->own_settings.processor_share < this->strongest_known_share * weak_share_ratio;
    return weak ? weak_candidacy_delay : milliseconds(0);
}

const std::string* cluster_entry::stronger_member()
{
    for (const auto& [vm, share] : this->member_shares) {
        if (this->own_settings.processor_share < share * weak_share_ratio &&
            this->hub.find(vm) != nullptr)
            return &vm;
    }
    return nullptr;
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
            .all_members_answered_within =
                [this](milliseconds span) { return this->hub.all_members_answered_within(span); },
            .forget_departed_members =
                [this](milliseconds when) { this->hub.forget_disconnected(when); },
            .on_fleet_size = [this](std::size_t targets) { this->orders.set_fleet_size(targets); }},
        this->election, chain, term, this->configuration);
    this->add_advisor(this->own_settings.vm);
    this->hub.for_each_member(
        [this](const std::string& vm, peer_channel&) { this->add_advisor(vm); });
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
    if (boot_time() - this->last_role_change < hand_over_delay)
        return;
    if (const auto* stronger = this->stronger_member()) {
        this->log.write("coordination", "handing_over",
                        {{"reason", "weak"},
                         {"processor_share", this->own_settings.processor_share},
                         {"member", *stronger}});
        this->last_role_change = boot_time();
        this->election.hand_over(candidacy_pause);
        return;
    }
    const auto own_lag = this->loop_lag.lag();
    if (own_lag < max_loop_lag)
        return;
    const auto less_delayed = std::ranges::find_if(this->member_lags, [&](const auto& member) {
        return this->hub.find(member.first) != nullptr &&
               milliseconds(member.second) * min_lag_ratio < own_lag;
    });
    if (less_delayed == this->member_lags.end())
        return;
    this->log.write(
        "coordination", "handing_over",
        {{"reason", "slow"}, {"lag_ms", own_lag.count()}, {"member", less_delayed->first}});
    this->last_role_change = boot_time();
    this->election.hand_over(candidacy_pause);
}

void cluster_entry::stop_coordinating()
{
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
