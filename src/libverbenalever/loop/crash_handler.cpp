#include "loop/crash_handler.h"

#include <absl/debugging/symbolize.h>

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstddef>
#include <cstdio>
#include <cstring>

namespace verbenalever {

namespace {

constexpr int max_frames = 48;
constexpr std::size_t max_symbol_bytes = 256;
/// The unwinder and the symbolizer need several tens of kilobytes of stack.
constexpr std::size_t handler_stack_bytes = 256 * 1024;

std::array<char, handler_stack_bytes> handler_stack;

void write_text(const char* text)
{
    // A failed write is ignored: the process is about to end.
    static_cast<void>(!::write(STDERR_FILENO, text, std::strlen(text)));
}

void write_frame(void* address)
{
    std::array<char, max_symbol_bytes> name{};
    // The return address is the instruction after the call; the byte before it lies in the call.
    auto* call_address = static_cast<char*>(address) - 1;
    if (!absl::Symbolize(call_address, name.data(), static_cast<int>(name.size())))
        name[0] = '\0';
    std::array<char, max_symbol_bytes + 64> line{};
    std::snprintf(line.data(), line.size(), "crash: at %p %s\n", address, name.data());
    write_text(line.data());
}

void handle_crash(int signal_number)
{
    std::array<char, 64> line{};
    std::snprintf(line.data(), line.size(), "crash: signal %d\n", signal_number);
    write_text(line.data());
    std::array<void*, max_frames> frames{};
    const int count = ::backtrace(frames.data(), max_frames);
    for (int number = 0; number < count; ++number)
        write_frame(frames.at(static_cast<std::size_t>(number)));
    // SA_RESETHAND has restored the default action, so that this signal ends the process.
    static_cast<void>(std::raise(signal_number));
}

} // namespace

void install_crash_handler(const char* program)
{
    absl::InitializeSymbolizer(program);
    // The first call of backtrace() loads the unwinder, which is not safe in a signal handler.
    std::array<void*, 1> frame{};
    ::backtrace(frame.data(), 1);
    stack_t stack{};
    stack.ss_sp = handler_stack.data();
    stack.ss_size = handler_stack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action {};
    action.sa_handler = handle_crash;
    action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
    for (const int number : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT})
        ::sigaction(number, &action, nullptr);
}

} // namespace verbenalever
