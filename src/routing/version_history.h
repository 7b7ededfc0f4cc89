/// @file
/// The software versions that the directory has listed for each service, and since when.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/software_version.h"

namespace stoathold {

/// A software version of a service's runners as the directory lists it.
struct ListedVersion {
  std::string text;           ///< As in the directory.
  std::uint32_t runners = 0;  ///< Listed now.
  TimePoint listed_until{};   ///< While `runners` is 0: when the last one was unlisted.
};

/// Records which software versions serve. Outputs of two versions of a service cannot be joined, so
/// whoever continues a stream of unknown origin needs to know that only one version can have begun
/// it. Not thread-safe.
class VersionHistory {
 public:
  /// Records that the directory lists one more runner of a version.
  void add_runner(const std::string& service, const std::string& version);
  /// Records that the directory lists one runner less of a version.
  void remove_runner(const std::string& service, const std::string& version, TimePoint now);
  /// Must be called when listings may have been missed: the history begins anew.
  void restart(TimePoint now) { begin_ = now; }
  /// Returns when the history begins; empty before the directory's list is first known.
  [[nodiscard]] std::optional<TimePoint> begin() const { return begin_; }

  /// Returns the version of a service if it is the only one that was listed since a time.
  /// @return nothing if there were several or none, or if the history begins later.
  [[nodiscard]] std::optional<SoftwareVersion> sole_version_since(const std::string& service,
                                                                  TimePoint since) const;
  /// Returns the version of a service if it is the only one in the whole history.
  [[nodiscard]] std::optional<SoftwareVersion> sole_known_version(const std::string& service) const;
  /// Returns the text of a version; empty if it is not known.
  [[nodiscard]] std::string text(SoftwareVersion version) const;
  using Versions = std::map<SoftwareVersion, ListedVersion>;
  /// Returns the versions by service, including some that are no longer listed.
  [[nodiscard]] const std::map<std::string, Versions>& all() const { return services_; }
  /// Forgets versions that were unlisted before a time.
  void expire(TimePoint before);

 private:
  std::map<std::string, Versions> services_;
  std::optional<TimePoint> begin_;
};

}  // namespace stoathold
