#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <set>
#include <sstream>

#include "base/event_log.h"

namespace stoathold {
namespace {

std::string row_of(const EventEntry& entry) {
  constexpr std::array<const char*, 4> kLevels{"debug", "info", "warning", "error"};
  std::ostringstream row;
  row << "| " << static_cast<int>(entry.event) << " | " << entry.name << " | "
      << kLevels[static_cast<std::size_t>(entry.level)] << " | " << entry.meaning << " |";
  return row.str();
}

TEST(EventCatalogueTest, PageMatchesCatalogue) {
  std::ifstream page(STOATHOLD_SOURCE_DIR "/docs/EVENTS.md");
  std::set<std::string> documented;
  std::string line;
  while (std::getline(page, line)) {
    if (line.starts_with("| 1")) documented.insert(line);
  }
  std::set<std::string> coded;
  for (const auto& entry : event_catalogue()) coded.insert(row_of(entry));
  EXPECT_EQ(documented, coded);
}

TEST(EventCatalogueTest, NumbersAreUniqueAndAscending) {
  std::set<int> numbers;
  for (const auto& entry : event_catalogue()) {
    EXPECT_TRUE(numbers.insert(static_cast<int>(entry.event)).second);
  }
}

}  // namespace
}  // namespace stoathold
