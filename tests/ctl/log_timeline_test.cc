#include "ctl/log_timeline.h"

#include <gtest/gtest.h>

#include <sstream>

namespace stoathold {
namespace {

constexpr const char* kLog = R"(
collector: {"time":"05","level":"info","event":1505,"name":"attempt_failed","node":"n1","request":"q1","runner":"r1"}
{"time":"03","level":"warning","event":1604,"name":"store_lost","node":"n1"}
{"time":"02","level":"info","event":1601,"name":"runner_listed","node":"n1","runner":"r1","state":"ready"}
{"time":"01","level":"info","event":1601,"name":"runner_listed","node":"n1","runner":"r1","state":"cold"}
{"time":"02","level":"info","event":1601,"name":"runner_listed","node":"n1","runner":"r9"}
{"time":"02","level":"info","event":1604,"name":"store_lost","node":"n2"}
{"time":"06","level":"info","event":1506,"name":"request_unanswered","node":"n1","request":"q1","status":"502"}
{"time":"09","level":"info","event":1605,"name":"store_regained","node":"n1"}
{"time":"08","level":"info","event":1505,"name":"attempt_failed","node":"n3","request":"q2","content":"c1"}
{"time":"04","level":"info","event":1518,"name":"runner_ended_with_request","node":"n4","content":"c1"}
{"time":"09","level":"warning","event":1516,"name":"request_quarantined","node":"n4","content":"c1"}
{"time":"09","level":"warning","event":1516,"name":"request_quarantined","node":"n4","content":"c2"}
not a structured line {
{"time":"07","level":"info","event":1408,"name":"item_done","node":"n2","job":"aa.j1","item":"i1"}
)";

std::vector<std::string> timeline_of(const std::string& id) {
  std::istringstream input(kLog);
  std::vector<std::string> names;
  for (const auto& line : find_timeline(read_log_lines(input), id)) {
    names.push_back(line.time + " " + line.name);
  }
  return names;
}

TEST(LogTimelineTest, IncludesTheLatestStateOfTheNodesThatServedTheRequest) {
  EXPECT_EQ(timeline_of("q1"),
            (std::vector<std::string>{"02 runner_listed", "03 store_lost", "05 attempt_failed",
                                      "06 request_unanswered"}));
}

TEST(LogTimelineTest, IncludesQuarantineEventsOfRequestsWithTheSameContent) {
  EXPECT_EQ(timeline_of("q2"),
            (std::vector<std::string>{"04 runner_ended_with_request", "08 attempt_failed",
                                      "09 request_quarantined"}));
}

TEST(LogTimelineTest, FindsItemsAndJobsById) {
  EXPECT_EQ(timeline_of("j1").back(), "07 item_done");
  EXPECT_EQ(timeline_of("i1").back(), "07 item_done");
  EXPECT_TRUE(timeline_of("unknown").empty());
}

}  // namespace
}  // namespace stoathold
