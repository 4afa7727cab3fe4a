#pragma once

#include "scheduling/resources.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenalever {

struct key_configuration;

/// What happens to the work that runs in an availability zone when the zone is put out of service:
/// it may run to its end, or it is moved.
inline constexpr std::string_view zone_drain_let_end = "let-end";
inline constexpr std::string_view zone_drain_move = "move";

/// Amount that means "no limit", in the unit of each resource.
inline constexpr std::int64_t unlimited_units = 1'000'000'000;

/// Remove the key with the id @p id from the list @p list, if it is present.
void remove_key(YAML::Node& root, const std::string& list, std::string_view id);

/// Append a key to the list @p list.
void add_key(YAML::Node& root, const std::string& list, const key_configuration& key);

/// @param state in or out
/// @param drain let-end or move; only written when @p state is "out"
void set_zone_state(YAML::Node& root, const std::string& zone, std::string_view state,
                    std::string_view drain);

/// Set a team's upper limit; amounts at unlimited_units or above are left out.
void set_team_limit(YAML::Node& root, const std::string& team, const resources& limit);

/// @return the limit in the "limit" mapping of a validated configuration
[[nodiscard]] resources read_limit(const YAML::Node& limit);

void set_queue_stopped(YAML::Node& root, const std::string& queue, bool stopped);

/// @return the document as YAML text; comments of the parsed text are lost
[[nodiscard]] std::string to_yaml_text(const YAML::Node& root);

} // namespace verbenalever
