// The part of this entry daemon in the election: its fitness beside other VMs, when it becomes a
// candidate and when it hands coordination over.

#include "coordination/commit_chain.h"
#include "coordination/member_messages.h"
#include "daemon/cluster_entry.h"
#include "membership/message_codec.h"
#include "ports/metadata_store.h"
#include "timeline/event_log.h"

#include <algorithm>

namespace verbenalever {

namespace {

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

} // namespace verbenalever
