#pragma once

#include "loop/endpoint.h"
#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// Purpose of a VM: to run an entry daemon, or to run work as a target.
enum class vm_role { entry, target };

/// One VM in the platform's list of live and leaving VMs. The list lags behind the actual state.
struct vm_record {
    std::string name;
    vm_role role = vm_role::target;
    std::string availability_zone;
    std::string rack;
    endpoint address;   ///< peer address of an entry daemon, HTTP address of a target
    resources capacity; ///< of a target, as declared
    bool leaving = false;
};

} // namespace verbenalever
