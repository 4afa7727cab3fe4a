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
/// Longest time to find out whether a write without a reply took effect.
constexpr milliseconds resolve_limit{10000};
/// Settled restrictions that the document goes on naming, for entries that were cut off.
constexpr std::size_t settled_limit = 512;

std::string history_key(std::int64_t number)
{
    return fmt::format("{}{}", history_prefix, number % configuration_writer::history_length);
}

void append_settled(std::vector<std::string>& settled, std::span<const std::string> added)
{
    settled.insert(settled.end(), added.begin(), added.end());
    if (settled.size() > settled_limit)
        settled.erase(settled.begin(), settled.end() - static_cast<std::ptrdiff_t>(settled_limit));
}

} // namespace

/// One change on its way into the store.
struct configuration_writer::attempt {
    attempt(event_loop& loop, callback done)
        : done(std::move(done)), delay(loop, [this] { std::exchange(this->next_step, nullptr)(); })
    {
    }

    configuration_document replaced;
    configuration_document wanted;
    std::vector<std::string> settles;
    std::vector<std::string> restricted_zones; ///< out by a restriction that the change settles
    callback done;
    bool refreshed = false;
    bool in_doubt = false; ///< a write was sent and its reply did not come
    monotonic_time doubt_since;
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
    auto work = std::make_shared<attempt>(this->loop, std::move(done));
    work->wanted = {.base = change.base,
                    .writer = make_unique_id("change"),
                    .by = std::move(change.by),
                    .accepted_us = wall_microseconds(),
                    .settled = {},
                    .text = std::move(change.text)};
    work->settles = std::move(change.settles);
    this->begin(work);
}

