#include "gateway/prompt_prefix.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

TEST(PromptPrefixTest, TheLastSegmentIsNotShared) {
  const PromptPrefix first = parse_prompt_prefix("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  const PromptPrefix second = parse_prompt_prefix("5c1e07a2:800, 91bd3f06:410, 00000001:9");
  EXPECT_EQ(first.tokens, 1460U);
  EXPECT_EQ(first.shared_prefix_tokens, 1210U);
  EXPECT_EQ(first.shared_key, second.shared_key);
  EXPECT_NE(first.shared_key, parse_prompt_prefix("5c1e07a2:800,e4402b7d:250").shared_key);
}

TEST(PromptPrefixTest, HasNoKeyWithoutSharedSegments) {
  EXPECT_EQ(parse_prompt_prefix("e4402b7d:250").shared_key, 0U);
  EXPECT_EQ(parse_prompt_prefix("").shared_key, 0U);
  EXPECT_EQ(parse_prompt_prefix("nonsense").tokens, 0U);
}

TEST(AnswerTokensTest, ParsesTheSecondNumberIfValid) {
  EXPECT_EQ(parse_response_tokens("1460,80"), TokenCount{80});
  EXPECT_EQ(parse_response_tokens("1460, 80"), TokenCount{80});
  EXPECT_EQ(parse_response_tokens("1460"), TokenCount{0});
  EXPECT_EQ(parse_response_tokens(""), TokenCount{0});
  EXPECT_EQ(parse_response_tokens("1460,many"), TokenCount{0});
}

}  // namespace
}  // namespace stoathold
