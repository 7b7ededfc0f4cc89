/// Tests which prompt parts are found guilty of runner exits.
#include "quarantine/prompt_part_exits.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr PartHash kFirst{1};
constexpr PartHash kGuilty{2};
constexpr PartHash kCompanion{3};
constexpr PartHash kOtherGuilty{4};
constexpr Duration kPause = milliseconds(100);

class PromptPartExitsTest : public testing::Test {
 protected:
  /// Adds an exit of another runner with a request of its own.
  void add_exit(std::vector<PartHash> parts, std::uint64_t tenant = 0) {
    ++count_;
    parts.push_back(PartHash{1000 + count_});
    add_exit_of(ContentHash{count_}, std::move(parts), tenant);
  }
  void add_exit_of(ContentHash content, std::vector<PartHash> parts, std::uint64_t tenant = 0) {
    now_ += kPause;
    exits_.add({.start = {++runner_, 0},
                .content = content,
                .tenant = tenant,
                .parts = std::move(parts),
                .at = now_});
  }
  void serve(PartHash part) { exits_.record_served(part, now_); }
  [[nodiscard]] std::vector<PartHash> guilty() const {
    std::vector<PartHash> parts;
    for (const PoisonPart& part : exits_.find_poison_parts(now_)) parts.push_back(part.part);
    return parts;
  }

  PromptPartExits exits_{
      [this](const RunnerStart& start, TimePoint /*at*/) { return start.runner == refuted_; }};
  TimePoint now_ = kStart;
  std::uint64_t count_ = 0;
  std::uint64_t runner_ = 0;
  std::uint64_t refuted_ = 0;
};

using Parts = std::vector<PartHash>;

TEST_F(PromptPartExitsTest, ThreeExitsOfDifferentRequestsAreEnough) {
  add_exit({kFirst, kGuilty});
  add_exit({kFirst, kGuilty});
  EXPECT_TRUE(guilty().empty());
  add_exit({kFirst, kGuilty});
  EXPECT_EQ(guilty(), Parts{kGuilty});
}

TEST_F(PromptPartExitsTest, AServedPartIsNotGuilty) {
  add_exit({kGuilty, kCompanion});
  add_exit({kGuilty, kCompanion});
  serve(kCompanion);
  add_exit({kGuilty, kCompanion});
  EXPECT_EQ(guilty(), Parts{kGuilty});
}

TEST_F(PromptPartExitsTest, ExitsLongAfterAnAnswerCount) {
  add_exit({kGuilty});
  serve(kGuilty);
  now_ += PromptPartExits::kServedValidity;
  for (int i = 0; i < 3; ++i) add_exit({kGuilty});
  EXPECT_EQ(guilty(), Parts{kGuilty});
}

// Guards against the shared first part being blamed for the exits of two guilty ones.
TEST_F(PromptPartExitsTest, TwoGuiltyPartsAreFoundBesideTheirFirstPart) {
  for (int i = 0; i < 3; ++i) {
    add_exit({kFirst, kGuilty});
    add_exit({kFirst, kOtherGuilty});
  }
  EXPECT_EQ(guilty(), (Parts{kGuilty, kOtherGuilty}));
}

TEST_F(PromptPartExitsTest, TheFirstPartIsNotBlamedBeforeTwoGuiltyPartsAreTold) {
  for (int i = 0; i < 2; ++i) {
    add_exit({kFirst, kGuilty});
    add_exit({kFirst, kOtherGuilty});
  }
  EXPECT_TRUE(guilty().empty());
}

TEST_F(PromptPartExitsTest, TheFirstPartIsBlamedBeforeManyDifferentOnes) {
  for (std::uint64_t second = 20; second < 23; ++second) add_exit({kGuilty, PartHash{second}});
  EXPECT_EQ(guilty(), Parts{kGuilty});
}

TEST_F(PromptPartExitsTest, ACompanionBeforeTheGuiltyPartIsNotBlamed) {
  for (int i = 0; i < 4; ++i) add_exit({kCompanion, kGuilty});
  EXPECT_EQ(guilty(), Parts{kGuilty});
}

// Guards against a client whose own part is at fault and has the shared parts refused.
TEST_F(PromptPartExitsTest, TheLastPartIsBlamedIfItExplainsAllExits) {
  const PartHash own{77};
  for (std::uint64_t i = 1; i <= 4; ++i) add_exit_of(ContentHash{i}, {kFirst, own});
  EXPECT_EQ(guilty(), Parts{own});
}

TEST_F(PromptPartExitsTest, LastPartsThatExplainSomeExitsDoNotHideThePoisonPart) {
  for (std::uint64_t i = 1; i <= 3; ++i) add_exit_of(ContentHash{i}, {kGuilty, PartHash{77}});
  add_exit({kGuilty});
  const Parts found = guilty();
  EXPECT_NE(std::find(found.begin(), found.end(), kGuilty), found.end());
}

TEST_F(PromptPartExitsTest, CopiesOfOneRequestAreNoEvidenceAgainstItsParts) {
  for (int i = 0; i < 5; ++i) add_exit_of(ContentHash{1}, {kFirst, PartHash{77}});
  EXPECT_TRUE(guilty().empty());
}

