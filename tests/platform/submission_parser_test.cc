#include "platform/submission_parser.h"

#include <gtest/gtest.h>

#include "platform/submission_item.h"

namespace stoathold::platform {
namespace {

/// Returns a submission of one item, with these fields besides those that it needs.
std::string submission_with(const std::string& fields) {
  return R"({"items":[{"id":"i","path":"/x","body":"")" + fields + "}]}";
}

TEST(SubmissionParserTest, ParsesItems) {
  NewJob job;
  ASSERT_TRUE(parse_submission(
      R"({"items":[{"id":"i1","path":"/x/3","headers":{"A":"b"},"body":"q83vEg==","token_count":940}]})",
      job));
  ASSERT_EQ(job.requests.size(), 1U);
  EXPECT_EQ(job.submission.items[0].tokens, 940U);
  ItemRequest request;
  ASSERT_TRUE(decode(job.requests[0], request));
  EXPECT_EQ(request.path, "/x/3");
  EXPECT_EQ(request.body, "\xab\xcd\xef\x12");
  EXPECT_EQ(request.headers[0].second, "b");
}

TEST(SubmissionParserTest, RejectsMalformedSubmissions) {
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
TEST(SubmissionParserTest, RejectsLineBreaksInHeadersAndPaths) {
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
TEST(SubmissionParserTest, RejectsIdsThatAreNoHeaderValues) {
  for (const char* id : {R"(a\r\nB: c)", R"(a\u0000)", " a", "a ", R"(a\t)"}) {
    NewJob job;
    const std::string item = std::string(R"({"id":")") + id + R"(","path":"/x","body":""})";
    EXPECT_FALSE(parse_submission(R"({"items":[)" + item + "]}", job)) << id;
  }
}

/// Guards against items that the HTTP library cannot send: the attempt ends with an exception.
TEST(SubmissionParserTest, RejectsHeadersThatAreTooLongForHttp) {
  const std::string text(70'000, 'a');
  for (const std::string& item :
       {R"({"id":"i","path":"/x","body":"","headers":{"A":")" + text + R"("}})",
        R"({"id":"i","path":"/x","body":"","headers":{")" + text + R"(":"b"}})",
        R"({"id":")" + text + R"(","path":"/x","body":""})"}) {
    NewJob job;
    EXPECT_FALSE(parse_submission(R"({"items":[)" + item + "]}", job)) << item.substr(0, 60);
  }
}

TEST(SubmissionParserTest, SkipsUnknownFields) {
  for (const char* fields :
       {R"(,"other":[1,{"id":5,"items":[{}]},[null,true]])", R"(,"other":{"headers":{"a":[1.5]}})",
        R"(,"other":"text","more":-7)"}) {
    NewJob job;
    EXPECT_TRUE(parse_submission(submission_with(fields), job)) << fields;
    EXPECT_EQ(job.submission.items.size(), 1U);
  }
  NewJob job;
  EXPECT_TRUE(parse_submission(
      R"( {"n":{"items":0},"items":[{"id":"i","path":"/x","body":""}],"m":[[]]} )", job));
}

TEST(SubmissionParserTest, TheLastOfSeveralEqualNamesCounts) {
  NewJob job;
  ASSERT_TRUE(parse_submission(
      submission_with(R"(,"headers":{"a":"0"},"headers":{"b":"1","c":"2","b":"3"},"path":"/y")"),
      job));
  ItemRequest request;
  ASSERT_TRUE(decode(job.requests[0], request));
  EXPECT_EQ(request.path, "/y");
  ASSERT_EQ(request.headers.size(), 2U);
  EXPECT_EQ(request.headers[0], (std::pair<std::string, std::string>{"b", "3"}));
}

TEST(SubmissionParserTest, RejectsTextBehindTheObjectAndOtherTypes) {
  const std::string valid = submission_with("");
  for (const std::string& body :
       {valid + "x", valid + valid, "[" + valid + "]", std::string("7"), valid.substr(0, 20),
        submission_with(R"(,"headers":{"a":{}})"), submission_with(R"(,"headers":{"a":1})"),
        submission_with(R"(,"token_count":-1)"), submission_with(R"(,"token_count":1.5)"),
        submission_with(R"(,"id":null)"), std::string(R"({"items":{}})"),
        std::string(R"({"items":[[]]})"), std::string(R"({"items":"text"})")}) {
    NewJob job;
    EXPECT_FALSE(parse_submission(body, job)) << body;
  }
}

/// Guards against items and headers whose parsed form needs many times their text.
TEST(SubmissionParserTest, RejectsMoreItemsOrHeadersThanTheLimit) {
  constexpr std::size_t kMaxItems = 200;
  std::string items;
  for (std::size_t number = 0; number < kMaxItems; ++number) {
    if (number > 0) items += ',';
    items += R"({"id":")" + std::to_string(number) + R"(","path":"/x","body":""})";
  }
  NewJob at_limit;
  EXPECT_TRUE(parse_submission(R"({"items":[)" + items + "]}", at_limit));
  NewJob over_limit;
  EXPECT_FALSE(parse_submission(
      R"({"items":[)" + items + R"(,{"id":"more","path":"/x","body":""}]})", over_limit));

  constexpr std::size_t kLineBytes = 10;  // A name of 6 digits, an empty value, and their marks.
  std::string headers;
  for (std::size_t number = 0; number < kMaxItemHeaderBytes / kLineBytes; ++number) {
    if (number > 0) headers += ',';
    headers += '"' + std::to_string(100'000 + number) + R"(":"")";
  }
  NewJob all_headers;
  EXPECT_TRUE(parse_submission(submission_with(R"(,"headers":{)" + headers + "}"), all_headers));
  EXPECT_LE(all_headers.requests[0].size(),
            submission_memory_bytes(submission_with(R"(,"headers":{)" + headers + "}")));
  NewJob too_many_headers;
  EXPECT_FALSE(parse_submission(submission_with(R"(,"headers":{)" + headers + R"(,"more":""})"),
                                too_many_headers));
}

}  // namespace
}  // namespace stoathold::platform
