#include "routing/peer_loads.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "routing/member_name.h"

namespace stoathold {
namespace {

TEST(LoadDigestTest, DamageIsNoticed) {
  const LoadDigest digest{1, 2, {{3, 4, 5, 6}, {7, 8, 9, 10}}};
  const std::string bytes = encode_digest(digest);
  LoadDigest read;
  ASSERT_TRUE(decode_digest(bytes, read));
  EXPECT_EQ(read.uses[1].backlog_tokens, 9U);
  EXPECT_FALSE(decode_digest(bytes.substr(0, bytes.size() - 1), read));
}

TEST(MemberNameTest, NamesAreParsedBack) {
  const MemberName name{"node-1", "zone-1", "10.0.0.1:7000"};
  const auto parsed = parse_member_name(format_member_name(name));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->zone, "zone-1");
  EXPECT_EQ(parsed->peer_address, "10.0.0.1:7000");
  EXPECT_FALSE(parse_member_name("node-1"));
}

/// Two nodes on loopback that know the same runner.
TEST(PeerLoadsTest, UseIsToldAndLearnedBack) {
  boost::asio::io_context loop;
  RunnerRegistry first_registry;
  RunnerRegistry second_registry;
  const RunnerRecord record{"r1", "chat", "10.0.0.1:80", "zone", 10, false};
  first_registry.upsert(record);
  second_registry.upsert(record);
  PeerLoads first(loop.get_executor(), first_registry, "127.0.0.1:0", 1);
  PeerLoads second(loop.get_executor(), second_registry, "127.0.0.1:0", 2);
  first.start();
  second.start();
  first.set_peers({second.address()});
  const auto seen_by_second = [&] { return second_registry.all().at("r1")->total_backlog(); };
  first_registry.all().at("r1")->begin_attempt(700);
  first.use_changed();
  for (int step = 0; step < 1000 && seen_by_second() != 700; ++step) loop.run_one();
  EXPECT_EQ(seen_by_second(), 700U);
  // The second has not been told of the first, but has heard it.
  EXPECT_EQ(second.peer_count(), 1U);
  first_registry.all().at("r1")->prompt_read(700);
  first_registry.all().at("r1")->end_attempt(AttemptOutcome::kServed, monotonic_now());
  first.use_changed();
  for (int step = 0; step < 1000 && seen_by_second() != 0; ++step) loop.run_one();
  EXPECT_EQ(seen_by_second(), 0U);
}

}  // namespace
}  // namespace stoathold
