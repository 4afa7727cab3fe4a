#include "coordinator/record_log.h"

#include "coordination/commit_chain.h"
#include "membership/message_codec.h"
#include "testing/fake_store.h"
#include "testing/loop_fixture.h"
#include "timeline/event_log.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

namespace verbenalever {
namespace {

class record_log_test : public loop_fixture {
protected:
    record_log_test()
    {
        this->store.items["fence"] = {"fence", "me", 1, false};
        this->chain = std::make_unique<commit_chain>(this->loop, this->store, this->log, "fence",
                                                     "me", 1, [] {});
        this->records = std::make_unique<record_log>(
            *this->chain, "w/", 7, [this](const std::string& id) -> const workflow_record* {
                const auto found = this->known.find(id);
                return found == this->known.end() ? nullptr : &found->second;
            });
    }

    void store_record(const std::string& id, workflow_state state = workflow_state::queued)
    {
        this->known[id] = {.id = id, .state = static_cast<int>(state)};
        this->records->store(id, [this] { ++this->stored; });
    }

    /// @return the state of each record in the store, by key and workflow id
    std::map<std::string, std::map<std::string, workflow_state>> stored_states()
    {
        std::map<std::string, std::map<std::string, workflow_state>> found;
        for (const auto& [key, item] : this->store.items) {
            if (!key.starts_with("w/"))
                continue;
            const auto values = record_log::decode(item.value);
            EXPECT_TRUE(values.ok());
            found.try_emplace(key);
            for (const auto& record : *values)
                found[key][record.id] = record.stored_state();
        }
        return found;
    }

    fake_store store{this->loop};
    event_log log{"test"};
    std::unique_ptr<commit_chain> chain;
    std::unique_ptr<record_log> records;
    std::map<std::string, workflow_record> known;
    int stored = 0;
};

TEST_F(record_log_test, records_stored_together_share_a_transaction)
{
    constexpr int count = 500;
    for (int number = 0; number < count; ++number)
        this->store_record("a" + std::to_string(number));
    this->run_for(milliseconds(50));
    EXPECT_EQ(this->stored, count);
    EXPECT_EQ(this->store.commit_count, 1);
}

// The whole system stood still: large workflows that came together made a value larger than the
// store takes, and the coordinator sent that write again and again.
TEST_F(record_log_test, large_records_that_are_stored_together_do_not_fill_one_value)
{
    constexpr std::size_t largest_value = 1 << 20;
    constexpr std::size_t largest_record = 262'144;
    constexpr int count = 16;
    for (int number = 0; number < count; ++number) {
        const auto id = "a" + std::to_string(number);
        this->known[id] = {.id = id, .spec = {.payload = std::string(largest_record, 'x')}};
        this->records->store(id, [this] { ++this->stored; });
    }
    this->run_for(milliseconds(600));
    EXPECT_EQ(this->stored, count);
    for (const auto& [key, item] : this->store.items)
        EXPECT_LT(item.value.size(), largest_value) << key;
}

TEST_F(record_log_test, a_key_is_deleted_once_its_records_are_replaced)
{
    this->store_record("a");
    this->store_record("b");
    this->run_for(milliseconds(50));
    this->store_record("a", workflow_state::completed);
    this->run_for(milliseconds(50));
    EXPECT_EQ(this->stored_states().size(), 2);
    this->store_record("b", workflow_state::completed);
    this->run_for(milliseconds(100));
    const auto left = this->stored_states();
    EXPECT_FALSE(left.contains("w/7-1"));
    EXPECT_EQ(left.at("w/7-2").at("a"), workflow_state::completed);
    EXPECT_EQ(left.at("w/7-3").at("b"), workflow_state::completed);
}

TEST_F(record_log_test, a_change_before_the_batch_is_sent_is_stored_with_it)
{
    this->store_record("a");
    this->store_record("a", workflow_state::cancelled);
    this->run_for(milliseconds(50));
    EXPECT_EQ(this->stored, 2);
    EXPECT_EQ(this->stored_states().at("w/7-1").at("a"), workflow_state::cancelled);
}

TEST_F(record_log_test, a_withdrawn_record_is_not_stored)
{
    this->store_record("a");
    this->store_record("b");
    EXPECT_TRUE(this->records->withdraw("a"));
    EXPECT_FALSE(this->records->withdraw("a"));
    this->run_for(milliseconds(50));
    EXPECT_EQ(this->stored, 1);
    EXPECT_FALSE(this->records->withdraw("b"));
    EXPECT_FALSE(this->stored_states().at("w/7-1").contains("a"));
}

// A submission was refused whose record was stored: only its later record, the end, was withdrawn.
TEST_F(record_log_test, an_end_is_not_withdrawn_while_an_earlier_record_may_be_stored)
{
    this->store.down = true;
    this->store_record("a");
    this->run_for(milliseconds(50));
    this->store_record("a", workflow_state::cancelled);
    EXPECT_FALSE(this->records->withdraw("a"));
    this->store.down = false;
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->stored_states().at("w/7-2").at("a"), workflow_state::cancelled);
    this->store_record("a", workflow_state::cancelled);
    EXPECT_FALSE(this->records->withdraw("a"));
}

// The end of "a" must not be removed while an older key says that "a" is still open.
TEST_F(record_log_test, an_end_outlives_all_outdated_records_of_its_workflow)
{
    this->store_record("a");
    this->store_record("b");
    this->run_for(milliseconds(50));
    this->store_record("a", workflow_state::completed);
    this->run_for(milliseconds(50));
    EXPECT_FALSE(this->records->try_remove("a"));
    this->run_for(milliseconds(100));
    EXPECT_FALSE(this->stored_states().contains("w/7-1"));
    EXPECT_TRUE(this->records->try_remove("a"));
    this->known.erase("a");
    this->run_for(milliseconds(100));
    const auto left = this->stored_states();
    ASSERT_EQ(left.size(), 1);
    EXPECT_EQ(left.begin()->second.size(), 1);
    EXPECT_TRUE(left.begin()->second.contains("b"));
}

TEST_F(record_log_test, an_inherited_key_with_outdated_records_only_is_deleted)
{
    const std::string both[] = {"a", "b"};
    this->store.items["w/3-1"] = {"w/3-1", "", 1, false};
    this->store.items["w/3-2"] = {"w/3-2", "", 1, false};
    this->records->add_inherited_key("w/3-2", both, {});
    this->records->add_inherited_key("w/3-1", {}, both);
    this->run_for(milliseconds(50));
    EXPECT_FALSE(this->store.items.contains("w/3-1"));
    EXPECT_TRUE(this->store.items.contains("w/3-2"));
}

TEST_F(record_log_test, a_record_of_a_build_without_batches_can_be_read)
{
    const auto read = record_log::decode(pack_message(workflow_record{.id = "a", .queue = "q"}));
    ASSERT_TRUE(read.ok());
    ASSERT_EQ(read->size(), 1);
    EXPECT_EQ(read->front().id, "a");
    EXPECT_FALSE(record_log::decode("neither").ok());
}

} // namespace
} // namespace verbenalever
