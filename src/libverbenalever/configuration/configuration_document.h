#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// One revision of the operators' configuration as it is stored: the YAML text and its origin.
struct configuration_document {
    std::int64_t revision = 0; ///< revision that the store gave to the write; zero before the write
    std::int64_t number = 0;   ///< consecutive number of the accepted change
    std::int64_t base = 0;     ///< revision that this one replaces; zero for the first
    /// Unique id by which the entry daemon that wrote the change recognises it.
    std::string change_id;
    std::string operator_key_id;  ///< id of the operator's key
    std::int64_t accepted_us = 0; ///< wall clock, microseconds since the Unix epoch
    /// Ids of restrictions that the text includes or reverses.
    std::vector<std::string> resolved_restrictions;
    std::string text; ///< YAML

    /// @return the JSON form in which the document is stored and sent to peers
    [[nodiscard]] std::string encode() const;

    /// @param revision the store's revision of @p value; zero to use the revision inside @p value
    /// @return INVALID_ARGUMENT when @p value is not an encoded document
    [[nodiscard]] static absl::StatusOr<configuration_document> decode(std::string_view value,
                                                                       std::int64_t revision);

    /// @return "revision N, accepted at TIME by KEY", for messages
    [[nodiscard]] std::string origin() const;
};

} // namespace verbenalever
