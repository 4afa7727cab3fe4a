#include "targets/target_lease_arbiter.h"

#include "targets/target_client.h"
#include "targets/target_record.h"

namespace verbenalever {

target_lease_arbiter::target_lease_arbiter(target_client& client, std::string holder)
    : client(client), holder(std::move(holder))
{
}

void target_lease_arbiter::acquire(const target_record& target, std::int64_t epoch,
                                   milliseconds ttl, milliseconds limit, lease_callback done)
{
    this->client.acquire_lease(target.vm.address, this->holder, epoch, ttl, limit, std::move(done));
}

void target_lease_arbiter::release(const target_record& target, std::int64_t epoch,
                                   release_callback done)
{
    this->client.release_lease(target.vm.address, this->holder, epoch, std::move(done));
}

} // namespace verbenalever
