// The directory of runners may hold entries of other writers: fields missing or of another type, a
// state that nobody knows, bytes that can't be read. Such an entry was taken for a runner as long
// as it had a service and an address, whatever these were: one without `slots` for a runner with
// one place, one whose `slots` was a text or 2^32 too, one in an unknown state for a draining
// runner. An entry that replaced a readable one under its key was passed over by a node that read
// it as it came (the runner stayed listed), and taken by a node that started later (the runner was
// not there).
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <limits>

#include "platform/platform_configuration.h"
#include "platform/store_sinks.h"

namespace stoathold::platform {
namespace {

constexpr const char* kGoodEntry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"1.2","slots":4,"state":"ready",)"
    R"("cold_remaining_ms":0,"sequence":7,"born":1764720000000})";

std::string with_field(const std::string& name, const std::string& value) {
  std::string fields;
  const auto add = [&](const std::string& field, const std::string& usual) {
    const std::string& text = field == name ? value : usual;
    if (text.empty()) return;
    fields += (fields.empty() ? "" : ",") + ("\"" + field + "\":" + text);
  };
  add("service", R"("s")");
  add("address", R"("10.0.0.1:80")");
  add("zone", R"("z")");
  add("slots", "4");
  add("state", R"("ready")");
  add("born", "1764720000000");
  add("cold_remaining_ms", "0");
  add("sequence", "7");
  add("version", R"("1.2")");
  return "{" + fields + "}";
}

class ForeignEntriesTest : public testing::Test {
 protected:
  ForeignEntriesTest() { sink.on_caught_up(); }

  bool names_a_runner(const std::string& text) {
    context.runners.replace_all({});
    sink.apply({offset++, "r", text});
    return !context.runners.all().empty();
  }

