#pragma once

#include <cstdint>
#include <limits>
#include <set>
#include <tuple>

namespace verbenalever {

class fleet_target;

/// The targets that have unused processors, ordered by how many, most first.
///
/// It is kept up to date with each run that is added to or removed from a target, so that the cost
/// of a scheduling decision does not grow with the number of targets.
class free_capacity_index {
public:
    /// A target with unused processors. Of two with equally many the one added earlier comes first.
    struct entry {
        std::int64_t unused_processors_milli = 0;
        std::uint64_t registration_id = 0;
        fleet_target* target = nullptr;

        friend bool operator<(const entry& left, const entry& right)
        {
            return std::tuple(-left.unused_processors_milli, left.registration_id) <
                   std::tuple(-right.unused_processors_milli, right.registration_id);
        }
    };

    /// Adds a target, moves it to its place, or removes it when all its processors are used.
    void update(fleet_target& target);

    void remove(fleet_target& target);

    /// @return the targets with at least one unused processor, most unused first
    [[nodiscard]] const std::set<entry>& entries() const
    {
        return this->ordered;
    }

    /// @return the first of entries() with fewer unused processors than this
    [[nodiscard]] std::set<entry>::const_iterator first_below(std::int64_t processors_milli) const
    {
        constexpr auto last_registration = std::numeric_limits<std::uint64_t>::max();
        return this->ordered.upper_bound({processors_milli, last_registration, nullptr});
    }

private:
    std::set<entry> ordered;
};

} // namespace verbenalever
