#include "quarantine/request_content.h"

#include "base/ids.h"

namespace stoathold {

ContentHash content_hash(const RequestContent& content) {
  std::uint64_t hash = stable_hash(content.tenant);
  hash = stable_hash(content.host, hash);
  hash = stable_hash(content.target, hash);
  return ContentHash{stable_hash(content.body, hash)};
}

}  // namespace stoathold