  boost::asio::io_context loop;
  GatewayContext context{loop.get_executor(), HeaderDialect{}, "z"};
  RunnerSink sink{context};
  RecordOffset offset = 0;
};

TEST_F(ForeignEntriesTest, AWholeEntryNamesARunner) {
  EXPECT_TRUE(names_a_runner(kGoodEntry));
  EXPECT_TRUE(names_a_runner(with_field("state", R"("draining")")));
  // Fields of a later release, and fields that say nothing about where to send requests.
  EXPECT_TRUE(names_a_runner(with_field("zone", R"("z","of_a_later_release":[{}])")));
  for (const char* name : {"born", "cold_remaining_ms", "sequence", "version"}) {
    EXPECT_TRUE(names_a_runner(with_field(name, ""))) << name;
  }
  EXPECT_TRUE(names_a_runner(with_field("born", "1764720000000.0")));
}

TEST_F(ForeignEntriesTest, AnEntryWithoutAFieldThatIsNeededNamesNoRunner) {
  for (const char* name : {"service", "address", "zone", "slots", "state"}) {
    EXPECT_FALSE(names_a_runner(with_field(name, ""))) << name;
  }
}

TEST_F(ForeignEntriesTest, AFieldOfAnotherTypeNamesNoRunner) {
  for (const char* name : {"service", "address", "zone", "state"}) {
    for (const char* value : {"null", "5", "true", "[]", "{}", R"(["s"])", R"("")"}) {
      EXPECT_FALSE(names_a_runner(with_field(name, value))) << name << " = " << value;
    }
  }
  for (const char* name : {"slots", "born", "sequence"}) {
    for (const char* value : {"null", R"("4")", "true", "[4]", "{}"}) {
      EXPECT_FALSE(names_a_runner(with_field(name, value))) << name << " = " << value;
    }
  }
}

TEST_F(ForeignEntriesTest, AbsurdNumbersNameNoRunner) {
  for (const char* name : {"slots", "born", "sequence"}) {
    for (const char* value : {"-1", "2.5", "1e300", "18446744073709551616", "-1e300"}) {
      EXPECT_FALSE(names_a_runner(with_field(name, value))) << name << " = " << value;
    }
  }
  EXPECT_FALSE(names_a_runner(with_field("slots", "0")));
  EXPECT_FALSE(names_a_runner(with_field("slots", "4294967297")));
}

TEST_F(ForeignEntriesTest, AnUnknownStateNamesNoRunner) {
  EXPECT_FALSE(names_a_runner(with_field("state", R"("warming")")));
  EXPECT_FALSE(names_a_runner(with_field("state", R"("READY")")));
}

TEST_F(ForeignEntriesTest, AnAddressThatNobodyCanConnectToNamesNoRunner) {
  for (const char* address : {"10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:99999",
                              "10.0.0.300:80", "a name:80", "10.0.0.1:80 "}) {
    EXPECT_FALSE(names_a_runner(with_field("address", "\"" + std::string(address) + "\"")))
        << address;
  }
}

// Requests name the runner in a header; a line end in its id would begin another header.
TEST_F(ForeignEntriesTest, AnIdThatNoHeaderCanCarryNamesNoRunner) {
  for (const char* id : {"", "a b", "r\r\nHost: x", "r\x7f", "\xff\xfe"}) {
    context.runners.replace_all({});
    sink.apply({offset++, id, kGoodEntry});
    EXPECT_TRUE(context.runners.all().empty()) << testing::PrintToString(std::string(id));
  }
}

TEST_F(ForeignEntriesTest, BytesThatCannotBeReadNameNoRunner) {
  const std::string good = kGoodEntry;
  EXPECT_FALSE(names_a_runner("damaged"));
  EXPECT_FALSE(names_a_runner("[" + good + "]"));
  EXPECT_FALSE(names_a_runner(good + good));
  EXPECT_FALSE(names_a_runner(good.substr(0, good.size() - 1)));
  EXPECT_FALSE(names_a_runner(std::string("\0\xff\xfe\x80", 4)));
  EXPECT_FALSE(names_a_runner(with_field("zone", "\"\xff\xfe\"")));
  EXPECT_FALSE(names_a_runner(with_field("zone", "\"" + std::string(100000, 'z') + "\"")));
  EXPECT_FALSE(names_a_runner(std::string(100000, '[') + std::string(100000, ']')));
  EXPECT_FALSE(names_a_runner(
      with_field("zone", R"("z","x":)" + std::string(1000, '[') + std::string(1000, ']'))));
}

TEST_F(ForeignEntriesTest, TheNewestEntryOfAKeyCountsHoweverItIsRead) {
  sink.apply({0, "r1", kGoodEntry});
  sink.apply({1, "r2", kGoodEntry});
  sink.apply({2, "r1", R"({"service":5})"});
  EXPECT_FALSE(context.runners.all().contains("r1"));
  EXPECT_TRUE(context.runners.all().contains("r2"));
  sink.reset({{1, "r2", kGoodEntry}, {2, "r1", R"({"service":5})"}});
  EXPECT_FALSE(context.runners.all().contains("r1"));
  EXPECT_TRUE(context.runners.all().contains("r2"));
  sink.apply({3, "r1", kGoodEntry});
  EXPECT_TRUE(context.runners.all().contains("r1"));
}

TEST_F(ForeignEntriesTest, OneBadEntryAmongThousandsTouchesNoOther) {
  constexpr std::size_t kRunners = 3000;
  std::vector<StoredRecord> newest;
  for (std::size_t i = 0; i < kRunners; ++i) {
    newest.push_back({i, "r" + std::to_string(i), i == kRunners / 2 ? "damaged" : kGoodEntry});
  }
  sink.reset(newest);
  EXPECT_EQ(context.runners.all().size(), kRunners - 1);
}

TEST_F(ForeignEntriesTest, EachEntryThatNamesNoRunnerIsCountedByItsReason) {
  sink.reset({{0, "r1", "damaged"}, {1, "r2", kGoodEntry}, {2, "r3", R"({"service":5})"}});
  sink.apply({3, "r4", with_field("state", R"("warming")")});
  sink.apply({4, "r4", with_field("slots", "")});
  sink.apply({5, "r4", with_field("slots", "-1")});
  sink.apply({6, "r4", ""});
  const std::map<std::string, std::uint64_t> expected{{"unreadable", 1},
                                                      {"wrong_type", 1},
                                                      {"unknown_state", 1},
                                                      {"missing_field", 1},
                                                      {"out_of_bounds", 1}};
  EXPECT_EQ(context.metrics.refused_runner_entries, expected);
}

TEST_F(ForeignEntriesTest, ARunnerOfAServiceThatIsNotConfiguredServesNoOther) {
  EXPECT_TRUE(names_a_runner(with_field("service", R"("unheard of")")));
  EXPECT_TRUE(context.runners.of_service("s").empty());
}

TEST(ForeignConfigurationTest, AbsurdNumbersOfAConfigurationAreBounded) {
  const auto configuration = parse_configuration(
      R"({"version":1e300,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe",
      "service":"s","timeout_ms":18446744073709551615,"target_latency_ms":-5,"priority":1e300,
      "max_attempts":4294967296,"retention_s":1e300}],
      "services":[{"name":"s","max_connections":4294967297}]})");
  ASSERT_TRUE(configuration);
  constexpr auto kLargest = std::numeric_limits<std::uint32_t>::max();
  const Route& route = configuration->routes[0];
  EXPECT_EQ(configuration->version, std::numeric_limits<std::uint64_t>::max());
  EXPECT_GT(route.timeout, std::chrono::hours(24));
  EXPECT_GT(route.item_retention, std::chrono::hours(24));
  EXPECT_EQ(route.latency_objective, Duration{0});
  EXPECT_EQ(route.priority, kLargest);
  EXPECT_EQ(route.max_attempts, kLargest);
  EXPECT_EQ(configuration->services.at("s").max_connections, kLargest);
}

}  // namespace
}  // namespace stoathold::platform
