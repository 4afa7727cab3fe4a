#include "coordination/strongest_vm_record.h"

namespace verbenalever {

void strongest_vm_record::set(const vm_fitness& told, milliseconds now)
{
    this->strongest = told;
    this->seen = now;
}

void strongest_vm_record::update(const vm_fitness& present, milliseconds now)
{
    if (fitter(present, this->strongest) == present || now - this->seen >= absence_limit)
        this->set(present, now);
}

} // namespace verbenalever
