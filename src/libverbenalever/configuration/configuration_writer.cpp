#include "configuration/configuration_writer.h"

#include "configuration/configuration_edit.h"
#include "configuration/configuration_store.h"
#include "loop/timer.h"
#include "loop/unique_id.h"
#include "store/kv_client.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

constexpr std::string_view history_prefix = "configuration_history/";
constexpr milliseconds retry_delay{300};
/// Maximum time to find out whether a write without a reply took effect.
constexpr milliseconds resolve_timeout{10000};
/// Maximum number of resolved restrictions that a document lists. Earlier ones are listed too, so
/// that an entry daemon that was disconnected drops them when it receives a later document.
constexpr std::size_t max_resolved_restrictions = 512;

std::string history_key(std::int64_t number)
{
    return fmt::format("{}{}", history_prefix, number % configuration_writer::history_length);
}

void append_resolved(std::vector<std::string>& resolved_restrictions,
                     std::span<const std::string> added)
{
    resolved_restrictions.insert(resolved_restrictions.end(), added.begin(), added.end());
    if (resolved_restrictions.size() > max_resolved_restrictions)
        resolved_restrictions.erase(resolved_restrictions.begin(),
                                    resolved_restrictions.end() -
                                        static_cast<std::ptrdiff_t>(max_resolved_restrictions));
}

} // namespace

/// State of one change until it is accepted or rejected.
struct configuration_writer::attempt {
    attempt(event_loop& loop, callback done)
        : done(std::move(done)), delay(loop, [this] { std::exchange(this->next_step, nullptr)(); })
    {
    }

    configuration_document replaced;
    configuration_document proposed;
    std::vector<std::string> resolves;
    /// Zones that are out because of a restriction that the change resolves.
    std::vector<std::string> zones_out_by_restriction;
    callback done;
    bool refreshed = false;   ///< the stored document was read again for this change
    bool unconfirmed = false; ///< a write was sent and no reply was received
    monotonic_time unconfirmed_since;
    std::function<void()> next_step;
    timer delay;
};

configuration_writer::configuration_writer(event_loop& loop, kv_client& store,
                                           configuration_store& configuration, const event_log& log)
    : loop(loop), store(store), configuration(configuration), log(log)
{
}

configuration_writer::~configuration_writer() = default;

void configuration_writer::apply(configuration_change change, callback done)
{
    if (const auto checked = operator_configuration::parse(change.text, "configuration");
        !checked.ok())
        return done(checked.status());
    auto pending = std::make_shared<attempt>(this->loop, std::move(done));
    pending->proposed = {.base = change.base,
                         .change_id = make_unique_id("change"),
                         .operator_key_id = std::move(change.operator_key_id),
                         .accepted_us = wall_microseconds(),
                         .resolved_restrictions = {},
                         .text = std::move(change.text)};
    pending->resolves = std::move(change.resolves);
    this->start_attempt(pending);
}

void configuration_writer::edit(std::int64_t base, const std::string& operator_key_id,
                                std::vector<std::string> resolves,
                                const std::function<void(YAML::Node&)>& edit, callback done)
{
    const auto& stored = this->configuration.stored();
    if (base != stored.revision)
        return done(absl::AbortedError("the change is based on another revision; in force here: " +
                                       stored.origin()));
    auto root = YAML::Load(stored.text); // cannot fail: stored text has been parsed before
    if (root.IsNull())
        root = YAML::Node(YAML::NodeType::Map);
    edit(root);
    this->apply({.base = base,
                 .text = to_yaml_text(root),
                 .operator_key_id = operator_key_id,
                 .resolves = std::move(resolves)},
                std::move(done));
}

void configuration_writer::history(history_callback done)
{
    this->store.list(history_prefix, [done = std::move(done)](absl::StatusOr<kv_listing> listing) {
        if (!listing.ok())
            return done(listing.status());
        std::vector<configuration_document> documents;
        for (const auto& entry : listing->entries) {
            if (auto document = configuration_document::decode(entry.value, 0); document.ok())
                documents.push_back(*std::move(document));
        }
        std::ranges::sort(documents, std::greater(), &configuration_document::number);
        done(std::move(documents));
    });
}

