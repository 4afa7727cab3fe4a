#pragma once

#include "targets/lease_arbiter.h"

#include <string>

namespace verbenalever {

class target_client;

/// Arbiter that runs on the target itself. Every start has to reach the target, so it can grant its
/// lease and refuse old epochs also while the zone is partitioned or the platform is down.
class target_lease_arbiter : public lease_arbiter {
public:
    /// @param holder the name under which this entry daemon holds leases
    target_lease_arbiter(target_client& client, std::string holder);

    void acquire(const target_record& target, std::int64_t epoch, milliseconds ttl,
                 milliseconds limit, lease_callback done) override;
    void release(const target_record& target, std::int64_t epoch, release_callback done) override;

private:
    target_client& client;
    std::string holder;
};

} // namespace verbenalever
