#include "coordination/snapshot_send_policy.h"

namespace verbenalever {

bool snapshot_send_policy::should_send(const std::string& peer, const snapshot_state& theirs,
                                       const snapshot_state& ours, std::size_t unsent,
                                       milliseconds now)
{
    if (theirs.revision >= ours.revision || theirs.digest == ours.digest) {
        this->lagging_peers.erase(peer);
        return false;
    }
    auto& state = this->lagging_peers.try_emplace(peer, lagging_peer{.since = now}).first->second;
    if (now - state.since < catch_up_time || unsent > busy_bytes)
        return false;
    if (state.sent_digest == ours.digest && now - state.sent_at < resend_wait)
        return false;
    state.sent_at = now;
    state.sent_digest = ours.digest;
    return true;
}

} // namespace verbenalever
