#pragma once

#include <msgpack.hpp>

namespace verbenalever {

/// What a VM has for coordinating: the larger, the faster it places work and loads stored state.
struct vm_fitness {
    double processor_share = 0; ///< cores that the VM may use; 0.25: a quarter of one
    double link_mbps = 0;       ///< bandwidth of its network link in Mbit/s; 0: not known

    /// @return whether the VM should leave coordinating to @p other. Never true both ways, so that
    /// two VMs do not hand coordination to each other in turn.
    [[nodiscard]] bool is_weak_beside(const vm_fitness& other) const;

    /// @return 0 if the VM is not weak beside @p other, else 1 to max_weakness: the greater, the
    /// smaller its processor share is
    [[nodiscard]] int weakness_beside(const vm_fitness& other) const;

    static constexpr int max_weakness = 3;

    friend bool operator==(const vm_fitness&, const vm_fitness&) = default;
    MSGPACK_DEFINE(processor_share, link_mbps)
};

/// @return the one that should coordinate
[[nodiscard]] const vm_fitness& fitter(const vm_fitness& left, const vm_fitness& right);

} // namespace verbenalever
