#include "requests/retry_budget.h"

#include <algorithm>

namespace verbenalever {

retry_budget::retry_budget(double share, double burst) : share(share), burst(burst), tokens(burst)
{
}

void retry_budget::first_attempt()
{
    this->tokens = std::min(this->burst, this->tokens + this->share);
}

bool retry_budget::available() const
{
    return this->tokens >= 1;
}

bool retry_budget::take()
{
    if (!this->available())
        return false;
    this->tokens -= 1;
    return true;
}

} // namespace verbenalever
