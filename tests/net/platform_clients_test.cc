#include <gtest/gtest.h>

#include "base/random.h"
#include "net/log_client.h"
#include "net/machine_list_client.h"

namespace stoathold {
namespace {

TEST(LogFramingTest, RoundTripsEntriesAndRejectsTruncation) {
  const std::vector<LogEntry> entries{{Offset{1}, "one"}, {Offset{2}, std::string("\0two", 4)}};
  const std::string body = frame_entries(entries);
  std::vector<LogEntry> parsed;
  ASSERT_TRUE(parse_entries(body, parsed));
  ASSERT_EQ(parsed.size(), 2U);
  EXPECT_EQ(parsed[1].bytes, entries[1].bytes);
  for (std::size_t size = 1; size < body.size(); ++size) {
    std::vector<LogEntry> partial;
    const bool whole_entry = size == 16 + 3;
    EXPECT_EQ(parse_entries(body.substr(0, size), partial), whole_entry) << size;
  }
}

TEST(LogFramingTest, RandomBytesDoNotCrash) {
  Random random(5);
  for (int round = 0; round < 5000; ++round) {
    std::string bytes(random.below(100), '\0');
    for (auto& byte : bytes) byte = static_cast<char>(random.next());
    std::vector<LogEntry> parsed;
    parse_entries(bytes, parsed);
  }
}

TEST(MachineListTest, ParsesNodesAndRunners) {
  MachineList list;
  ASSERT_TRUE(parse_machine_list(
      R"({"machines":[{"role":"node","name":"n","zone":"z","address":"127.0.0.1:1"},
          {"role":"runner","name":"r","zone":"z","address":"127.0.0.1:2","service":"s",
           "state":"leaving"}]})",
      list));
  EXPECT_EQ(list.nodes.size(), 1U);
  ASSERT_EQ(list.runners.size(), 1U);
  EXPECT_TRUE(list.runners[0].leaving);
}

TEST(MachineListTest, RejectsMalformedList) {
  MachineList list;
  for (const char* body : {"", "[]", "{}", R"({"machines":[1]})", R"({"machines":[{}]})"}) {
    EXPECT_FALSE(parse_machine_list(body, list)) << body;
  }
}

}  // namespace
}  // namespace stoathold
