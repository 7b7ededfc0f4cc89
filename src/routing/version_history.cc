#include "routing/version_history.h"

namespace stoathold {

void VersionHistory::add_runner(const std::string& service, const std::string& version) {
  ListedVersion& listed = services_[service][software_version(version)];
  listed.text = version;
  ++listed.runners;
}

void VersionHistory::remove_runner(const std::string& service, const std::string& version,
                                   TimePoint now) {
  ListedVersion& listed = services_[service][software_version(version)];
  if (listed.runners == 0) return;
  --listed.runners;
  listed.listed_until = now;
}

std::optional<SoftwareVersion> VersionHistory::sole_version_since(const std::string& service,
                                                                  TimePoint since) const {
  const auto found = services_.find(service);
  if (!begin_ || *begin_ > since || found == services_.end()) return std::nullopt;
  std::optional<SoftwareVersion> sole;
  for (const auto& [version, listed] : found->second) {
    if (listed.runners == 0 && listed.listed_until < since) continue;
    if (sole) return std::nullopt;
    sole = version;
  }
  return sole;
}

std::optional<SoftwareVersion> VersionHistory::sole_known_version(
    const std::string& service) const {
  return begin_ ? sole_version_since(service, *begin_) : std::nullopt;
}

std::string VersionHistory::text(SoftwareVersion version) const {
  for (const auto& [service, versions] : services_) {
    const auto found = versions.find(version);
    if (found != versions.end()) return found->second.text;
  }
  return {};
}

void VersionHistory::expire(TimePoint before) {
  for (auto& [service, versions] : services_) {
    std::erase_if(versions, [before](const auto& entry) {
      const ListedVersion& listed = entry.second;
      return listed.runners == 0 && listed.listed_until < before;
    });
  }
}

}  // namespace stoathold
