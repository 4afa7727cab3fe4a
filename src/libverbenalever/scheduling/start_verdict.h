#pragma once

namespace verbenalever {

/// What a start filter says about one piece of work.
class start_verdict {
public:
    /// From a plain answer; a refusal then says nothing about other work.
    // NOLINTNEXTLINE(google-explicit-constructor): filters may return a bool
    start_verdict(bool accepted) : is_accepted(accepted) {}

    /// No target has room for the demand, whosever work it is: all that asks for as much or more
    /// can be passed over.
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
