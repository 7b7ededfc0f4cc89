// Mutation tests of the decoders of untrusted input: for any bytes, a decoder returns, and its
// result satisfies the bounds that the rest of the program relies on. Inputs are examples with
// seeded mutations. CI runs a short test; a long one is
//   STOATHOLD_MUTATIONS=1000000 stoathold_platform_test --gtest_filter='DecoderMutationTest.*'
// with STOATHOLD_MUTATION_SEED for another seed.
#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <limits>

#include "base/random.h"
#include "net/http.h"
#include "platform/json_fields.h"
#include "platform/platform_configuration.h"
#include "platform/record_framing.h"
#include "platform/runner_entry.h"
#include "platform/submission_parser.h"

namespace stoathold::platform {
namespace {

constexpr std::uint64_t kRunsInCi = 20000;
constexpr std::uint64_t kSeed = 20261202;

std::uint64_t uint64_from_environment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Tokens that commonly break decoders of JSON and of framed records.
constexpr std::array<std::string_view, 22> kTokens{"null",    "true",
                                                   "-1",      "0",
                                                   "2.5",     "1e999",
                                                   "-1e308",  "18446744073709551616",
                                                   "[",       "]",
                                                   "{",       "}",
                                                   "\"",      ",",
                                                   ":",       "\\u0000",
                                                   "\\ud8",   "\xff",
                                                   "\xc3",    "[[[[",
                                                   "{\"a\":", "9223372036854775807"};

void mutate_once(std::string& bytes, const std::vector<std::string>& examples, Random& random) {
  const std::size_t at = random.below(bytes.size() + 1);
  const std::size_t rest = bytes.size() - at;
  switch (random.below(6)) {
    case 0:
      if (rest > 0) bytes[at] = static_cast<char>(random.next());
      break;
    case 1:
      bytes.erase(at, random.below(8));
      break;
    case 2:
      bytes.insert(at, kTokens[random.below(kTokens.size())]);
      break;
    case 3:
      bytes.replace(at, std::min<std::size_t>(rest, random.below(12)),
                    kTokens[random.below(kTokens.size())]);
      break;
    case 4: {
      const std::string& other = examples[random.below(examples.size())];
      bytes = bytes.substr(0, at) + other.substr(random.below(other.size() + 1));
      break;
    }
    default:
      bytes.insert(at, bytes.substr(at, random.below(40)));
      break;
  }
}

/// Calls the check with each example and with mutations of the examples.
void run_mutations(const std::vector<std::string>& examples,
                   const std::function<void(const std::string&)>& check) {
  const std::uint64_t runs = uint64_from_environment("STOATHOLD_MUTATIONS", kRunsInCi);
  Random random(uint64_from_environment("STOATHOLD_MUTATION_SEED", kSeed));
  for (const auto& example : examples) check(example);
  for (std::uint64_t run = 0; run < runs; ++run) {
    std::string bytes = examples[random.below(examples.size())];
    for (std::uint64_t i = random.below(4) + 1; i > 0; --i) mutate_once(bytes, examples, random);
    check(bytes);
    if (testing::Test::HasFailure()) {
      ADD_FAILURE() << "run " << run << ", bytes " << testing::PrintToString(bytes);
      return;
    }
  }
}

TEST(DecoderMutationTest, RunnerEntryIsValidOrRejected) {
  const std::vector<std::string> examples{
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"1.2","slots":4,)"
      R"("state":"ready","cold_remaining_ms":0,"sequence":7,"born":1764720000000})",
      R"({"service":"t","address":"10.0.0.2:8080","zone":"y","slots":17,"state":"draining"})"};
  std::uint64_t valid_entries = 0;
  run_mutations(examples, [&](const std::string& bytes) {
    const RunnerEntry entry = parse_runner_entry("r1", bytes);
    ASSERT_EQ(entry.runner.has_value(), entry.fault == RunnerEntryFault::kNone);
    if (!entry.runner) return;
    ++valid_entries;
    const RunnerRecord& runner = *entry.runner;
    std::string host;
    std::uint16_t port = 0;
    ASSERT_EQ(runner.id, "r1");
    ASSERT_FALSE(runner.service.empty() || runner.zone.empty());
    ASSERT_TRUE(split_address(runner.address, host, port) && port > 0);
    ASSERT_TRUE(runner.slots >= 1 && runner.slots <= std::numeric_limits<std::uint16_t>::max());
  });
  // If all mutated entries were rejected, the checks on valid entries would not have run.
  EXPECT_GT(valid_entries, examples.size());
}

TEST(DecoderMutationTest, ConfigurationDurationsAreNotNegative) {
  const std::vector<std::string> examples{
      R"({"version":7,"routes":[{"name":"r1","host":"A.example","path_prefix":"/x/",)"
      R"("kind":"streaming","timeout_ms":5000,"target_latency_ms":200,"priority":1,)"
      R"("traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],)"
      R"("max_attempts":2,"session_affinity":true,"resumable":true,"gap_target_ms":250}],)"
      R"("services":[{"name":"s1","health_path":"/h","max_connections":3,"engine":{"slots":17}}],)"
      R"("tenants":[{"name":"alder","api_keys":["k1"],"rate_per_s":12.5,"burst":20}],)"
      R"("limits":{"max_header_bytes":16384,"header_timeout_ms":3000}})",
      R"({"version":1e18,"routes":[{"kind":"batch","retention_s":60}],"services":[]})"};
  run_mutations(examples, [](const std::string& bytes) {
    const auto configuration = parse_configuration(bytes);
    if (!configuration) return;
    for (const Route& route : configuration->routes) {
      ASSERT_GE(route.timeout.count(), 0);
      ASSERT_GE(route.item_retention.count(), 0);
      ASSERT_GE(route.latency_objective.count(), 0);
      ASSERT_GE(route.max_attempts, 1U);
      ASSERT_FALSE(route.services.empty());
    }
  });
}

