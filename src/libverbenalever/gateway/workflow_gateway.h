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

/// A caller's call, as far as it concerns keys and queues.
struct caller_identity {
    std::string_view host;
    std::string_view path;
    std::string_view key; ///< empty: none was sent
};

/// The callers' side of the product: what any entry daemon does with a call about workflows.
class workflow_gateway {
public:
    using callback = std::function<void(gateway_reply)>;

    virtual ~workflow_gateway() = default;

    /// Hand in a workflow under an id of the caller's choice.
    virtual void submit(const caller_identity& caller, std::string id, workflow_spec spec,
                        milliseconds timeout, callback done) = 0;

    virtual void status(const caller_identity& caller, std::string id, milliseconds timeout,
                        callback done) = 0;

    virtual void cancel(const caller_identity& caller, std::string id, milliseconds timeout,
                        callback done) = 0;

    /// Count the workflows of a queue of which nothing has started.
    virtual void count_waiting(const caller_identity& caller, milliseconds timeout,
                               callback done) = 0;

    /// @return the queue that a call is for; null when there is none, or no configuration yet
    [[nodiscard]] virtual const queue_definition*
    find_queue(const caller_identity& caller) const = 0;

    /// @return whether a configuration was read
    [[nodiscard]] virtual bool has_configuration() const = 0;
};

} // namespace verbenalever
