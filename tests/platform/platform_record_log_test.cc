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

}  // namespace
}  // namespace stoathold::platform
