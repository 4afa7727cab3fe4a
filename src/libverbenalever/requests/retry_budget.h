#pragma once

namespace verbenalever {

/// Token bucket that limits retries to a share of the first attempts, so that retries do not
/// multiply the load during a failure.
class retry_budget {
public:
    /// @param retries_per_attempt tokens added by each first attempt; one retry takes one token
    /// @param burst               upper limit of the number of tokens, and the number at the start
    explicit retry_budget(double retries_per_attempt, double burst);

    void record_first_attempt();

    /// Take the token for one retry.
    /// @return whether there was a token, so that the retry may be made
    [[nodiscard]] bool try_take();

    /// @return whether try_take() would succeed
    [[nodiscard]] bool available() const;

private:
    double retries_per_attempt;
    double burst;
    double tokens;
};

} // namespace verbenalever
