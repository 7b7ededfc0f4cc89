#include "platform/job_messages.h"

#include <gtest/gtest.h>

namespace stoathold::platform {
namespace {

TEST(JobMessagesTest, PageHasAtLeastOneResultAndIsBoundedInSize) {
  JobEntry job;
  ReadResult found;
  for (std::uint32_t i = 0; i < 3; ++i) {
    JobItem item;
    item.id = "i" + std::to_string(i);
    job.submission.items.push_back(item);
    const ItemResult result{"job", i, ItemState::kCompleted, std::string(2000000, 'x')};
    found.records.push_back({i, "key", encode(result)});
    found.end = i + 1;
  }
  ListedResults results;
  results.add(std::move(found));
  const std::string page = format_results(job, results, 1);
  EXPECT_NE(page.find(R"("total":3)"), std::string::npos);
  EXPECT_NE(page.find(R"("next_token":2)"), std::string::npos);
  EXPECT_NE(page.find(R"("id":"i1")"), std::string::npos);
  EXPECT_EQ(page.find(R"("id":"i2")"), std::string::npos);
  const std::string past_end = format_results(job, results, 7);
  EXPECT_NE(past_end.find(R"("next_token":7)"), std::string::npos);
}

/// Guards against returning an empty message for a result whose text was not read: the caller would
/// take it for the runner's response and never request it again.
TEST(JobMessagesTest, PageEndsBeforeTextThatWasNotRead) {
  JobEntry job;
  ReadResult found;
  const std::string text(kMaxInlineTextBytes + 1, 'x');
  for (std::uint32_t i = 0; i < 3; ++i) {
    JobItem item;
    item.id = "i" + std::to_string(i);
    job.submission.items.push_back(item);
    const ItemResult result{"job", i, ItemState::kCompleted, text};
    const auto records = result_records(result, "writer" + std::to_string(i), 0, true);
    if (i != 1) found.records.push_back({found.end, records[0].key, records[0].value});
    found.records.push_back({found.end + 1, records[1].key, records[1].value});
    found.end += 2;
  }
  ListedResults results;
  results.add(std::move(found));
  ASSERT_EQ(results.listed().size(), 3U);
  const std::string page = format_results(job, results, 0);
  EXPECT_NE(page.find(R"("next_token":1)"), std::string::npos);
  EXPECT_EQ(page.find(R"("id":"i1")"), std::string::npos);
  EXPECT_NE(format_results(job, results, 1).find(R"("next_token":1)"), std::string::npos);
  EXPECT_NE(format_results(job, results, 2).find(R"("next_token":3)"), std::string::npos);
}

}  // namespace
}  // namespace stoathold::platform
