/// @file
/// Which software began a stream, and the messages by which nodes tell one another.
#pragma once

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "routing/software_version.h"

namespace stoathold {

/// Identifies a stream among the nodes: a hash of the caller's tenant, the host, and the id of the
/// attempt that delivered the stream's first event.
enum class StreamKey : std::uint64_t {};

inline StreamKey stream_key(std::string_view tenant, std::string_view host,
                            std::string_view attempt_id) {
  return StreamKey{stable_hash(attempt_id, stable_hash(host, stable_hash(tenant)))};
}

/// The runners that can continue a stream: those of the service and software version that began it.
struct StreamOrigin {
  std::uint64_t service = 0;  ///< Hash of its name.
  SoftwareVersion version{};

  bool operator==(const StreamOrigin&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, version);
  }
};

/// Origin of one stream.
struct StreamOriginEntry {
  StreamKey stream{};
  StreamOrigin origin;
  /// The sender knows different origins: the attempt id was used more than once.
  bool conflicting = false;
  std::uint32_t remaining_ms = 0;  ///< Time for which the stream may still be resumed.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(stream, origin, conflicting, remaining_ms);
  }
};

/// Origins of streams that began at the sender.
struct StreamOriginReport {
  std::vector<StreamOriginEntry> entries;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(entries);
  }
};

/// Asks for the origin of a stream.
struct StreamOriginQuery {
  std::uint64_t number = 0;  ///< Unique at the sender.
  StreamKey stream{};
  std::uint64_t service = 0;  ///< Hash of the service's name that the stream would continue at.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, stream, service);
  }
};

/// Answers a query.
struct StreamOriginAnswer {
  std::uint64_t number = 0;                ///< Of the query.
  std::vector<StreamOriginEntry> entries;  ///< One if the sender knows the origin, else none.
  /// Whether the sender knows that `sole_version` was the only version of the service for as long
  /// as a stream can live, up to `confirmed_ms` before this message.
  bool has_sole_version = false;
  SoftwareVersion sole_version{};
  std::uint32_t confirmed_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, entries, has_sole_version, sole_version, confirmed_ms);
  }
};

/// A message about origins.
using StreamOriginMessage = std::variant<StreamOriginReport, StreamOriginQuery, StreamOriginAnswer>;

}  // namespace stoathold
