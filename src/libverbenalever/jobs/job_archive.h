#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace verbenalever {

struct job_record;
struct job_context;
struct kv_entry;

/// Moves finished jobs out of the prefix that adoption reads.
///
/// A job rests for a while before it is moved, so that a create of the same job which is still
/// under way elsewhere finds it and fails.
class job_archive {
public:
    explicit job_archive(const job_context& context);

    /// @return the key of a finished job that was moved
    [[nodiscard]] static std::string key_of(std::string_view job);

    /// Move a finished job if it has rested long enough.
    /// @param job   the first page, as parsed
    /// @param entry the same as the store listed it
    void archive_if_due(const job_record& job, const kv_entry& entry);

private:
    void remove_from_active(const std::string& job, std::int64_t revision);

    const job_context& context;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