TEST(DecoderMutationTest, FramedRecordsHaveConsecutiveOffsets) {
  const std::string head = std::string(7, '\0') + '\4' + std::string(8, '\0');
  const std::vector<std::string> examples{
      head + frame_records({{"r1", "a"}, {"", "b"}, {"r3", ""}}),
      head + frame_records({{std::string(255, 'k'), std::string(300, 'v')}})};
  run_mutations(examples, [](const std::string& bytes) {
    constexpr RecordOffset kFrom = 5;
    ReadResult result;
    if (!parse_records(bytes, kFrom, result)) return;
    for (std::size_t i = 0; i < result.records.size(); ++i) {
      ASSERT_EQ(result.records[i].offset, kFrom + i);
      ASSERT_LE(result.records[i].key.size(), 255U);
    }
  });
}

TEST(DecoderMutationTest, SubmissionIsAcceptedCompletelyOrRejected) {
  const std::vector<std::string> examples{
      R"({"items":[{"id":"i1","path":"/x/3","headers":{"A":"b"},"body":"q83vEg==",)"
      R"("token_count":940},{"id":"i2","path":"/x/4","body":""}]})"};
  run_mutations(examples, [](const std::string& bytes) {
    NewJob job;
    if (!parse_submission(bytes, job)) return;
    ASSERT_FALSE(job.requests.empty());
    ASSERT_EQ(job.requests.size(), job.submission.items.size());
    for (const auto& item : job.submission.items) ASSERT_FALSE(item.id.empty());
    for (const auto& encoded : job.requests) {
      ItemRequest request;
      ASSERT_TRUE(decode(encoded, request));
      ASSERT_TRUE(request.path.starts_with('/'));
    }
  });
}

TEST(DecoderMutationTest, JsonFieldsStayWithinBounds) {
  const std::vector<std::string> examples{R"({"n":7,"m":-1,"t":"x","f":true,"a":[1,2]})",
                                          R"({"n":1e300,"m":2.5,"t":5,"f":0,"a":{}})"};
  run_mutations(examples, [](const std::string& bytes) {
    const auto object = parse_object(bytes);
    if (!object) return;
    for (const char* name : {"n", "m", "t", "f", "a"}) {
      ASSERT_GE(milliseconds_field(*object, name).count(), 0);
      ASSERT_GE(seconds_field(*object, name).count(), 0);
      ASSERT_GE(double_field(*object, name), 0.0);
      ASSERT_LE(uint32_field(*object, name), uint64_field(*object, name));
    }
  });
}

}  // namespace
}  // namespace stoathold::platform
