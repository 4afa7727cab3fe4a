#include "coordinator/target_loss_log.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// A target is back, or known to be gone, within this time.
constexpr milliseconds retention{15'000};

} // namespace

void target_loss_log::add(const loss& added)
{
    while (!this->losses.empty() && this->losses.front().noticed_at + retention < added.noticed_at)
        this->losses.pop_front();
    if (const auto* known = this->find(added.target);
        known == nullptr || known->noticed_at < added.last_answer_at)
        this->losses.push_back(added);
}

void target_loss_log::remove(const std::string& target)
{
    std::erase_if(this->losses, [&](const loss& entry) { return entry.target == target; });
}

const target_loss_log::loss* target_loss_log::find(const std::string& target) const
{
    const auto at = std::find_if(this->losses.rbegin(), this->losses.rend(),
                                 [&](const loss& entry) { return entry.target == target; });
    return at == this->losses.rend() ? nullptr : &*at;
}

} // namespace verbenalever
