#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// One revision of the operators' configuration as the store keeps it: the text and its origin.
struct configuration_document {
    std::int64_t revision = 0;    ///< the store's revision of the write; zero before it is kept
    std::int64_t number = 0;      ///< counts accepted changes, one after another
    std::int64_t base = 0;        ///< revision that this one replaced
    std::string change_id;        ///< unique to the change, so that its writer knows it again
    std::string operator_key_id;  ///< id of the operator's key
    std::int64_t accepted_us = 0; ///< wall clock, microseconds since the Unix epoch
    std::vector<std::string>
        resolved_restrictions; ///< ids of restrictions that the text holds or undoes
    std::string text;          ///< YAML

    /// @return the document as the store and peers carry it
    [[nodiscard]] std::string encode() const;

    /// @param revision the store's revision of @p value; zero to take the one within
    /// @return INVALID_ARGUMENT when @p value is no document
    [[nodiscard]] static absl::StatusOr<configuration_document> decode(std::string_view value,
                                                                       std::int64_t revision);

    /// @return "revision N, accepted at TIME by KEY", for messages
    [[nodiscard]] std::string origin() const;
};

} // namespace verbenalever
