// Validation of runner directory entries, which other writers may produce with missing fields,
// fields of the wrong type, unknown states or undecodable bytes. Guards against two faults. Any
// entry with a service and an address was accepted: without `slots`, or with a string or 2^32 as
// `slots`, it became a runner with one slot, and an unknown state counted as draining. And an
// invalid entry that replaced a valid one under the same key was ignored by a node that read it
// incrementally (the runner stayed listed) but applied by a node that started later (the runner was
// missing).
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <limits>

#include "platform/platform_configuration.h"
#include "platform/store_sinks.h"

namespace stoathold::platform {
namespace {

constexpr const char* kValidEntry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"1.2","slots":4,"state":"ready",)"
    R"("cold_remaining_ms":0,"sequence":7,"born":1764720000000})";

std::string with_field(const std::string& name, const std::string& value) {
  std::string fields;
  const auto add = [&](const std::string& field, const std::string& default_value) {
    const std::string& text = field == name ? value : default_value;
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

class MalformedRunnerEntriesTest : public testing::Test {
 protected:
  MalformedRunnerEntriesTest() { sink.on_caught_up(); }

  bool is_accepted(const std::string& text) {
    context.runners.replace_all({});
    sink.apply({offset++, "r", text});
    return !context.runners.all().empty();
  }

  boost::asio::io_context loop;
  GatewayContext context{loop.get_executor(), HeaderDialect{}, "z"};
  RunnerSink sink{context};
  RecordOffset offset = 0;
};

TEST_F(MalformedRunnerEntriesTest, AcceptsCompleteEntry) {
  EXPECT_TRUE(is_accepted(kValidEntry));
  EXPECT_TRUE(is_accepted(with_field("state", R"("draining")")));
  // Fields of a later release, and optional fields that are not needed for routing.
  EXPECT_TRUE(is_accepted(with_field("zone", R"("z","of_a_later_release":[{}])")));
  for (const char* name : {"born", "cold_remaining_ms", "sequence", "version"}) {
    EXPECT_TRUE(is_accepted(with_field(name, ""))) << name;
  }
  EXPECT_TRUE(is_accepted(with_field("born", "1764720000000.0")));
}

TEST_F(MalformedRunnerEntriesTest, RejectsMissingRequiredField) {
  for (const char* name : {"service", "address", "zone", "slots", "state"}) {
    EXPECT_FALSE(is_accepted(with_field(name, ""))) << name;
  }
}

TEST_F(MalformedRunnerEntriesTest, RejectsFieldOfWrongType) {
  for (const char* name : {"service", "address", "zone", "state"}) {
    for (const char* value : {"null", "5", "true", "[]", "{}", R"(["s"])", R"("")"}) {
      EXPECT_FALSE(is_accepted(with_field(name, value))) << name << " = " << value;
    }
  }
  for (const char* name : {"slots", "born", "sequence"}) {
    for (const char* value : {"null", R"("4")", "true", "[4]", "{}"}) {
      EXPECT_FALSE(is_accepted(with_field(name, value))) << name << " = " << value;
    }
  }
}

TEST_F(MalformedRunnerEntriesTest, RejectsOutOfRangeNumbers) {
  for (const char* name : {"slots", "born", "sequence"}) {
    for (const char* value : {"-1", "2.5", "1e300", "18446744073709551616", "-1e300"}) {
      EXPECT_FALSE(is_accepted(with_field(name, value))) << name << " = " << value;
    }
  }
  EXPECT_FALSE(is_accepted(with_field("slots", "0")));
  EXPECT_FALSE(is_accepted(with_field("slots", "4294967297")));
}

TEST_F(MalformedRunnerEntriesTest, RejectsUnknownState) {
  EXPECT_FALSE(is_accepted(with_field("state", R"("warming")")));
  EXPECT_FALSE(is_accepted(with_field("state", R"("READY")")));
}

TEST_F(MalformedRunnerEntriesTest, RejectsInvalidAddress) {
  for (const char* address : {"10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:99999",
                              "10.0.0.300:80", "a name:80", "10.0.0.1:80 "}) {
    EXPECT_FALSE(is_accepted(with_field("address", "\"" + std::string(address) + "\""))) << address;
  }
}

// Requests name the runner in a header; a line break in its id would inject another header.
TEST_F(MalformedRunnerEntriesTest, RejectsIdThatIsInvalidInAHeader) {
  for (const char* id : {"", "a b", "r\r\nHost: x", "r\x7f", "\xff\xfe"}) {
    context.runners.replace_all({});
    sink.apply({offset++, id, kValidEntry});
    EXPECT_TRUE(context.runners.all().empty()) << testing::PrintToString(std::string(id));
  }
}

TEST_F(MalformedRunnerEntriesTest, RejectsUnreadableBytes) {
  const std::string valid_entry = kValidEntry;
  EXPECT_FALSE(is_accepted("damaged"));
  EXPECT_FALSE(is_accepted("[" + valid_entry + "]"));
  EXPECT_FALSE(is_accepted(valid_entry + valid_entry));
  EXPECT_FALSE(is_accepted(valid_entry.substr(0, valid_entry.size() - 1)));
  EXPECT_FALSE(is_accepted(std::string("\0\xff\xfe\x80", 4)));
  EXPECT_FALSE(is_accepted(with_field("zone", "\"\xff\xfe\"")));
  EXPECT_FALSE(is_accepted(with_field("zone", "\"" + std::string(100000, 'z') + "\"")));
  EXPECT_FALSE(is_accepted(std::string(100000, '[') + std::string(100000, ']')));
  EXPECT_FALSE(is_accepted(
      with_field("zone", R"("z","x":)" + std::string(1000, '[') + std::string(1000, ']'))));
}

TEST_F(MalformedRunnerEntriesTest, NewestEntryOfAKeyIsAuthoritative) {
  sink.apply({0, "r1", kValidEntry});
  sink.apply({1, "r2", kValidEntry});
  sink.apply({2, "r1", R"({"service":5})"});
  EXPECT_FALSE(context.runners.all().contains("r1"));
  EXPECT_TRUE(context.runners.all().contains("r2"));
  sink.reset({{1, "r2", kValidEntry}, {2, "r1", R"({"service":5})"}}, 3);
  EXPECT_FALSE(context.runners.all().contains("r1"));
  EXPECT_TRUE(context.runners.all().contains("r2"));
  sink.apply({3, "r1", kValidEntry});
  EXPECT_TRUE(context.runners.all().contains("r1"));
}

TEST_F(MalformedRunnerEntriesTest, InvalidEntryDoesNotAffectOthers) {
  constexpr std::size_t kRunners = 3000;
  std::vector<StoredRecord> newest;
  for (std::size_t i = 0; i < kRunners; ++i) {
    newest.push_back({i, "r" + std::to_string(i), i == kRunners / 2 ? "damaged" : kValidEntry});
  }
  sink.reset(newest, newest.size());
  EXPECT_EQ(context.runners.all().size(), kRunners - 1);
}

TEST_F(MalformedRunnerEntriesTest, RejectedEntriesAreCountedByReason) {
  sink.reset({{0, "r1", "damaged"}, {1, "r2", kValidEntry}, {2, "r3", R"({"service":5})"}}, 3);
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

TEST_F(MalformedRunnerEntriesTest, RunnerOfUnknownServiceServesNoOtherService) {
  EXPECT_TRUE(is_accepted(with_field("service", R"("unheard of")")));
  EXPECT_TRUE(context.runners.for_service("s").empty());
}

TEST(MalformedConfigurationTest, OutOfRangeNumbersAreClamped) {
  const auto configuration = parse_configuration(
      R"({"version":1e300,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe",
      "service":"s","timeout_ms":18446744073709551615,"target_latency_ms":-5,"priority":1e300,
      "max_attempts":4294967296,"retention_s":1e300}],
      "services":[{"name":"s","max_connections":4294967297}]})");
  ASSERT_TRUE(configuration);
  constexpr auto kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
  const Route& route = configuration->routes[0];
  EXPECT_EQ(configuration->version, std::numeric_limits<std::uint64_t>::max());
  EXPECT_GT(route.timeout, std::chrono::hours(24));
  EXPECT_GT(route.item_retention, std::chrono::hours(24));
  EXPECT_EQ(route.latency_objective, Duration{0});
  EXPECT_EQ(route.priority, kMaxUint32);
  EXPECT_EQ(route.max_attempts, kMaxUint32);
  EXPECT_EQ(configuration->services.at("s").max_connections, kMaxUint32);
}

}  // namespace
}  // namespace stoathold::platform
