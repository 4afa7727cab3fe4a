#pragma once

#include "coordination/vm_fitness.h"
#include "loop/clock.h"

namespace verbenalever {

/// The fitness of the strongest VM that a process knows, kept for some time after that VM has gone:
/// it may only be restarting. No clock.
class strongest_vm_record {
public:
    explicit strongest_vm_record(const vm_fitness& assumed) : strongest(assumed) {}

    /// Take over what was stored or what the coordinator has told.
    /// @param now time since boot
    void set(const vm_fitness& told, milliseconds now);

    /// To be called repeatedly by a coordinator.
    /// @param present fitness of the strongest VM among the connected ones and its own
    /// @param now     time since boot
    void update(const vm_fitness& present, milliseconds now);

    [[nodiscard]] const vm_fitness& value() const
    {
        return this->strongest;
    }

    /// A VM that has been away for this long no longer counts.
    static constexpr milliseconds absence_limit{30'000};

private:
    vm_fitness strongest;
    milliseconds seen{0}; ///< time since boot
};

} // namespace verbenalever
