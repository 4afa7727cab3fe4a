#include "scheduling/resources.h"

namespace verbenalever {

bool resources::fits_within(const resources& room) const
{
    return this->slots <= room.slots && this->processors_milli <= room.processors_milli &&
           this->memory_mb <= room.memory_mb && this->accelerators <= room.accelerators;
}

resources& resources::operator+=(const resources& other)
{
    this->slots += other.slots;
    this->processors_milli += other.processors_milli;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other)
{
    this->slots -= other.slots;
    this->processors_milli -= other.processors_milli;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
    return *this;
}

} // namespace verbenalever
