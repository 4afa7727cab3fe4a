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

/// Distributes the configuration and restrictions between entry daemons, for entry daemons that
/// cannot reach the store.
///
/// Stored revisions are pulled: when a peer's heartbeat carries a newer revision, the entry daemon
/// first waits for its own watch on the store, then requests the revision from that peer.
/// Restrictions are pushed to every peer and resent until the peer acknowledges them.
class configuration_distributor {
public:
    configuration_distributor(event_loop& loop, configuration_store& configuration,
                              peer_mesh& mesh);

    /// Start to compare revisions with peers and to send restrictions at intervals.
    void start();

    /// Send each peer the restrictions that it has not acknowledged, without waiting for the next
    /// interval.
    void send_restrictions();

    /// @return whether @p peer has acknowledged the restriction @p id
    [[nodiscard]] bool acknowledged(std::string_view peer, std::string_view id) const;

private:
    /// The restrictions that one incarnation of a peer has acknowledged.
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
    /// Creation time of this object, sent with each acknowledgement. The object is created after
    /// the mesh, so the value is not below the incarnation in this entry daemon's heartbeats.
    std::uint64_t incarnation = static_cast<std::uint64_t>(wall_microseconds());
    timer compare_timer;
    monotonic_time newer_revision_since; ///< when a peer's newer revision was first seen
    std::int64_t newer_revision = 0; ///< the revision seen then; zero while no peer has a newer one
    std::map<std::string, acknowledgement, std::less<>> acknowledgements; ///< by peer
};

} // namespace verbenalever
