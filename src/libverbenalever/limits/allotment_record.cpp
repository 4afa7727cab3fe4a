#include "limits/allotment_record.h"

#include "scheduling/resources_json.h"

#include <nlohmann/json.hpp>

namespace verbenalever {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(allotment_record, writer, sequence, amounts)

resources allotment_record::amount_of(std::string_view target) const
{
    const auto found = this->amounts.find(target);
    return found == this->amounts.end() ? resources{} : found->second;
}

resources allotment_record::total() const
{
    resources sum;
    for (const auto& [target, amount] : this->amounts)
        sum += amount;
    return sum;
}

void allotment_record::set(std::string_view target, const resources& amount)
{
    if (amount == resources{})
        this->amounts.erase(std::string(target));
    else
        this->amounts.insert_or_assign(std::string(target), amount);
}

std::string allotment_record::text() const
{
    return nlohmann::json(*this).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<allotment_record> allotment_record::parse(std::string_view text)
{
    try {
        return nlohmann::json::parse(text).get<allotment_record>();
    }
    catch (const nlohmann::json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace verbenalever
