#include "configuration/restriction.h"

#include "configuration/configuration_document.h"
#include "configuration/configuration_edit.h"
#include "configuration/operator_configuration.h"
#include "configuration/restriction_set.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using verbenalever::configuration_document;
using verbenalever::operator_configuration;
using verbenalever::restriction;
using verbenalever::restriction_set;
using verbenalever::unlimited_units;

constexpr const char* text = "teams: {red: {share: 1, limit: {slots: 8}}, blue: {}}\n"
                             "queues: {open: {open: true}}\n"
                             "keys: [{id: red-1, team: red, sha256: "
                             "0000000000000000000000000000000000000000000000000000000000000000}]\n";

operator_configuration parsed(const std::string& yaml)
{
    auto result = operator_configuration::parse(yaml, "test");
    EXPECT_TRUE(result.ok()) << result.status();
    return result.ok() ? *result : operator_configuration{};
}

rc::Gen<restriction> any_restriction()
{
    const auto make = [](const std::string& kind, const std::string& subject, int slots, int id) {
        return restriction{.id = "r" + std::to_string(id),
                           .kind = kind,
                           .subject = subject,
                           .drain = "move",
                           .limit = {.slots = slots,
                                     .processors_milli = unlimited_units,
                                     .memory_mb = unlimited_units,
                                     .accelerators = 2},
                           .operator_key_id = "operator"};
    };
    return rc::gen::apply(
        make,
        rc::gen::element<std::string>("withdraw_key", "zone_out", "lower_limit", "stop_queue"),
        rc::gen::element<std::string>("red", "blue", "open", "red-1", "zone-a", "none"),
        rc::gen::inRange(0, 16), rc::gen::inRange(0, 1000));
}

/// Compares the settings that restrictions can change.
void expect_same(const operator_configuration& left, const operator_configuration& right)
{
    RC_ASSERT(left.keys.size() == right.keys.size());
    RC_ASSERT(left.availability_zones_out == right.availability_zones_out);
    RC_ASSERT(left.availability_zones_moving == right.availability_zones_moving);
    for (const auto& [name, team] : left.teams)
        RC_ASSERT(team.limit == right.teams.at(name).limit);
    for (const auto& [name, queue] : left.queues)
        RC_ASSERT(queue.stopped == right.queues.at(name).stopped);
}

RC_GTEST_PROP(restriction, decodes_what_it_encoded, ())
{
    const auto one = *any_restriction();
    const auto back = restriction::decode(one.encode());
    RC_ASSERT(back.ok());
    RC_ASSERT(back->encode() == one.encode());
}

RC_GTEST_PROP(restriction, any_text_is_decoded_or_rejected, (const std::string& garbage))
{
    static_cast<void>(restriction::decode(garbage).ok());
    static_cast<void>(configuration_document::decode(garbage, 1).ok());
}

RC_GTEST_PROP(restriction, yaml_edit_and_in_memory_narrowing_agree, ())
{
    const auto members = *rc::gen::container<std::vector<restriction>>(any_restriction());
    restriction_set set;
    auto root = YAML::Load(text);
    for (const auto& member : members)
        set.add(member);
    for (const auto& [id, member] : set.all())
        member.write_to_yaml(root);
    expect_same(set.narrow(parsed(text)), parsed(verbenalever::to_yaml_text(root)));
}

RC_GTEST_PROP(restriction, result_does_not_depend_on_the_order_of_addition, ())
{
    const auto members = *rc::gen::container<std::vector<restriction>>(any_restriction());
    restriction_set forward;
    restriction_set backward;
    for (const auto& member : members)
        forward.add(member);
    const std::vector<restriction> reversed(members.rbegin(), members.rend());
    for (const auto& member : reversed)
        backward.add(member);
    std::set<std::string> ids;
    for (const auto& member : members)
        ids.insert(member.id);
    if (ids.size() == members.size()) // production ids are unique; the generator may repeat them
        expect_same(forward.narrow(parsed(text)), backward.narrow(parsed(text)));
}

RC_GTEST_PROP(restriction, never_widens, ())
{
    const auto member = *any_restriction();
    const auto before = parsed(text);
    auto after = before;
    member.narrow(after);
    RC_ASSERT(after.keys.size() <= before.keys.size());
    RC_ASSERT(after.availability_zones_out.size() >= before.availability_zones_out.size());
    RC_ASSERT(after.teams.at("red").limit->fits_within(*before.teams.at("red").limit));
    RC_ASSERT(after.queues.at("open").stopped || !before.queues.at("open").stopped);
}

TEST(restriction, validates_kind_subject_and_drain)
{
    const auto configured = parsed(text);
    const restriction unknown{.kind = "widen"};
    const restriction of_nothing{.kind = "stop_queue"};
    const restriction bad_drain{.kind = "zone_out", .subject = "a", .drain = "soon"};
    const restriction of_none{.kind = "stop_queue", .subject = "none"};
    EXPECT_TRUE(absl::IsInvalidArgument(unknown.validate(configured)));
    EXPECT_TRUE(absl::IsInvalidArgument(of_nothing.validate(configured)));
    EXPECT_TRUE(absl::IsInvalidArgument(bad_drain.validate(configured)));
    EXPECT_TRUE(absl::IsNotFound(of_none.validate(configured)));
    const restriction withdrawn{.kind = "withdraw_key", .subject = "red-1"};
    EXPECT_TRUE(withdrawn.validate(configured).ok());
}

TEST(restriction_set, drops_restrictions_that_the_stored_configuration_resolves)
{
    restriction_set set;
    const restriction one{.id = "r1", .kind = "stop_queue", .subject = "open"};
    EXPECT_TRUE(set.add(one));
    EXPECT_FALSE(set.add(one));
    set.remove(std::vector<std::string>{"r1"});
    EXPECT_TRUE(set.all().empty());
}

} // namespace
