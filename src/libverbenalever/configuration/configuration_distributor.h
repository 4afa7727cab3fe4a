#pragma once

#include "loop/timer.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class configuration_store;
class peer_mesh;
struct configuration_reply;
struct configuration_request;
struct peer_state;
struct restriction_ack;
struct restriction_notice;

/// Brings configuration and restrictions from entry to entry, for those that the store does not
/// reach.
///
/// Kept revisions are asked for: an entry whose peer's heartbeats tell a newer revision waits a
/// little for its own watch, then asks that peer. Restrictions are sent, again until acknowledged.
class configuration_distributor {
public:
    configuration_distributor(event_loop& loop, configuration_store& configuration,
                              peer_mesh& mesh);

    /// Begin to compare with peers.
    void start();

    /// Send restrictions not acknowledged yet, without waiting for the next interval.
    void send_restrictions();

    /// @return whether @p peer has acknowledged the restriction @p id
    [[nodiscard]] bool acknowledged(std::string_view peer, std::string_view id) const;

private:
    /// What a peer has told about restrictions.
    struct acknowledgement {
        std::uint64_t incarnation = 0;
        std::set<std::string, std::less<>> ids;
    };

    void synchronize();
    void request_newer_revision();
    void handle_request(const std::string& from, const configuration_request& message);
    void handle_reply(const configuration_reply& message);
    void handle_restriction_notice(const std::string& from, const restriction_notice& message);
    void handle_ack(const std::string& from, const restriction_ack& message);
    [[nodiscard]] std::vector<std::string> unacknowledged(const peer_state& peer) const;

    configuration_store& configuration;
    peer_mesh& mesh;
    /// Of this object; as it is made after the mesh, it is at least the heartbeats' incarnation.
    std::uint64_t incarnation = static_cast<std::uint64_t>(wall_microseconds());
    timer compare_timer;
    monotonic_time newer_revision_since; ///< when a peer was first seen to have a newer revision
    std::int64_t newer_revision = 0;     ///< the revision that newer_revision_since is about
    std::map<std::string, acknowledgement, std::less<>> acknowledgements; ///< by peer
};

} // namespace verbenalever
