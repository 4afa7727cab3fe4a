#pragma once

#include <msgpack.hpp>

#include <cstdint>

namespace verbenalever {

/// Amounts of the resources that a target has or that work demands.
struct resources {
    std::int64_t slots = 0;
    std::int64_t processors_milli = 0; ///< thousandths of a processor
    std::int64_t memory_mb = 0;        ///< megabytes
    std::int64_t accelerators = 0;

    /// @return whether every amount is at most that of @p available
    [[nodiscard]] bool fits_within(const resources& available) const
    {
        return this->slots <= available.slots &&
               this->processors_milli <= available.processors_milli &&
               this->memory_mb <= available.memory_mb &&
               this->accelerators <= available.accelerators;
    }

    // Defined in the header to be inlined: placement uses them for each target of each step.
    resources& operator+=(const resources& other)
    {
        this->slots += other.slots;
        this->processors_milli += other.processors_milli;
        this->memory_mb += other.memory_mb;
        this->accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(const resources& other)
    {
        this->slots -= other.slots;
        this->processors_milli -= other.processors_milli;
        this->memory_mb -= other.memory_mb;
        this->accelerators -= other.accelerators;
        return *this;
    }
    friend resources operator+(resources left, const resources& right)
    {
        return left += right;
    }
    friend resources operator-(resources left, const resources& right)
    {
        return left -= right;
    }
    friend bool operator==(const resources&, const resources&) = default;

    MSGPACK_DEFINE_MAP(slots, processors_milli, memory_mb, accelerators)
};

} // namespace verbenalever
