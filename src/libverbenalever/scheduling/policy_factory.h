#pragma once

#include <memory>
#include <string_view>

namespace verbenalever {

class placement_policy;
class queue_policy;
class target_slowness_tracker;
class share_ledger;
struct operator_configuration;
struct queue_configuration;

/// Make the queue policy that the configuration names.
/// @param ledger usage and weights of the teams; must outlive the policy
[[nodiscard]] std::unique_ptr<queue_policy>
make_queue_policy(const operator_configuration& configuration, share_ledger& ledger);

/// Make the queue policy that the configuration names and move all work to it that waits in
/// @p current.
/// @param ledger usage and weights of the teams; must outlive the policy
[[nodiscard]] std::unique_ptr<queue_policy>
replace_queue_policy(queue_policy& current, const operator_configuration& configuration,
                     share_ledger& ledger);

/// Set the ledger's weights to the teams' configured shares.
void apply_shares(const operator_configuration& configuration, share_ledger& ledger);

/// @return the name of the queue's placement policy: the configured one, else the default of the
///         queue's class
[[nodiscard]] std::string_view placement_policy_name(const queue_configuration& queue);

/// Make a placement policy by its name in the configuration; an unknown name gives least_loaded.
/// @param slowness_tracker measured slowness of the targets; when null, expected_finish gives
///                         least_loaded too
[[nodiscard]] std::unique_ptr<placement_policy>
make_placement_policy(std::string_view name,
                      std::shared_ptr<const target_slowness_tracker> slowness_tracker = nullptr);

} // namespace verbenalever
