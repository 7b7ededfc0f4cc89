#include "platform/job_messages.h"

#include <gtest/gtest.h>

namespace stoathold::platform {
namespace {

TEST(JobMessagesTest, ParsesItems) {
  NewJob job;
  ASSERT_TRUE(parse_submission(
      R"({"items":[{"id":"i1","path":"/x/3","headers":{"A":"b"},"body":"q83vEg==","token_count":940}]})",
      job));
  ASSERT_EQ(job.requests.size(), 1U);
  EXPECT_EQ(job.submission.items[0].tokens, 940U);
  EXPECT_EQ(job.requests[0].body, "\xab\xcd\xef\x12");
  EXPECT_EQ(job.requests[0].headers[0].second, "b");
}

TEST(JobMessagesTest, RejectsMalformedSubmissions) {
  for (const char* body :
       {"", "{}", R"({"items":[]})", R"({"items":[{}]})", R"({"items":[{"id":"","path":"/x"}]})",
        R"({"items":[{"id":"i","path":"x","body":""}]})",
        R"({"items":[{"id":"i","path":"/x","body":"no base64!"}]})",
        R"({"items":[{"id":"i","path":"/x","body":"","token_count":"many"}]})",
        R"({"items":[{"id":"i","path":"/x","body":"","headers":[]}]})",
        R"({"items":[{"id":"i","path":"/x","body":""},{"id":"i","path":"/x","body":""}]})"}) {
    NewJob job;
    EXPECT_FALSE(parse_submission(body, job)) << body;
  }
}

/// Headers and paths of items come from the submitter's JSON, whose strings may contain line
/// breaks. Forwarded to a runner, the text after one would be parsed as another header or request.
TEST(JobMessagesTest, RejectsLineBreaksInHeadersAndPaths) {
  for (const char* item :
       {R"({"id":"i","path":"/x","body":"","headers":{"A":"b\r\nC: d"}})",
        R"({"id":"i","path":"/x","body":"","headers":{"A: b\r\nC":"d"}})",
        R"({"id":"i","path":"/x","body":"","headers":{"":"d"}})",
        R"({"id":"i","path":"/x","body":"","headers":{"A":"b\u0000"}})",
        R"({"id":"i","path":"/x HTTP/1.1\r\nHost: y\r\n\r\nGET /","body":""})"}) {
    NewJob job;
    EXPECT_FALSE(parse_submission(std::string(R"({"items":[)") + item + "]}", job)) << item;
  }
  NewJob job;
  EXPECT_TRUE(parse_submission(
      R"({"items":[{"id":"i","path":"/x?y=1","body":"","headers":{"X-A":"caf\u00e9, b\tc"}}]})",
      job));
}

/// An item's id is sent to the runner as a header, and the runner's answer is recognized by it. An
/// id that HTTP changes on the way is never recognized, so the item would be sent forever.
TEST(JobMessagesTest, RejectsIdsThatAreNoHeaderValues) {
  for (const char* id : {R"(a\r\nB: c)", R"(a\u0000)", " a", "a ", R"(a\t)"}) {
    NewJob job;
    const std::string item = std::string(R"({"id":")") + id + R"(","path":"/x","body":""})";
    EXPECT_FALSE(parse_submission(R"({"items":[)" + item + "]}", job)) << id;
  }
}

/// Guards against items that the HTTP library cannot send: the attempt ends with an exception.
TEST(JobMessagesTest, RejectsHeadersThatAreTooLongForHttp) {
  const std::string text(70'000, 'a');
  for (const std::string& item :
       {R"({"id":"i","path":"/x","body":"","headers":{"A":")" + text + R"("}})",
        R"({"id":"i","path":"/x","body":"","headers":{")" + text + R"(":"b"}})",
        R"({"id":")" + text + R"(","path":"/x","body":""})"}) {
    NewJob job;
    EXPECT_FALSE(parse_submission(R"({"items":[)" + item + "]}", job)) << item.substr(0, 60);
  }
}

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
