#include <gtest/gtest.h>

#include "base/random.h"
#include "core/log_records.h"
#include "core/peer_messages.h"

namespace stoathold {
namespace {

constexpr int kRounds = 20'000;

PeerEnvelope sample_envelope() {
  SubmitJobCall call;
  call.job = JobId{3};
  call.specification = {"tenant", "assistant", "drafts", 0};
  call.items = {{"a", "prompt a", 4}, {"b", "prompt b", 5}};
  return {NodeId{1}, ShardCall{9, ShardId{2}, call}};
}

TEST(CodecTest, EnvelopeRoundTrips) {
  PeerEnvelope decoded;
  ASSERT_TRUE(decode(encode(sample_envelope()), decoded));
  const auto& call = std::get<ShardCall>(decoded.message);
  EXPECT_EQ(std::get<SubmitJobCall>(call.request).items[1].prompt, "prompt b");
}

TEST(CodecTest, EveryTruncationIsRejected) {
  const std::string whole = encode(sample_envelope());
  PeerEnvelope decoded;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(decode(whole.substr(0, size), decoded)) << size;
  }
  EXPECT_FALSE(decode(whole + "x", decoded)) << "trailing bytes";
}

TEST(CodecTest, CorruptedBytesNeverCrash) {
  const std::string whole = encode(sample_envelope());
  Random random(42);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes = whole;
    const std::uint64_t changes = 1 + random.below(6);
    for (std::uint64_t i = 0; i < changes; ++i) {
      bytes[random.below(bytes.size())] = static_cast<char>(random.next());
    }
    PeerEnvelope envelope;
    decode(bytes, envelope);
    ShardEntry entry;
    decode(bytes, entry);
    ConfigurationEntry change;
    decode(bytes, change);
  }
}

TEST(CodecTest, RandomBytesNeverCrash) {
  Random random(43);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes(random.below(200), '\0');
    for (auto& byte : bytes) byte = static_cast<char>(random.next());
    PeerEnvelope envelope;
    decode(bytes, envelope);
  }
}

}  // namespace
}  // namespace stoathold
