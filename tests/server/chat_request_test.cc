#include "server/chat_request.h"

#include <gtest/gtest.h>

#include "net/http_target.h"
#include "server/settings.h"

namespace stoathold {
namespace {

TEST(Utf8Test, AcceptsOnlyWellFormedSequences) {
  EXPECT_TRUE(is_utf8("plain, \xc3\xa9, \xe2\x82\xac, \xf0\x9f\xa6\xa6"));
  for (const char* bad :
       {"\xff", "\xc3", "\xc0\x80", "\xed\xa0\x80", "\xf5\x80\x80\x80", "\xe0\x80\x80", "\x80"}) {
    EXPECT_FALSE(is_utf8(bad)) << bad;
  }
}

TEST(ChatRequestTest, PromptsWithTheSameFirstBytesHaveTheSamePrefixHash) {
  const auto parse = [](const std::string& text) {
    ChatRequest request;
    Error error;
    EXPECT_TRUE(parse_chat_request(R"({"model":"m","messages":[{"content":")" + text + R"("}]})",
                                   request, error));
    return request.prefix;
  };
  const std::string head(600, 'h');
  EXPECT_EQ(parse(head + "a"), parse(head + "b"));
  EXPECT_NE(parse("a"), parse("b"));
}

TEST(ChatRequestTest, ReportsMalformedRequestsAsNotRun) {
  for (const char* body : {"", "[]", "{}", R"({"model":"m","messages":[]})",
                           R"({"model":"m","messages":[{"content":"a"}],"stream":1})"}) {
    ChatRequest request;
    Error error;
    EXPECT_FALSE(parse_chat_request(body, request, error)) << body;
    EXPECT_EQ(error.execution, Execution::kNotRun);
    EXPECT_EQ(error.step, Step::kParse);
  }
}

TEST(HttpTargetTest, DecodesSegmentsAndParameters) {
  const auto target = parse_target("/v1/a%20b?after=5&x=y");
  ASSERT_TRUE(target);
  EXPECT_EQ(target->segments[1], "a b");
  EXPECT_EQ(target->number("after", 0), 5U);
  EXPECT_EQ(target->number("x", 7), 7U);
  EXPECT_FALSE(parse_target("/%zz"));
}

TEST(SettingsTest, SuggestsTheNearestNameAndChecksValues) {
  EXPECT_EQ(nearest_name("lisen", setting_names()), "listen");
  NodeSettings settings;
  EXPECT_NE(set_setting(settings, "worker_threads", "0"), "");
  EXPECT_EQ(set_setting(settings, "worker_threads", "4"), "");
  EXPECT_FALSE(check_settings(settings).empty());
}

}  // namespace
}  // namespace stoathold
