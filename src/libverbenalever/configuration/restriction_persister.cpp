#include "configuration/restriction_persister.h"

#include "configuration/configuration_store.h"
#include "configuration/configuration_writer.h"

#include <random>

namespace verbenalever {

namespace {

/// Bounds of the random interval between writes. Entry daemons that have the same restriction write
/// at different times, so that usually a single write is needed.
constexpr milliseconds min_wait{1000};
constexpr milliseconds max_wait{3000};

} // namespace

restriction_persister::restriction_persister(event_loop& loop, configuration_store& configuration,
                                             configuration_writer& writer)
    : configuration(configuration), writer(writer),
      attempt_timer(loop, [this] { this->persist_now(); })
{
}

void restriction_persister::start()
{
    this->schedule_next_attempt();
}

void restriction_persister::persist_now()
{
    this->schedule_next_attempt();
    const auto unstored = this->configuration.restrictions().all();
    const auto base = this->configuration.stored().revision;
    if (this->writing || unstored.empty() || base == 0)
        return;
    std::vector<std::string> ids;
    for (const auto& [id, member] : unstored)
        ids.push_back(id);
    this->writing = true;
    this->writer.edit(
        base, unstored.begin()->second.operator_key_id, ids,
        [&unstored](YAML::Node& root) {
            for (const auto& [id, member] : unstored)
                member.write_to_yaml(root);
        },
        [this](const absl::StatusOr<configuration_document>&) { this->writing = false; });
}

void restriction_persister::schedule_next_attempt()
{
    static std::minstd_rand generator(std::random_device{}());
    std::uniform_int_distribution<std::int64_t> wait(min_wait.count(), max_wait.count());
    this->attempt_timer.start_once(milliseconds(wait(generator)));
}

} // namespace verbenalever
