#pragma once

#include "gateway/gateway_reply.h"
#include "loop/clock.h"
#include "ports/fleet_configuration.h"
#include "workflows/workflow_spec.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace verbenalever {

/// The parts of a caller's call that identify its queue and its team.
struct caller_identity {
    std::string_view host;
    std::string_view path;
    std::string_view key; ///< access key; empty: none was sent
};

/// Handles callers' calls about workflows; implemented by every entry daemon.
class workflow_gateway {
public:
    using callback = std::function<void(gateway_reply)>;

    virtual ~workflow_gateway() = default;

    /// Submit a workflow under an id chosen by the caller.
    virtual void submit(const caller_identity& caller, std::string id, workflow_spec spec,
                        milliseconds timeout, callback done) = 0;

    virtual void status(const caller_identity& caller, std::string id, milliseconds timeout,
                        callback done) = 0;

    virtual void cancel(const caller_identity& caller, std::string id, milliseconds timeout,
                        callback done) = 0;

    /// Count the workflows of the caller's queue of which no task has started.
    virtual void count_waiting(const caller_identity& caller, milliseconds timeout,
                               callback done) = 0;

    /// @return the queue that the call addresses; null when there is none or no configuration was
    ///         read yet
    [[nodiscard]] virtual const queue_definition*
    find_queue(const caller_identity& caller) const = 0;

    /// @return whether a configuration has been read
    [[nodiscard]] virtual bool has_configuration() const = 0;
};

} // namespace verbenalever
