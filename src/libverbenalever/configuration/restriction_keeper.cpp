#include "configuration/restriction_keeper.h"

#include "configuration/configuration_store.h"
#include "configuration/configuration_writer.h"

#include <random>

namespace verbenalever {

namespace {

/// Entries that hold the same restriction try at different times, so that one write is enough.
constexpr milliseconds shortest_wait{1000};
constexpr milliseconds longest_wait{3000};

} // namespace

restriction_keeper::restriction_keeper(event_loop& loop, configuration_store& configuration,
                                       configuration_writer& writer)
    : configuration(configuration), writer(writer),
      attempt_timer(loop, [this] { this->keep_now(); })
{
}

void restriction_keeper::start()
{
    this->wait_for_next();
}

void restriction_keeper::keep_now()
{
    this->wait_for_next();
    const auto held = this->configuration.restrictions().all();
    const auto base = this->configuration.stored().revision;
    if (this->writing || held.empty() || base == 0)
        return;
    std::vector<std::string> ids;
    for (const auto& [id, member] : held)
        ids.push_back(id);
    this->writing = true;
    this->writer.edit(
        base, held.begin()->second.by, ids,
        [&held](YAML::Node& root) {
            for (const auto& [id, member] : held)
                member.write_into(root);
        },
        [this](const absl::StatusOr<configuration_document>&) { this->writing = false; });
}

void restriction_keeper::wait_for_next()
{
    static std::minstd_rand generator(std::random_device{}());
    std::uniform_int_distribution<std::int64_t> wait(shortest_wait.count(), longest_wait.count());
    this->attempt_timer.start_once(milliseconds(wait(generator)));
}

} // namespace verbenalever
