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

/// A coordinator whose loop is later than this is too slow for its duty: urgent objectives are a
/// few hundred milliseconds.
constexpr milliseconds lag_limit{150};
constexpr milliseconds lag_check_interval{200};
/// Another process takes over only if its loop is this many times less late.
constexpr int lag_factor = 4;
/// A new coordinator is busy at first, and a hand-over has its own cost.
constexpr milliseconds lag_patience{2000};
/// Until other VMs are known, one of this share of a core is thought to be among them: what each VM
/// has on the users' smaller sites, enough to coordinate them.
constexpr double usual_share = 0.25;
/// A VM with less than this part of the strongest one's share is weak beside it.
constexpr double weak_part = 0.6;
/// How long a weak VM lets the strong ones stand first: some times their random spread.
constexpr milliseconds weak_courtesy{400};
/// A coordinator that handed over does not stand again for this long.
constexpr milliseconds lag_rest{15'000};

} // namespace

cluster_entry::cluster_entry(event_loop& loop, settings own, ports outside, const event_log& log,
                             counters& count)
    : loop(loop), own(std::move(own)), outside(outside), log(log), count(count),
      configuration(std::make_shared<fleet_configuration>()),
      hub(loop,
          {.joined =
               [this](const member_greeting& member) {
                   this->add_advisor(member.vm);
                   this->take_heartbeat(member);
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
                   if (this->duty)
                       this->duty->advice_dispatch().remove_vm(vm);
                   this->log.write("coordination", "member_left", {{"vm", vm}});
               },
           .heartbeat =
               [this](const member_greeting& member) {
                   this->take_heartbeat(member);
                   this->spread(member, this->hub.find(member.vm));
               },
           .on_message =
               [this](peer_topic topic, std::string_view payload, peer_channel::replier reply) {
                   this->serve(topic, payload, std::move(reply));
               },
           .greeting = [this] { return this->greeting(); }}),
      link(loop, this->own.peer.address,
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
                    this->hear_coordinator(*other);
                },
            .connection_changed =
                [this](bool up) {
                    this->log.write("coordination", up ? "coordinator_heard" : "coordinator_silent",
                                    {});
                    this->outside.operators.set_peer_notifies(up);
                    this->idle_heartbeats = 0;
                    if (!up)
                        this->office.reload_coordinator();
                },
            .coordinator_gone = [this] { this->office.replace_coordinator(); }}),
      relay(outside.orders, count),
      orders({.loop = loop,
              .direct = outside.orders,
              .count = count,
              .log = log,
              .call =
                  [this](const std::string& vm, peer_topic topic, std::string payload,
                         milliseconds timeout, relayed_orders::reply_callback done) {
                      auto* channel = this->hub.find(vm);
                      if (channel != nullptr)
                          channel->call(topic, std::move(payload), timeout, std::move(done));
                      return channel != nullptr;
                  }}),
      office(loop, outside.store, log, this->own.key_prefix,
             {.vm = this->own.vm, .address = this->own.peer.text(), .tenure = {}},
             {.won = [this](std::int64_t term, commit_chain& chain) { this->won(term, chain); },
              .lost = [this] { this->lost(); },
              .coordinator_changed =
                  [this](const std::optional<coordinator_record>& coordinator) {
                      const bool other = coordinator && coordinator->vm != this->own.vm;
                      this->link.set_coordinator(other ? coordinator : std::nullopt);
                  },
              .coordinator_heard = [this] { return this->link.up(); },
              .candidacy_delay = [this] { return this->courtesy(); }}),
      former_timer(loop, [this] { this->former_duty.reset(); }), lag(loop),
      strongest_heard(usual_share), lag_timer(loop, [this] { this->check_lag(); }),
      parked_timer(loop, [this] { this->retry_parked(); })
{
}

cluster_entry::~cluster_entry() = default;

absl::Status cluster_entry::start()
{
    if (auto status = this->hub.listen(this->own.peer); !status.ok())
        return status;
    this->outside.operators.start([this](std::shared_ptr<const fleet_configuration> read) {
        if (read->version != this->configuration->version)
            this->log.write("configuration", "version_in_force",
                            {{"version", read->version}, {"revision", read->revision}});
        this->configuration = std::move(read);
        if (this->duty)
            this->duty->apply_configuration(this->configuration);
    });
    this->office.start();
    return absl::OkStatus();
}

bool cluster_entry::ready() const
{
    // A coordinator without word from the store accepts nothing: callers are better off elsewhere.
    const bool served =
        this->duty ? this->office.is_lease_valid() : this->link.up() && this->coordinator_certain;
    return !this->retired && this->has_configuration() && served;
}

void cluster_entry::retire()
{
    this->retired = true;
    this->office.retire();
}

bool cluster_entry::coordinating() const
{
    return this->duty != nullptr;
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
    return pack_message(member_greeting{.vm = this->own.vm,
                                        .availability_zone = this->own.availability_zone,
                                        .configuration_revision = this->configuration->revision,
                                        .configuration_digest = this->configuration->digest,
                                        .lag_ms = this->lag.lag().count(),
                                        .processor_share = this->own.processor_share,
                                        .strongest_share = this->strongest_share(),
                                        .store_answers = this->office.store_answers(),
                                        .coordinating = this->duty != nullptr,
                                        .certain = this->office.is_lease_valid(),
                                        .leaving = this->retired});
}

