#include "store/store_traffic.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

StoreCall make_call(const std::string& name, const std::string& topic) {
  StoreCall call;
  call.call = name;
  call.topic = topic;
  call.status = LogStatus::kOk;
  call.bytes_sent = 40;
  call.bytes_received = 1000;
  return call;
}

TEST(StoreTrafficTest, CountsCallsByNameAndTopic) {
  StoreTraffic traffic;
  traffic.add(make_call("read", "jobs"));
  traffic.add(make_call("newest", "bodies"));
  traffic.add(make_call("newest", "bodies"));
  ASSERT_EQ(traffic.counts().size(), 2U);
  const TrafficCount expected{2, 0, 80, 2000, 0};
  EXPECT_EQ(traffic.counts().at({"newest", "bodies"}), expected);
}

TEST(StoreTrafficTest, CountsTimeoutsSeparately) {
  StoreTraffic traffic;
  StoreCall late = make_call("newest", "results");
  late.bytes_received = 0;
  late.timed_out = true;
  traffic.add(late);
  traffic.add(make_call("newest", "results"));
  EXPECT_EQ(traffic_text(traffic.counts()), "newest:results=2/80/1000/1");
}

/// A refused call transfers no bytes but may still be what delays a node.
TEST(StoreTrafficTest, CountsRefusedCallsSeparately) {
  StoreTraffic traffic;
  StoreCall refused = make_call("newest", "servers");
  refused.bytes_received = 0;
  refused.status = LogStatus::kNotDone;
  traffic.add(refused);
  traffic.add(make_call("newest", "servers"));
  EXPECT_EQ(traffic.counts().at({"newest", "servers"}).refused, 1U);
  EXPECT_EQ(traffic.take_delta().at({"newest", "servers"}).refused, 1U);
  EXPECT_TRUE(traffic.take_delta().empty());
}

TEST(StoreTrafficTest, DeltaContainsOnlyNewCalls) {
  StoreTraffic traffic;
  traffic.add(make_call("read", "jobs"));
  traffic.add(make_call("append", "results"));
  EXPECT_EQ(traffic_text(traffic.take_delta()), "append:results=1/40/1000,read:jobs=1/40/1000");
  EXPECT_TRUE(traffic.take_delta().empty());
  traffic.add(make_call("read", "jobs"));
  EXPECT_EQ(traffic_text(traffic.take_delta()), "read:jobs=1/40/1000");
  EXPECT_EQ(traffic.counts().at({"read", "jobs"}).calls, 2U);
}

TEST(StoreTrafficTest, ShardedTopicsAreCountedTogether) {
  StoreTraffic traffic;
  traffic.add(make_call("newest", "job-results-3"));
  traffic.add(make_call("newest", "job-results-14"));
  traffic.add(make_call("newest", "job-results"));
  EXPECT_EQ(traffic_text(traffic.counts()), "newest:job-results=3/120/3000");
}

}  // namespace
}  // namespace stoathold
