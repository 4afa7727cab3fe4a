#pragma once

#include <memory>
#include <string_view>

namespace verbenalever {

class queue_policy;
class share_ledger;
struct operator_configuration;

/// Make the queue policy that the configuration names.
/// @param ledger the teams' use; must outlive the policy
[[nodiscard]] std::unique_ptr<queue_policy>
make_queue_policy(const operator_configuration& configuration, share_ledger& ledger);

/// Make the queue policy anew and move over what waits in the @p present one, in order of arrival.
[[nodiscard]] std::unique_ptr<queue_policy>
remake_queue_policy(queue_policy& present, const operator_configuration& configuration,
                    share_ledger& ledger);

/// Set the ledger's weights by the teams' configured shares.
void apply_shares(const operator_configuration& configuration, share_ledger& ledger);

} // namespace verbenalever