void configuration_writer::start_attempt(const attempt_ptr& pending)
{
    const auto& stored = this->configuration.stored();
    if (pending->proposed.base < stored.revision)
        return this->reject_as_conflict(pending);
    if (pending->proposed.base > stored.revision || stored.revision == 0) {
        if (!pending->refreshed)
            return this->read_current(pending);
        if (pending->proposed.base != 0)
            return finish(pending, absl::UnavailableError(
                                       "this entry does not know the revision that the change is "
                                       "based on; nothing was changed"));
    }
    pending->replaced = stored;
    pending->proposed.number = stored.number + 1;
    pending->proposed.resolved_restrictions = stored.resolved_restrictions;
    append_resolved(pending->proposed.resolved_restrictions, pending->resolves);
    for (const auto& [id, member] : this->configuration.restrictions().all()) {
        if (member.kind == "zone_out" && std::ranges::count(pending->resolves, id) > 0)
            pending->zones_out_by_restriction.push_back(member.subject);
    }
    if (stored.revision == 0)
        return this->write_current(pending);
    this->read_history_slot(pending);
}

void configuration_writer::read_current(const attempt_ptr& pending)
{
    pending->refreshed = true;
    this->store.get(
        configuration_store::store_key, [this, pending](absl::StatusOr<kv_entry> present) {
            if (present.ok())
                this->configuration.apply_if_newer(present->value, present->revision);
            else if (!absl::IsNotFound(present.status()))
                return finish(pending,
                              absl::UnavailableError(
                                  "the configuration store does not answer; nothing was changed"));
            this->start_attempt(pending);
        });
}

void configuration_writer::read_history_slot(const attempt_ptr& pending)
{
    this->store.get(
        history_key(pending->replaced.number), [this, pending](absl::StatusOr<kv_entry> slot) {
            if (absl::IsNotFound(slot.status()))
                return this->write_history_slot(pending, 0);
            if (!slot.ok())
                return finish(pending,
                              absl::UnavailableError(
                                  "the configuration store does not answer; nothing was changed"));
            const auto slot_document = configuration_document::decode(slot->value, 0);
            if (slot_document.ok() && slot_document->number >= pending->replaced.number)
                return this->write_current(pending);
            this->write_history_slot(pending, slot->revision);
        });
}

void configuration_writer::write_history_slot(const attempt_ptr& pending,
                                              std::int64_t slot_revision)
{
    this->store.put(history_key(pending->replaced.number), pending->replaced.encode(),
                    slot_revision, [this, pending](const absl::StatusOr<std::int64_t>& written) {
                        // ABORTED: another writer with the same base already copied this document
                        if (!written.ok() && !absl::IsAborted(written.status()))
                            return finish(pending, absl::UnavailableError(
                                                       "the configuration store does not answer; "
                                                       "nothing was changed"));
                        this->write_current(pending);
                    });
}

void configuration_writer::write_current(const attempt_ptr& pending)
{
    this->store.put(configuration_store::store_key, pending->proposed.encode(),
                    pending->proposed.base,
                    [this, pending](const absl::StatusOr<std::int64_t>& revision) {
                        this->handle_write_result(pending, revision);
                    });
}

void configuration_writer::handle_write_result(const attempt_ptr& pending,
                                               const absl::StatusOr<std::int64_t>& revision)
{
    if (revision.ok())
        return this->finish_accepted(pending, *revision);
    if (absl::IsAborted(revision.status()))
        return this->read_back(pending);
    if (!pending->unconfirmed) {
        pending->unconfirmed = true;
        pending->unconfirmed_since = monotonic_clock::now();
        this->log.write("configuration", "change_in_doubt",
                        {{"change", pending->proposed.change_id}});
    }
    // Repeating the write is safe: with the compare-and-swap at most one of the writes takes
    // effect.
    this->retry_later(pending, &configuration_writer::write_current);
}

