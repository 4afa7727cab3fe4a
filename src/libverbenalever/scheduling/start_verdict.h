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
    [[nodiscard]] static start_verdict no_room()
    {
        start_verdict verdict(false);
        verdict.is_no_room = true;
        return verdict;
    }

    [[nodiscard]] bool accepted() const
    {
        return this->is_accepted;
    }

    [[nodiscard]] bool lacks_room() const
    {
        return this->is_no_room;
    }

private:
    bool is_accepted;
    bool is_no_room = false;
};

} // namespace verbenalever