TEST_F(PromptPartExitsTest, OneExitOfARunnerCountsOnce) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    exits_.add({.start = {9, 0}, .content = ContentHash{i}, .parts = {kFirst}, .at = now_});
  }
  now_ += PromptPartExits::kSettleTime;
  EXPECT_TRUE(guilty().empty());
}

TEST_F(PromptPartExitsTest, RefutedExitsDoNotCount) {
  refuted_ = 2;
  for (int i = 0; i < 3; ++i) add_exit({kGuilty});
  EXPECT_TRUE(guilty().empty());
}

// Guards against a popular part being blamed when many runners exit at once for another reason.
TEST_F(PromptPartExitsTest, ExitsInOneMomentAreHeldBackUntilAnswersAreKnown) {
  for (std::uint64_t i = 1; i <= 12; ++i) {
    exits_.add({.start = {i, 0}, .content = ContentHash{i}, .parts = {kFirst}, .at = now_});
  }
  EXPECT_TRUE(guilty().empty());
  serve(kFirst);
  now_ += PromptPartExits::kSettleTime;
  EXPECT_TRUE(guilty().empty());
}

TEST_F(PromptPartExitsTest, NamesTheTenantsOfTheExits) {
  add_exit({kGuilty}, 5);
  add_exit({kGuilty}, 5);
  add_exit({kGuilty}, 6);
  ASSERT_EQ(exits_.find_poison_parts(now_).size(), 1U);
  EXPECT_EQ(exits_.find_poison_parts(now_)[0].tenants, (std::unordered_set<std::uint64_t>{5, 6}));
}

TEST_F(PromptPartExitsTest, OldExitsAreForgotten) {
  for (int i = 0; i < 3; ++i) add_exit({kGuilty});
  exits_.expire(now_ + kExitLifetime + kPause);
  EXPECT_TRUE(exits_.empty());
}

// Guards against requests with a guilty part in the middle of a long prompt, which crash runners
// without end.
TEST(PromptPartsTest, AllPartsOfALongPromptAreLookedAt) {
  std::string prompt;
  for (int i = 0; i < 1000; ++i) prompt += std::to_string(i) + ":1,";
  const auto parts = split_prompt_parts(prompt);
  ASSERT_EQ(parts.size(), 1000U);
  EXPECT_EQ(parts[500], "500");
  EXPECT_EQ(parts.back(), "999");
}

/// Returns a prompt whose parts have consecutive hashes, the guilty one in their middle.
Parts long_prompt(std::size_t parts) {
  Parts prompt;
  for (std::size_t part = 0; part < parts; ++part) prompt.push_back(PartHash{10000 + part});
  prompt[parts / 2] = kGuilty;
  return prompt;
}

TEST_F(PromptPartExitsTest, AGuiltyPartInTheMiddleOfALongPromptIsFound) {
  for (const std::size_t parts : {40U, 400U}) {
    const Parts prompt = long_prompt(parts);
    add_exit(prompt);
    for (const PartHash part : prompt) {
      if (part != kGuilty) serve(part);
    }
    add_exit(prompt);
    add_exit(prompt);
    EXPECT_EQ(guilty(), Parts{kGuilty});
    exits_.forget(part_key(kGuilty), now_);
    now_ += 2 * PromptPartExits::kServedValidity;
  }
}

TEST_F(PromptPartExitsTest, PartsOfALongPromptMayBeReportedOneAfterTheOther) {
  for (std::uint64_t request = 1; request <= 3; ++request) {
    now_ += kPause;
    const PartHash own{1000 + request};
    for (const PartHash part : {kFirst, kGuilty, kCompanion}) {
      EXPECT_TRUE(exits_.add({.start = {request, 0},
                              .content = ContentHash{request},
                              .parts = {part, own},
                              .at = now_}));
    }
  }
  serve(kFirst);
  serve(kCompanion);
  EXPECT_EQ(guilty(), Parts{kGuilty});
}

TEST_F(PromptPartExitsTest, RecordedPartsAreBounded) {
  for (int i = 0; i < 200; ++i) add_exit(long_prompt(400));
  EXPECT_LT(exits_.size(), 100U);
  EXPECT_EQ(guilty().size(), 1U);
}

TEST(PromptPartsTest, HashesDependOnTheService) {
  EXPECT_EQ(hash_prompt_parts("a:1,b:2", "chat"), hash_prompt_parts("a:9, b:7", "chat"));
  EXPECT_NE(hash_prompt_parts("a:1,b:2", "chat"), hash_prompt_parts("a:1,b:2", "other"));
}

TEST(PromptPartsTest, TextIsBounded) {
  EXPECT_EQ(prompt_parts_text("aa:1,bb:2"), "aa,bb");
  std::string prompt;
  for (int i = 0; i < 1000; ++i) prompt += std::string(1000, 'x') + ":1,";
  EXPECT_LT(prompt_parts_text(prompt).size(), 300U);
}

}  // namespace
}  // namespace stoathold
