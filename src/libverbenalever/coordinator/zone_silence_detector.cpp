#include "coordinator/zone_silence_detector.h"

namespace verbenalever {

namespace {

/// Targets that must have missed answers since any target of the zone has answered.
constexpr int min_missed_answers = 3;
/// Time without any answer from the zone. In a zone that is reachable answers arrive far more
/// often, and an answer takes milliseconds.
constexpr milliseconds min_silence{200};

} // namespace

void zone_silence_detector::record_answer(std::string_view availability_zone, milliseconds now)
{
    const auto known = this->zones.find(availability_zone);
    auto& zone =
        known == this->zones.end() ? this->zones[std::string(availability_zone)] : known->second;
    if (zone.missed_answers >= min_missed_answers)
        --this->suspected_zones;
    zone = {.last_answer_at = now, .missed_answers = 0};
}

void zone_silence_detector::record_missed_answer(std::string_view availability_zone)
{
    const auto known = this->zones.find(availability_zone);
    if (known != this->zones.end() && ++known->second.missed_answers == min_missed_answers)
        ++this->suspected_zones;
}

bool zone_silence_detector::is_suspected(std::string_view availability_zone) const
{
    if (!this->any_suspected())
        return false;
    const auto known = this->zones.find(availability_zone);
    return known != this->zones.end() && known->second.missed_answers >= min_missed_answers;
}

bool zone_silence_detector::is_silent(std::string_view availability_zone, milliseconds now) const
{
    return this->is_suspected(availability_zone) &&
           now - this->zones.find(availability_zone)->second.last_answer_at >= min_silence;
}

} // namespace verbenalever
