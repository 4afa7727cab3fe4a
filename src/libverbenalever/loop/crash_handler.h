#pragma once

namespace verbenalever {

/// Install a handler that writes a stack trace to standard error when the process crashes (SIGSEGV,
/// SIGBUS, SIGILL, SIGFPE or SIGABRT), then lets the signal end the process.
///
/// It uses only the unwinder of the C library and write(): a handler that checks with system calls
/// whether an address is readable fails where system calls are filtered, and prints no stack trace.
/// @param program path of the running program, from which function names are read
void install_crash_handler(const char* program);

} // namespace verbenalever
