#pragma once

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include <string>
#include <string_view>

namespace verbenalever {

/// @return @p message encoded as msgpack
template <typename Message>
[[nodiscard]] std::string pack_message(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// @return the decoded message, or INVALID_ARGUMENT when @p bytes are malformed
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
