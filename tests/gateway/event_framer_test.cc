#include "gateway/event_framer.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TEST(EventFramerTest, SplitsEventsHoweverTheBytesAreSegmented) {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n";
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    EventFramer framer;
    std::string joined;
    std::vector<std::uint64_t> ids;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      ASSERT_TRUE(framer.feed(std::string_view(stream).substr(at, step)));
      while (const auto event = framer.next()) {
        joined += event->raw;
        ids.push_back(event->id.value_or(0));
      }
    }
    EXPECT_EQ(joined, stream);
    EXPECT_EQ(ids, (std::vector<std::uint64_t>{1, 2}));
    EXPECT_TRUE(framer.remainder().empty());
  }
}

TEST(EventFramerTest, KeepsAnIncompleteEventAsRemainder) {
  EventFramer framer;
  framer.feed("id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_TRUE(framer.next());
  EXPECT_FALSE(framer.next());
  EXPECT_EQ(framer.remainder(), "id: 2\nda");
}

TEST(EventFramerTest, AcceptsCarriageReturnsAndMissingIds) {
  EventFramer framer;
  framer.feed("data: a\r\n\r\nid: x\ndata: b\n\n");
  const auto first = framer.next();
  ASSERT_TRUE(first);
  EXPECT_FALSE(first->id);
  EXPECT_EQ(event_data(first->raw), "a");
  const auto second = framer.next();
  ASSERT_TRUE(second);
  EXPECT_FALSE(second->id);
}

TEST(EventFramerTest, JoinsDataLinesAndIgnoresOtherFields) {
  EXPECT_EQ(event_data("weights: 3\nid: 1\ndata: a\ndata:b\n\n"), "a\nb");
}

TEST(EventFramerTest, RejectsAnEventOverTheSizeLimit) {
  EventFramer framer;
  const std::string piece(1024UL * 1024, 'x');
  bool accepted = true;
  for (int i = 0; i < 5 && accepted; ++i) accepted = framer.feed(piece);
  EXPECT_FALSE(accepted);
}

}  // namespace
}  // namespace stoathold
