#pragma once

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include <string>
#include <string_view>

namespace verbenalever {

/// @return @p message as msgpack
template <typename Message>
[[nodiscard]] std::string pack_message(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// @return the message, or INVALID_ARGUMENT when the bytes are not one
template <typename Message>
[[nodiscard]] absl::StatusOr<Message> unpack_message(std::string_view bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<Message>();
    }
    catch (const std::exception&) {
        return absl::InvalidArgumentError("malformed peer message");
    }
}

} // namespace verbenalever
