#include "jobs/job_records.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

#include "base/ids.h"
#include "core/codec.h"

namespace stoathold {
namespace {

constexpr std::array<std::string_view, 4> kKindPrefixes{"s.", "e.", "f.", "p."};
constexpr std::string_view kResultSection = "/r/";
constexpr std::string_view kProgressSection = "/p/";
constexpr std::string_view kManifestSection = "/t/";
/// Separates a writer's name from the number of parts, and that from the number of the retry.
constexpr char kPartsSeparator = '~';
/// Upper bound of the parts of a text. A malformed key must not stand for more.
constexpr std::uint32_t kMaxTextParts = 100'000;
constexpr std::array<std::string_view, 3> kDataTopics{"job-results", "job-progress", "job-bodies"};
constexpr std::uint64_t kSlotSeed = 0x736c6f74;
/// Prefix of the keys of texts. Sorts before all other keys, which begin with a hexadecimal digit.
constexpr char kTextKeyPrefix = '!';
/// First eight bytes of a listing, which distinguish it from an inline result: that begins with the
/// length of its job key.
constexpr std::uint64_t kListingMagic = 0x676e697473696c21;

/// Stored format of progress with an origin. Nodes of an older version, which would continue the
/// text at any runner, skip it.
struct ProgressWithOrigin : ItemProgress {
  ProgressWithOrigin() = default;
  explicit ProgressWithOrigin(const ItemProgress& progress) : ItemProgress(progress) {}

  template <typename Archive>
  void serialize(Archive& archive) {
    ItemProgress::serialize(archive);
    if (!origin) origin.emplace();
    archive(*origin);
  }
};

/// Stored format of a submission with `split_results` set; the flag is encoded only in this format.
struct SplitResultsSubmission : JobSubmission {
  template <typename Archive>
  void serialize(Archive& archive) {
    JobSubmission::serialize(archive);
    archive(split_results);
  }
};

/// Stored format of a submission without `data_topics` and `request_writer`.
struct SharedTopicsSubmission : JobSubmission {
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, host, path, route, tenant, submitted_ms, items);
  }
};

/// Formats a number with a fixed width, so that keys sort by number.
std::string zero_padded(std::uint32_t number) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%06u", number);
  return text.data();
}

/// The writer's name at the end of the key of a listing, a manifest or a text.
struct WriterName {
  std::string_view of_text;      ///< Without the number of the retry.
  std::uint32_t part_count = 0;  ///< 0: the text is one record.
};

WriterName parse_writer(std::string_view key) {
  WriterName name;
  name.of_text = key.substr(key.rfind('/') + 1);
  const std::size_t parts = name.of_text.find(kPartsSeparator);
  if (parts == std::string_view::npos) return name;
  const std::size_t retry = name.of_text.find(kPartsSeparator, parts + 1);
  name.of_text = name.of_text.substr(0, retry);
  const std::string_view count = name.of_text.substr(parts + 1);
  std::from_chars(count.data(), count.data() + count.size(), name.part_count);
  if (name.part_count > kMaxTextParts) name.part_count = 0;
  return name;
}

/// Returns the key range of one section of a job's records. Sections end with '/', and '0' is the
/// character after it.
KeyRange section_key_range(const JobKey& key, std::string_view part) {
  KeyRange range;
  range.after = key + std::string(part);
  range.through = range.after;
  range.through.back() = '0';
  return range;
}

}  // namespace

JobKey make_job_key(std::string_view host, std::string_view id) {
  return to_hex(stable_hash(host)) + "." + std::string(id);
}

std::uint32_t jobs_partition(std::string_view host, std::uint32_t partitions) {
  return static_cast<std::uint32_t>(stable_hash(host) % partitions);
}

PartitionName job_data_partition(JobData data, const JobKey& key, std::uint32_t topics,
                                 std::uint32_t partitions) {
  std::string topic(kDataTopics[static_cast<std::size_t>(data)]);
  const std::uint64_t hash = stable_hash(key);
  if (topics == 0) return {topic, static_cast<std::uint32_t>(hash % partitions)};
  const std::uint64_t place = hash % (std::uint64_t{topics} * partitions);
  topic += "-" + std::to_string(place / partitions);
  return {topic, static_cast<std::uint32_t>(place % partitions)};
}

std::uint32_t job_slot(const JobKey& key, std::uint32_t slots) {
  return static_cast<std::uint32_t>(stable_hash(key, kSlotSeed) % slots);
}

std::uint64_t ItemRequest::memory_bytes() const {
  std::uint64_t bytes = path.size() + body.size();
  for (const auto& header : headers) {
    bytes += sizeof(header) + header.first.size() + header.second.size();
  }
  return bytes;
}

std::uint64_t JobSubmission::tokens() const {
  std::uint64_t sum = 0;
  for (const auto& item : items) sum += item.tokens;
  return sum;
}

std::string jobs_record_key(JobRecordKind kind, const JobKey& key) {
  return std::string(kKindPrefixes[static_cast<std::size_t>(kind)]) + key;
}

std::optional<std::pair<JobRecordKind, JobKey>> parse_jobs_record_key(std::string_view key) {
  for (std::size_t kind = 0; kind < kKindPrefixes.size(); ++kind) {
    if (!key.starts_with(kKindPrefixes[kind])) continue;
    return std::pair{static_cast<JobRecordKind>(kind),
                     JobKey(key.substr(kKindPrefixes[kind].size()))};
  }
  return std::nullopt;
}

std::string result_record_key(const JobKey& key, std::uint32_t item, std::string_view writer) {
  return key + std::string(kResultSection) + zero_padded(item) + "/" + std::string(writer);
}

