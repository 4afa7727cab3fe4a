#include "requests/retry_budget.h"

#include <algorithm>

namespace verbenalever {

retry_budget::retry_budget(double retries_per_attempt, double burst)
    : retries_per_attempt(retries_per_attempt), burst(burst), tokens(burst)
{
}

void retry_budget::record_first_attempt()
{
    this->tokens = std::min(this->burst, this->tokens + this->retries_per_attempt);
}

bool retry_budget::available() const
{
    return this->tokens >= 1;
}

bool retry_budget::try_take()
{
    if (!this->available())
        return false;
    this->tokens -= 1;
    return true;
}

} // namespace verbenalever
