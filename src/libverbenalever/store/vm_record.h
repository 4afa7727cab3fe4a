#pragma once

#include "loop/endpoint.h"
#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// What a VM is for.
enum class vm_role { entry, target };

/// One line of the platform's lagging list of live and leaving VMs.
struct vm_record {
    std::string name;
    vm_role role = vm_role::target;
    std::string availability_zone;
    std::string rack;
    endpoint address;   ///< peer address of an entry, HTTP address of a target
    resources capacity; ///< of a target, as declared
    bool leaving = false;
};

} // namespace verbenalever