void cluster_entry::take_heartbeat(const member_greeting& member)
{
    this->member_lags[member.vm] = member.lag_ms;
    // One that cannot reach the store could not take over.
    this->member_shares[member.vm] = member.store_answers ? member.processor_share : 0;
    if (member.leaving)
        this->orders.remove_relay(member.vm);
    else
        this->orders.update_relay(member.vm, member.availability_zone, member.processor_share);
}

void cluster_entry::hear_coordinator(const member_greeting& greeting)
{
    this->strongest_heard = greeting.strongest_share;
    this->coordinator_certain = greeting.certain;
    this->spread(greeting, this->link.channel());
    // A process that has started anew listens where the coordinator did. One that has just won may
    // say so a heartbeat late.
    constexpr int idle_limit = 2;
    this->idle_heartbeats = greeting.coordinating ? 0 : this->idle_heartbeats + 1;
    if (this->idle_heartbeats == idle_limit)
        this->office.replace_coordinator();
}

double cluster_entry::strongest_share() const
{
    double strongest = this->own.processor_share;
    for (const auto& [vm, share] : this->member_shares)
        strongest = std::max(strongest, share);
    return strongest;
}

milliseconds cluster_entry::courtesy() const
{
    const bool weak = this->own.processor_share < this->strongest_heard * weak_part;
    return weak ? weak_courtesy : milliseconds(0);
}

const std::string* cluster_entry::stronger_member()
{
    for (const auto& [vm, share] : this->member_shares) {
        if (this->own.processor_share < share * weak_part && this->hub.find(vm) != nullptr)
            return &vm;
    }
    return nullptr;
}

void cluster_entry::won(std::int64_t term, commit_chain& chain)
{
    this->duty = std::make_unique<coordinator>(
        coordinator::environment{
            .loop = this->loop,
            .store = this->outside.store,
            .orders = this->orders,
            .directory = this->outside.directory,
            .log = this->log,
            .metrics = this->count,
            .prefix = this->own.key_prefix,
            .task_lease = this->own.task_lease,
            .ended_retention = this->own.finished_rest,
            .all_members_connected = [this] { return this->hub.all_members_connected(); },
            .forget_departed_members =
                [this](milliseconds when) { this->hub.forget_disconnected(when); },
            .on_fleet_size = [this](std::size_t targets) { this->orders.set_fleet_size(targets); }},
        this->office, chain, term, this->configuration);
    this->add_advisor(this->own.vm);
    this->hub.for_each_member(
        [this](const std::string& vm, peer_channel&) { this->add_advisor(vm); });
    this->duty->start();
    this->won_at = boot_time();
    this->lag_timer.start_repeating(lag_check_interval);
}

void cluster_entry::check_lag()
{
    if (!this->duty) {
        this->lag_timer.stop();
        return;
    }
    if (boot_time() - this->won_at < lag_patience)
        return;
    if (const auto* stronger = this->stronger_member()) {
        this->log.write("coordination", "handing_over",
                        {{"reason", "weak"},
                         {"processor_share", this->own.processor_share},
                         {"member", *stronger}});
        this->won_at = boot_time();
        this->office.hand_over(lag_rest);
        return;
    }
    const auto own_lag = this->lag.lag();
    if (own_lag < lag_limit)
        return;
    const auto better = std::ranges::find_if(this->member_lags, [&](const auto& member) {
        return this->hub.find(member.first) != nullptr &&
               milliseconds(member.second) * lag_factor < own_lag;
    });
    if (better == this->member_lags.end())
        return;
    this->log.write("coordination", "handing_over",
                    {{"reason", "slow"}, {"lag_ms", own_lag.count()}, {"member", better->first}});
    this->won_at = boot_time();
    this->office.hand_over(lag_rest);
}

void cluster_entry::lost()
{
    this->former_duty = std::move(this->duty);
    this->former_timer.start_once(milliseconds(0));
}

void cluster_entry::add_advisor(const std::string& vm)
{
    if (!this->duty)
        return;
    if (vm == this->own.vm) {
        this->duty->advice_dispatch().add_vm(vm, [this](const advice_question& question,
                                                        milliseconds timeout,
                                                        advice_dispatcher::answer_callback done) {
            this->outside.advisor.ask(question, timeout, std::move(done));
        });
        return;
    }
    this->duty->advice_dispatch().add_vm(vm, [this, vm](const advice_question& question,
                                                        milliseconds timeout,
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
                              if (auto read = unpack_message<advice_answer>(*payload); read.ok())
                                  answer = *std::move(read);
                          }
                          done(std::move(answer));
                      });
    });
}

void cluster_entry::spread(const member_greeting& heard, peer_channel* to)
{
    if (to == nullptr)
        return;
    const snapshot_state theirs{heard.configuration_revision, heard.configuration_digest};
    const snapshot_state ours{this->configuration->revision, this->configuration->digest};
    if (!this->snapshots.should_send(heard.vm, theirs, ours, to->unsent(), boot_time()))
        return;
    this->log.write("configuration", "snapshot_sent", {{"vm", heard.vm}});
    to->send_notification(peer_topic::configuration, this->outside.operators.export_snapshot());
}

} // namespace verbenalever
