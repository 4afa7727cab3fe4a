#pragma once

namespace verbenalever {

/// Which runs a coordinator stops for more urgent work.
enum class preemption_policy {
    any,   ///< those that lose least work
    least, ///< the same, but none whose stop is not needed or does not pay, see stop_avoidance
};

} // namespace verbenalever
