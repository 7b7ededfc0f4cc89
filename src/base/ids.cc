#include "base/ids.h"

#include <xxhash.h>

#include <array>
#include <charconv>

namespace stoathold {
namespace {

constexpr std::uint64_t kNodeSeed = 0x6e6f6465;
constexpr std::uint64_t kRunnerSeed = 0x72756e72;
constexpr std::uint64_t kJobSeed = 0x6a6f6273;
constexpr std::size_t kHexDigits = 16;

}  // namespace

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::uint64_t mix_hashes(std::uint64_t left, std::uint64_t right) {
  const std::array<std::uint64_t, 2> pair{left, right};
  return XXH64(pair.data(), sizeof(pair), 0);
}

NodeId node_id_from_name(std::string_view name) {
  return NodeId{stable_hash(name, kNodeSeed)};
}

RunnerId runner_id_from_name(std::string_view name) {
  return RunnerId{stable_hash(name, kRunnerSeed)};
}

JobId job_id_from_key(std::string_view tenant, std::string_view key) {
  return JobId{stable_hash(key, stable_hash(tenant, kJobSeed))};
}

std::string to_hex(std::uint64_t value) {
  std::string text(kHexDigits, '0');
  std::array<char, kHexDigits> digits{};
  const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  const auto length = static_cast<std::size_t>(result.ptr - digits.data());
  text.replace(kHexDigits - length, length, digits.data(), length);
  return text;
}

bool parse_hex(std::string_view text, std::uint64_t& value) {
  if (text.empty() || text.size() > kHexDigits) return false;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

}  // namespace stoathold
