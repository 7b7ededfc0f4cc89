#include "routing/runner_identity.h"

#include "base/ids.h"

namespace stoathold {

std::uint64_t RunnerIdentity::hash() const {
  const std::uint64_t id_hash = stable_hash(id);
  return start ? mix_hashes(id_hash, static_cast<std::uint64_t>(*start)) : id_hash;
}

}  // namespace stoathold
