#pragma once

namespace verbenalever {

/// Answer of a start filter for one piece of work: accepted, refused, or refused because no target
/// has the capacity.
class start_verdict {
public:
    /// Make a verdict on one piece of work; a refusal implies nothing about other work.
    // NOLINTNEXTLINE(google-explicit-constructor): filters may return a bool
    start_verdict(bool accepted) : is_accepted(accepted) {}

    /// Make a refusal because no target has capacity for the demand, whichever team asks: all work
    /// with an equal or larger demand can be skipped.
    [[nodiscard]] static start_verdict no_capacity()
    {
        start_verdict verdict(false);
        verdict.is_out_of_capacity = true;
        return verdict;
    }

    [[nodiscard]] bool accepted() const
    {
        return this->is_accepted;
    }

    [[nodiscard]] bool lacks_capacity() const
    {
        return this->is_out_of_capacity;
    }

private:
    bool is_accepted;
    bool is_out_of_capacity = false;
};

} // namespace verbenalever
