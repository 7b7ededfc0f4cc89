#include "core/log_records.h"

#include "core/codec.h"

namespace stoathold {

std::string shard_stream_name(ShardId shard) {
  return "jobs-" + std::to_string(value_of(shard));
}

std::string snapshot_stream_name(ShardId shard) {
  return "snapshots-" + std::to_string(value_of(shard));
}

std::string encode(const ConfigurationEntry& entry) {
  return encode_value(entry);
}
std::string encode(const ShardEntry& entry) {
  return encode_value(entry);
}
bool decode(const std::string& bytes, ConfigurationEntry& entry) {
  return decode_value(bytes, entry);
}
bool decode(const std::string& bytes, ShardEntry& entry) {
  return decode_value(bytes, entry);
}

}  // namespace stoathold
