#pragma once

namespace verbenalever {

/// Token bucket that bounds retries to a share of first attempts, so that retries cannot multiply
/// a failure.
class retry_budget {
public:
    /// @param share retries earned by each first attempt
    /// @param burst retries that may be saved up
    explicit retry_budget(double retries_per_attempt, double burst);

    void record_first_attempt();

    /// @return whether one retry may be made; takes its token
    [[nodiscard]] bool try_take();

    /// @return whether take() would succeed
    [[nodiscard]] bool available() const;

private:
    double retries_per_attempt;
    double burst;
    double tokens;
};

} // namespace verbenalever
