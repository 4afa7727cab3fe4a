#pragma once

namespace verbenalever {

/// Write the stack to standard error when a fault ends this process, and end it as the fault would.
///
/// Only the C library's unwinder and plain writes are used: a handler that asks the kernel whether
/// an address can be read fails where system calls are filtered, and the stack is lost.
/// @param program path of the running program, for the names of functions
void install_crash_handler(const char* program);

} // namespace verbenalever
