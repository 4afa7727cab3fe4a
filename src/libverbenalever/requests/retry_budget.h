#pragma once

namespace verbenalever {

/// Token bucket that bounds retries to a share of first attempts, so that retries cannot multiply
/// a failure.
class retry_budget {
public:
    /// @param share retries earned by each first attempt
    /// @param burst retries that may be saved up
    explicit retry_budget(double share, double burst);

    void first_attempt();

    /// @return whether one retry may be made; takes its token
    [[nodiscard]] bool take();

    /// @return whether take() would succeed
    [[nodiscard]] bool available() const;

private:
    double share;
    double burst;
    double tokens;
};

} // namespace verbenalever
