#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace verbenalever {

class placement_policy;
class target_rates;
struct operator_configuration;

/// The placement policy of each queue, as the configuration names it.
class placement_table {
public:
    placement_table();
    ~placement_table();
    placement_table(const placement_table&) = delete;
    placement_table& operator=(const placement_table&) = delete;

    /// Take in a configuration; a queue whose policy stays keeps its object.
    void configure(const operator_configuration& configuration);

    /// @return the policy of @p queue; the one for urgent work when it is not known
    [[nodiscard]] placement_policy& of(std::string_view queue) const;

    /// @return the targets' rates, to which answers are told
    [[nodiscard]] target_rates& rates();

private:
    struct entry {
        std::string name;
        std::unique_ptr<placement_policy> policy;
    };

    std::shared_ptr<target_rates> measured;
    std::unique_ptr<placement_policy> otherwise;
    std::map<std::string, entry, std::less<>> by_queue;
};

} // namespace verbenalever
