#include "loop/crash_handler.h"

#include <gtest/gtest.h>

#include <csignal>

namespace verbenalever {
namespace {

// Guards against a crash handler that itself fails before it has written the stack trace.
TEST(crash_handler, a_crash_prints_a_stack_trace_and_ends_the_process_by_its_signal)
{
    const auto crash = [] {
        install_crash_handler("/proc/self/exe");
        static_cast<void>(std::raise(SIGSEGV));
    };
    EXPECT_EXIT(crash(), testing::KilledBySignal(SIGSEGV), "signal 11\ncrash: at 0x[0-9a-f]+");
}

} // namespace
} // namespace verbenalever
