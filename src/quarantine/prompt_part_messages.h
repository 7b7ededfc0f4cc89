/// @file
/// Messages about runner exits and the prompt parts of the requests that were there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace stoathold {

/// Maximum number of parts in one report. The parts of a longer prompt are spread over several
/// reports.
inline constexpr std::size_t kMaxPartsPerReport = 32;

/// Reports that a runner exited while it had a request, before the first event of the response.
struct PromptPartExitReport {
  std::uint64_t runner = 0;    ///< Hash of the id of the runner that exited.
  std::uint32_t restarts = 0;  ///< `RunnerStart::restarts`.
  std::uint64_t content = 0;   ///< Hash of the request's content.
  std::uint64_t tenant = 0;    ///< Hash of the tenant's name.
  std::uint16_t ms_ago = 0;    ///< Age of the exit; saturates.
  /// Hashes of parts of its prompt, in their order; the last one is the last of the prompt.
  std::vector<std::uint64_t> parts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, restarts, content, tenant, ms_ago, parts);
  }
};

/// Reports that a runner delivered events of a request with this prompt part.
struct ServedPartReport {
  std::uint64_t part = 0;    ///< Hash of the part.
  std::uint16_t ms_ago = 0;  ///< Age of the last event; saturates.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(part, ms_ago);
  }
};

/// Reports known to the sender.
struct PromptPartReports {
  std::vector<PromptPartExitReport> exits;
  std::vector<ServedPartReport> served;
  bool forward = false;  ///< The receiver forwards them within its zone.

  [[nodiscard]] bool empty() const { return exits.empty() && served.empty(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(exits, served, forward);
  }
};

}  // namespace stoathold
