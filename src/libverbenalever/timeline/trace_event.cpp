#include "timeline/trace_event.h"

namespace verbenalever {

std::string trace_event::text(std::string_view name) const
{
    const auto found = this->fields.find(name);
    return found != this->fields.end() && found->is_string() ? found->get<std::string>()
                                                             : std::string();
}

std::int64_t trace_event::number(std::string_view name) const
{
    const auto found = this->fields.find(name);
    return found != this->fields.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

bool trace_event::flag(std::string_view name) const
{
    const auto found = this->fields.find(name);
    return found != this->fields.end() && found->is_boolean() && found->get<bool>();
}

} // namespace verbenalever