std::string progress_record_key(const JobKey& key, std::uint32_t item) {
  return key + std::string(kProgressSection) + zero_padded(item);
}

std::string text_record_key(std::string_view listing_key, std::int64_t written_ms) {
  // Fixed width, so that keys sort by time.
  std::array<char, 24> time{};
  std::snprintf(time.data(), time.size(), "%011llx", static_cast<unsigned long long>(written_ms));
  const WriterName writer = parse_writer(listing_key);
  std::string key(1, kTextKeyPrefix);
  key += job_of_record_key(listing_key);
  return key + "/" + time.data() + "/" + std::string(writer.of_text);
}

std::string multipart_writer(std::string_view writer, std::uint32_t part_count) {
  return std::string(writer) + kPartsSeparator + std::to_string(part_count);
}

std::string retried_listing_key(const std::string& listing_key, std::uint32_t attempt) {
  if (attempt == 0) return listing_key;
  return listing_key + kPartsSeparator + std::to_string(attempt);
}

std::uint32_t text_part_count(std::string_view listing_key) {
  return parse_writer(listing_key).part_count;
}

std::string text_part_key(std::string_view text_key, std::uint32_t part) {
  return std::string(text_key) + "/" + zero_padded(part);
}

std::string manifest_key(std::string_view text_key) {
  const JobKey job = job_of_record_key(text_key);
  const std::size_t prefix_size = 1 + job.size() + 1;  // The mark of texts and a slash.
  return job + std::string(kManifestSection) + std::string(text_key.substr(prefix_size));
}

bool is_manifest_key(std::string_view key) {
  return key.substr(std::min(key.find('/'), key.size())).starts_with(kManifestSection);
}

std::vector<std::string> part_keys_of_manifest(std::string_view key) {
  const JobKey job = job_of_record_key(key);
  const std::string_view time_and_writer = key.substr(job.size() + kManifestSection.size());
  const std::string text_key = kTextKeyPrefix + job + "/" + std::string(time_and_writer);
  const std::uint32_t part_count = parse_writer(key).part_count;
  std::vector<std::string> keys;
  for (std::uint32_t part = 0; part < part_count; ++part) {
    keys.push_back(text_part_key(text_key, part));
  }
  return keys;
}

bool is_text_record_key(std::string_view key) {
  return key.starts_with(kTextKeyPrefix);
}

std::vector<KeyedRecord> result_records(const ItemResult& result, std::string_view writer,
                                        std::int64_t now_ms, bool split) {
  std::string key = result_record_key(result.job, result.item, writer);
  if (!split || result.text.size() <= kMaxInlineTextBytes)
    return {{std::move(key), encode(result)}};
  const ResultListing listing{result.item, result.state, result.text.size(), now_ms};
  std::string text_key = text_record_key(key, now_ms);
  return {{std::move(text_key), result.text}, {std::move(key), encode(listing)}};
}

JobKey job_of_record_key(std::string_view key) {
  if (is_text_record_key(key)) key.remove_prefix(1);
  return JobKey(key.substr(0, key.find('/')));
}

std::string request_record_key(const JobKey& key, std::string_view writer, std::uint32_t item,
                               std::uint32_t record) {
  std::string text = key + "/";
  if (!writer.empty()) text += std::string(writer) + "/";
  return text + zero_padded(item) + "/" + zero_padded(record);
}

KeyRange job_key_range(const JobKey& key) {
  return {key + "/", key + "0"};  // '0' is the character after '/'.
}

KeyRange result_key_range(const JobKey& key, std::uint32_t first_item) {
  KeyRange range = section_key_range(key, kResultSection);
  if (first_item > 0) range.after += zero_padded(first_item - 1) + "0";
  return range;
}

KeyRange progress_key_range(const JobKey& key) {
  return section_key_range(key, kProgressSection);
}

std::string encode(const JobSubmission& submission) {
  if (submission.split_results) return encode_value(SplitResultsSubmission{submission});
  return encode_value(submission);
}
std::string encode(const ItemRequest& request) {
  return encode_value(request);
}
std::string encode(const ItemResult& result) {
  return encode_value(result);
}
std::string encode(const ResultListing& listing) {
  return encode_value(std::pair(kListingMagic, listing));
}
std::string encode(const ItemProgress& progress) {
  if (progress.origin) return encode_value(ProgressWithOrigin{progress});
  return encode_value(progress);
}
std::string encode_tokens(std::uint64_t tokens) {
  return encode_value(tokens);
}

bool decode(const std::string& bytes, JobSubmission& submission) {
  if (decode_value(bytes, submission)) return true;
  SplitResultsSubmission split;
  if (decode_value(bytes, split)) {
    submission = std::move(split);
    return true;
  }
  SharedTopicsSubmission shared;
  if (!decode_value(bytes, shared)) return false;
  submission = std::move(shared);
  return true;
}
bool decode(const std::string& bytes, ItemRequest& request) {
  return decode_value(bytes, request);
}
bool decode(const std::string& bytes, ItemResult& result) {
  return decode_value(bytes, result);
}
bool decode(const std::string& bytes, ResultListing& listing) {
  std::pair<std::uint64_t, ResultListing> marked;
  if (!decode_value(bytes, marked) || marked.first != kListingMagic) return false;
  listing = marked.second;
  return true;
}
bool decode(const std::string& bytes, ItemProgress& progress) {
  ProgressWithOrigin with_origin;
  if (decode_value(bytes, with_origin)) {
    progress = std::move(with_origin);
    return true;
  }
  progress.origin.reset();
  return decode_value(bytes, progress);
}
bool decode_tokens(const std::string& bytes, std::uint64_t& tokens) {
  return decode_value(bytes, tokens);
}

}  // namespace stoathold
