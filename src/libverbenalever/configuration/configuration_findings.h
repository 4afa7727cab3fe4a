#pragma once

#include <set>
#include <span>
#include <string>
#include <vector>

namespace verbenalever {

struct fleet_configuration;
struct operator_configuration;
struct vm_record;

/// Something in a valid configuration that most likely is a mistake.
struct configuration_finding {
    enum class kind {
        never_matches,        ///< an entry that no work or caller can match
        contradictory_limits, ///< limits of which one makes another one pointless
    };

    kind what = kind::never_matches;
    std::string path; ///< of the entry, such as "queues.quotes"
    std::string message;
};

/// @return the findings in a configuration of entries, in order of the entries
[[nodiscard]] std::vector<configuration_finding>
find_mistakes(const operator_configuration& configuration);

/// @param used_pools pools that have targets; empty: not known, pools are not checked
/// @return the findings in the operators' document on the users' platform, in its order
[[nodiscard]] std::vector<configuration_finding>
find_mistakes(const fleet_configuration& configuration, const std::set<std::string>& used_pools);

/// @param targets of all availability zones
/// @return the queues of which no target in a zone in service can hold one task, in order of names
[[nodiscard]] std::vector<configuration_finding>
find_queues_without_targets(const operator_configuration& configuration,
                            std::span<const vm_record> targets);

/// @return whether any of the findings is of this kind
[[nodiscard]] bool contains_kind(std::span<const configuration_finding> findings,
                                 configuration_finding::kind what);

} // namespace verbenalever