void configuration_writer::read_back(const attempt_ptr& pending)
{
    this->store.get(configuration_store::store_key,
                    [this, pending](absl::StatusOr<kv_entry> present) {
                        if (present.ok() && present->revision > pending->proposed.base)
                            return this->resolve_from_current(pending, *present);
                        if (!pending->unconfirmed)
                            return this->reject_as_conflict(pending);
                        this->retry_later(pending, &configuration_writer::read_back);
                    });
}

void configuration_writer::resolve_from_current(const attempt_ptr& pending, const kv_entry& present)
{
    this->configuration.apply_if_newer(present.value, present.revision);
    const auto document = configuration_document::decode(present.value, present.revision);
    if (document.ok() && document->change_id == pending->proposed.change_id)
        return this->finish_accepted(pending, present.revision);
    const bool replaced_by_other = document.ok() && document->base == pending->proposed.base;
    if (!pending->unconfirmed || replaced_by_other)
        return this->reject_as_conflict(pending);
    this->resolve_from_history(pending);
}

void configuration_writer::resolve_from_history(const attempt_ptr& pending)
{
    this->store.get(
        history_key(pending->proposed.number), [this, pending](absl::StatusOr<kv_entry> slot) {
            if (!slot.ok())
                return this->retry_later(pending, &configuration_writer::resolve_from_history);
            const auto slot_document = configuration_document::decode(slot->value, 0);
            if (slot_document.ok() && slot_document->change_id == pending->proposed.change_id)
                return this->finish_accepted(pending, slot_document->revision);
            if (slot_document.ok() && slot_document->number == pending->proposed.number)
                return this->reject_as_conflict(pending);
            this->retry_later(pending, &configuration_writer::resolve_from_history);
        });
}

void configuration_writer::retry_later(const attempt_ptr& pending,
                                       void (configuration_writer::*step)(const attempt_ptr&))
{
    if (monotonic_clock::now() - pending->unconfirmed_since > resolve_timeout)
        return finish(pending, absl::UnknownError(
                                   "the configuration store did not answer: the change may or may "
                                   "not be accepted; run 'config show' when the store is back"));
    pending->next_step = [this, pending, step] { (this->*step)(pending); };
    pending->delay.start_once(retry_delay);
}

void configuration_writer::finish_accepted(const attempt_ptr& pending, std::int64_t revision)
{
    pending->proposed.revision = revision;
    this->log_zone_changes(pending);
    this->configuration.apply_if_newer(pending->proposed.encode(), revision);
    this->log.write("configuration", "change_accepted",
                    {{"revision", revision},
                     {"base", pending->proposed.base},
                     {"change", pending->proposed.change_id},
                     {"by", pending->proposed.operator_key_id}});
    finish(pending, pending->proposed);
}

void configuration_writer::log_zone_changes(const attempt_ptr& pending) const
{
    const auto before = operator_configuration::parse(pending->replaced.text, "configuration");
    const auto after = operator_configuration::parse(pending->proposed.text, "configuration");
    if (!before.ok() || !after.ok())
        return;
    const auto write = [this](const std::string& zone, std::string_view state) {
        this->log.write("configuration", "availability_zone_state",
                        {{"availability_zone", zone}, {"state", state}});
    };
    for (const auto& zone : after->availability_zones_out) {
        if (!before->availability_zones_out.contains(zone))
            write(zone, "out");
    }
    auto out_before = before->availability_zones_out;
    out_before.insert(pending->zones_out_by_restriction.begin(),
                      pending->zones_out_by_restriction.end());
    for (const auto& zone : out_before) {
        if (!after->availability_zones_out.contains(zone))
            write(zone, "in");
    }
}

void configuration_writer::reject_as_conflict(const attempt_ptr& pending)
{
    const auto& stored = this->configuration.stored();
    const auto newer = stored.revision > pending->proposed.base
                           ? "a newer one is kept: " + stored.origin()
                           : std::string("another one is kept, which this entry could not read");
    finish(pending, absl::AbortedError(fmt::format(
                        "the change is based on revision {}, but {}; nothing was changed",
                        pending->proposed.base, newer)));
}

void configuration_writer::finish(const attempt_ptr& pending,
                                  absl::StatusOr<configuration_document> outcome)
{
    std::exchange(pending->done, nullptr)(std::move(outcome));
}

} // namespace verbenalever
