// What each status of the metadata store says about a call.
#include "platform/platform_record_log.h"

#include <gtest/gtest.h>

#include "tests/gateway/scripted_runner.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold::platform {
namespace {

/// Returns the status of an append that a store answers with this HTTP status.
LogStatus append_status(int http_status) {
  boost::asio::io_context loop;
  const std::string response =
      "HTTP/1.1 " + std::to_string(http_status) + " Status\r\nContent-Length: 2\r\n\r\n{}";
  const ScriptedRunner store(loop, {response});
  PlatformSettings settings;
  settings.store_address = store.address();
  settings.store_partitions = 8;
  PlatformRecordLog log(loop.get_executor(), settings, {});
  return run_awaitable(loop, log.append({"jobs", 0}, {{"key", "value"}}, std::nullopt)).status;
}

TEST(PlatformRecordLogTest, InvalidCallsAreRejected) {
  for (const int status : {400, 413, 422}) {
    EXPECT_EQ(append_status(status), LogStatus::kRejected) << status;
  }
}

/// They say nothing about the call: the address may be that of another service, for instance after
/// the settings were reloaded.
TEST(PlatformRecordLogTest, OtherRefusalsHadNoEffectAndAreRetried) {
  for (const int status : {401, 403, 404, 405, 408, 421, 429, 431, 503, 507}) {
    EXPECT_EQ(append_status(status), LogStatus::kNotDone) << status;
  }
}

TEST(PlatformRecordLogTest, EffectOfOtherStatusesIsUnknown) {
  for (const int status : {202, 302, 500, 502, 504}) {
    EXPECT_EQ(append_status(status), LogStatus::kUnknown) << status;
  }
}

TEST(PlatformRecordLogTest, ConditionsAndTruncation) {
  EXPECT_EQ(append_status(200), LogStatus::kOk);
  EXPECT_EQ(append_status(409), LogStatus::kConflict);
  EXPECT_EQ(append_status(410), LogStatus::kTruncated);
  EXPECT_EQ(append_status(412), LogStatus::kConflict);
}

/// Guards against a part of an answer, whose connection has ended, that is taken for an empty one:
/// slots would be given up, members forgotten, and records looked for at the wrong offset.
TEST(PlatformRecordLogTest, AnswersThatEndTooEarlyAreUnknown) {
  for (const std::string body :
       {"", "{", R"({"offset":)", R"({"generation":3,"parts":[["slots-0")"}) {
    boost::asio::io_context loop;
    const ScriptedRunner store(loop, {ScriptedResponse("HTTP/1.1 200 OK\r\n\r\n" + body, true)});
    PlatformSettings settings;
    settings.store_address = store.address();
    settings.store_partitions = 8;
    PlatformRecordLog log(loop.get_executor(), settings, {});
    const AppendResult append =
        run_awaitable(loop, log.append({"jobs", 0}, {{"key", "value"}}, std::nullopt));
    EXPECT_EQ(append.status, LogStatus::kUnknown) << body;
    EXPECT_EQ(run_awaitable(loop, log.join({"group", "node"})).status, LogStatus::kUnknown) << body;
    EXPECT_EQ(run_awaitable(loop, log.members("group")).status, LogStatus::kUnknown) << body;
  }
}

/// Returns a page of newest records, as a response, that has one record and names a next page.
std::string page_with_more(const std::string& key, const std::string& value) {
  const std::string body = R"({"end":5,"more":true,"items":[{"tls_key":")" + key +
                           R"(","value":")" + value + R"(","offset":1}]})";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ReadResult read_newest(boost::asio::io_context& loop, const ScriptedRunner& store) {
  PlatformSettings settings;
  settings.store_address = store.address();
  settings.store_partitions = 8;
  settings.record_bytes = 1024;
  PlatformRecordLog log(loop.get_executor(), settings, {});
  return run_awaitable(loop, log.read_newest({"jobs", 0}, {}, std::chrono::seconds(5)));
}

/// Guards against a read that asks for the same page again and again.
TEST(PlatformRecordLogTest, ReadOfPagesThatDoNotAdvanceFails) {
  boost::asio::io_context loop;
  const ScriptedRunner store(loop, {page_with_more("a", "YQ=="), page_with_more("a", "YQ==")});
  const ReadResult result = read_newest(loop, store);
  EXPECT_EQ(result.status, LogStatus::kUnknown);
  EXPECT_TRUE(result.records.empty());
  EXPECT_EQ(store.requests.size(), 2U);
}

/// Guards against a page beyond what the store sends, and against values that need many times their
/// text.
TEST(PlatformRecordLogTest, PageOverTheLimitIsNotRead) {
  boost::asio::io_context loop;
  const std::string long_value(8UL * 1024 * 1024, 'A');
  const ScriptedRunner long_page(loop, {page_with_more("a", long_value)});
  EXPECT_EQ(read_newest(loop, long_page).status, LogStatus::kUnknown);

  std::string body = R"({"end":5,"more":false,"items":[0)";
  for (int i = 0; i < 500'000; ++i) body += ",0";
  body += "]}";
  const ScriptedRunner many_values(
      loop,
      {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body});
  EXPECT_EQ(read_newest(loop, many_values).status, LogStatus::kUnknown);
}

}  // namespace
}  // namespace stoathold::platform
