#include "net/event_splitter.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

std::string event(int token) {
  return "id: " + std::to_string(token) + "\ndata: t\n\n";
}

TEST(EventSplitterTest, JoinsEventsSplitAcrossReads) {
  const std::string all = event(1) + event(2) + std::string(kEndEvent);
  for (std::size_t cut = 1; cut < all.size(); ++cut) {
    EventSplitter splitter(0);
    std::string delivered;
    ASSERT_EQ(splitter.feed(all.substr(0, cut)), SplitStatus::kOk);
    delivered += splitter.events();
    ASSERT_EQ(splitter.feed(all.substr(cut)), SplitStatus::kOk);
    delivered += splitter.events();
    EXPECT_EQ(delivered, event(1) + event(2)) << cut;
    EXPECT_TRUE(splitter.finished());
  }
}

TEST(EventSplitterTest, DropsDeliveredTokens) {
  EventSplitter splitter(2);
  EXPECT_EQ(splitter.feed(event(1) + event(2) + event(3)), SplitStatus::kOk);
  EXPECT_EQ(splitter.events(), event(3));
}

TEST(EventSplitterTest, TokenGapIsAnError) {
  EventSplitter splitter(0);
  EXPECT_EQ(splitter.feed(event(2)), SplitStatus::kGap);
}

TEST(EventSplitterTest, EventWithoutIdIsMalformed) {
  EventSplitter splitter(0);
  EXPECT_EQ(splitter.feed("data: x\n\n"), SplitStatus::kMalformed);
}

}  // namespace
}  // namespace stoathold
