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
/// The unwinder and the symbolizer need some tens of kilobytes.
constexpr std::size_t handler_stack_bytes = 256 * 1024;

std::array<char, handler_stack_bytes> handler_stack;

void write_text(const char* text)
{
    // Nothing can be done about a failure here.
    static_cast<void>(!::write(STDERR_FILENO, text, std::strlen(text)));
}

void write_frame(void* address)
{
    std::array<char, max_symbol_bytes> name{};
    // A return address stands behind its call.
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
    // The handler was reset before it ran: the fault ends the process now.
    static_cast<void>(std::raise(signal_number));
}

} // namespace

void install_crash_handler(const char* program)
{
    absl::InitializeSymbolizer(program);
    // The first call loads the unwinder, which must not happen in the handler.
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