void configuration_writer::edit(std::int64_t base, const std::string& by,
                                std::vector<std::string> settles,
                                const std::function<void(YAML::Node&)>& edit, callback done)
{
    const auto& kept = this->configuration.stored();
    if (base != kept.revision)
        return done(absl::AbortedError(
            "the change was made from another revision; in force here: " + kept.origin()));
    auto root = YAML::Load(kept.text); // kept text was parsed before
    if (root.IsNull())
        root = YAML::Node(YAML::NodeType::Map);
    edit(root);
    this->apply({.base = base, .text = yaml_text(root), .by = by, .settles = std::move(settles)},
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

void configuration_writer::begin(const attempt_ptr& work)
{
    const auto& kept = this->configuration.stored();
    if (work->wanted.base < kept.revision)
        return this->lost(work);
    if (work->wanted.base > kept.revision || kept.revision == 0) {
        if (!work->refreshed)
            return this->refresh(work);
        if (work->wanted.base != 0)
            return finish(work, absl::UnavailableError(
                                    "this entry does not know the revision that the change was "
                                    "made from; nothing was changed"));
    }
    work->replaced = kept;
    work->wanted.number = kept.number + 1;
    work->wanted.settled = kept.settled;
    append_settled(work->wanted.settled, work->settles);
    for (const auto& [id, member] : this->configuration.restrictions().all()) {
        if (member.kind == "zone_out" && std::ranges::count(work->settles, id) > 0)
            work->restricted_zones.push_back(member.subject);
    }
    if (kept.revision == 0)
        return this->put(work);
    this->read_history_slot(work);
}

void configuration_writer::refresh(const attempt_ptr& work)
{
    work->refreshed = true;
    this->store.get(configuration_store::kept_key, [this, work](absl::StatusOr<kv_entry> present) {
        if (present.ok())
            this->configuration.offer(present->value, present->revision);
        else if (!absl::IsNotFound(present.status()))
            return finish(work,
                          absl::UnavailableError(
                              "the configuration store does not answer; nothing was changed"));
        this->begin(work);
    });
}

void configuration_writer::read_history_slot(const attempt_ptr& work)
{
    this->store.get(
        history_key(work->replaced.number), [this, work](absl::StatusOr<kv_entry> slot) {
            if (absl::IsNotFound(slot.status()))
                return this->write_history_slot(work, 0);
            if (!slot.ok())
                return finish(work,
                              absl::UnavailableError(
                                  "the configuration store does not answer; nothing was changed"));
            const auto held = configuration_document::decode(slot->value, 0);
            if (held.ok() && held->number >= work->replaced.number)
                return this->put(work);
            this->write_history_slot(work, slot->revision);
        });
}

void configuration_writer::write_history_slot(const attempt_ptr& work, std::int64_t slot_revision)
{
    this->store.put(history_key(work->replaced.number), work->replaced.encode(), slot_revision,
                    [this, work](const absl::StatusOr<std::int64_t>& written) {
                        // ABORTED: a racer from the same base wrote the same document
                        if (!written.ok() && !absl::IsAborted(written.status()))
                            return finish(work, absl::UnavailableError(
                                                    "the configuration store does not answer; "
                                                    "nothing was changed"));
                        this->put(work);
                    });
}

void configuration_writer::put(const attempt_ptr& work)
{
    this->store.put(configuration_store::kept_key, work->wanted.encode(), work->wanted.base,
                    [this, work](const absl::StatusOr<std::int64_t>& revision) {
                        this->put_answered(work, revision);
                    });
}

void configuration_writer::put_answered(const attempt_ptr& work,
                                        const absl::StatusOr<std::int64_t>& revision)
{
    if (revision.ok())
        return this->accepted(work, *revision);
    if (absl::IsAborted(revision.status()))
        return this->read_back(work);
    if (!work->in_doubt) {
        work->in_doubt = true;
        work->doubt_since = monotonic_clock::now();
        this->log.write("configuration", "change_in_doubt", {{"change", work->wanted.writer}});
    }
    // Writing again is safe: the compare-and-swap lets one of the writes take effect at most.
    this->again(work, &configuration_writer::put);
}

void configuration_writer::read_back(const attempt_ptr& work)
{
    this->store.get(configuration_store::kept_key, [this, work](absl::StatusOr<kv_entry> present) {
        if (present.ok() && present->revision > work->wanted.base)
            return this->judge(work, *present);
        if (!work->in_doubt)
            return this->lost(work);
        this->again(work, &configuration_writer::read_back);
    });
}

void configuration_writer::judge(const attempt_ptr& work, const kv_entry& present)
{
    this->configuration.offer(present.value, present.revision);
    const auto document = configuration_document::decode(present.value, present.revision);
    if (document.ok() && document->writer == work->wanted.writer)
        return this->accepted(work, present.revision);
    const bool replaced_by_other = document.ok() && document->base == work->wanted.base;
    if (!work->in_doubt || replaced_by_other)
        return this->lost(work);
    this->judge_from_history(work);
}

void configuration_writer::judge_from_history(const attempt_ptr& work)
{
    this->store.get(history_key(work->wanted.number), [this, work](absl::StatusOr<kv_entry> slot) {
        if (!slot.ok())
            return this->again(work, &configuration_writer::judge_from_history);
        const auto held = configuration_document::decode(slot->value, 0);
        if (held.ok() && held->writer == work->wanted.writer)
            return this->accepted(work, held->revision);
        if (held.ok() && held->number == work->wanted.number)
            return this->lost(work);
        this->again(work, &configuration_writer::judge_from_history);
    });
}

void configuration_writer::again(const attempt_ptr& work,
                                 void (configuration_writer::*step)(const attempt_ptr&))
{
    if (monotonic_clock::now() - work->doubt_since > resolve_limit)
        return finish(work, absl::UnknownError(
                                "the configuration store did not answer: the change may or may "
                                "not be accepted; 'config show' tells once the store is back"));
    work->next_step = [this, work, step] { (this->*step)(work); };
    work->delay.start_once(retry_delay);
}

void configuration_writer::accepted(const attempt_ptr& work, std::int64_t revision)
{
    work->wanted.revision = revision;
    this->log_zone_changes(work);
    this->configuration.offer(work->wanted.encode(), revision);
    this->log.write("configuration", "change_accepted",
                    {{"revision", revision},
                     {"base", work->wanted.base},
                     {"change", work->wanted.writer},
                     {"by", work->wanted.by}});
    finish(work, work->wanted);
}

void configuration_writer::log_zone_changes(const attempt_ptr& work) const
{
    const auto before = operator_configuration::parse(work->replaced.text, "configuration");
    const auto after = operator_configuration::parse(work->wanted.text, "configuration");
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
    out_before.insert(work->restricted_zones.begin(), work->restricted_zones.end());
    for (const auto& zone : out_before) {
        if (!after->availability_zones_out.contains(zone))
            write(zone, "in");
    }
}

void configuration_writer::lost(const attempt_ptr& work)
{
    const auto& kept = this->configuration.stored();
    const auto newer = kept.revision > work->wanted.base
                           ? "a newer one is kept: " + kept.origin()
                           : std::string("another one is kept, which this entry could not read");
    finish(work, absl::AbortedError(fmt::format(
                     "the change was made from revision {}, but {}; nothing was changed",
                     work->wanted.base, newer)));
}

void configuration_writer::finish(const attempt_ptr& work,
                                  absl::StatusOr<configuration_document> outcome)
{
    std::exchange(work->done, nullptr)(std::move(outcome));
}

} // namespace verbenalever
