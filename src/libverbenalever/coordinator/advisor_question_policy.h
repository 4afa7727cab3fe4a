#pragma once

namespace verbenalever {

/// How many targets the coordinator names to the advisor, and how often.
enum class advisor_question_policy {
    minimal,    ///< as few targets as should suffice, again as soon as they do not
    economical, ///< more targets in a question; see advice_economy
};

} // namespace verbenalever
