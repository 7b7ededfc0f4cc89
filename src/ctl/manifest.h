/// @file
/// Parsing of manifests: YAML files that declare resources and batch jobs.
#pragma once

#include <string>
#include <vector>

namespace stoathold {

/// One declared resource or batch job.
struct Manifest {
  std::string kind;
  std::string name;
  std::string specification;  ///< JSON text.
  std::string tenant;         ///< For a `BatchJob`: the tenant on whose behalf it is submitted.
  int line = 0;
};

/// A validation error in a manifest file, with its location.
struct ManifestError {
  std::string file;
  int line = 0;
  std::string field;
  std::string message;
};

/// Kind of manifests that are submitted as batch jobs rather than stored as resources.
inline constexpr const char* kBatchJobKind = "BatchJob";

/// Formats an error as `file:line: field: message`.
std::string to_string(const ManifestError& error);
/// Parses and validates every document of a file.
/// @return the errors found; `manifests` is complete only if there are none.
std::vector<ManifestError> read_manifests(const std::string& path,
                                          std::vector<Manifest>& manifests);

}  // namespace stoathold
