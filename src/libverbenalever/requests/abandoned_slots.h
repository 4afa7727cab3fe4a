#pragma once

#include "loop/timer.h"
#include "scheduling/resources.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace verbenalever {

class event_log;
class target_client;
class target_registry;
struct request_work;
struct target_inventory;

/// Room at targets under requests that got no answer and may still run there.
///
/// It stays reserved until the target's inventory no longer names the request. A new lease ends the
/// record: the inventory read under it has replaced what was reserved.
class abandoned_slots {
public:
    abandoned_slots(event_loop& loop, target_registry& registry, target_client& client,
                    const event_log& log);

    /// Keep the room of @p work on @p target, which was sent under the lease of @p epoch.
    void add(const request_work& work, std::string target, std::int64_t epoch);

    /// @return how many are kept
    [[nodiscard]] std::size_t size() const;

private:
    /// One request's room.
    struct slot {
        std::string request;
        std::string team;
        resources demand;
        std::string target;
        std::int64_t epoch = 0;
        int absences = 0; ///< inventories in a row that did not name the request
    };

    void tick();
    void read(const std::string& target, const target_inventory& inventory);

    target_registry& registry;
    target_client& client;
    const event_log& log;
    std::vector<slot> slots;
    timer check_timer;
};

} // namespace verbenalever
