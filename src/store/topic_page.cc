#include "store/topic_page.h"

#include "core/codec.h"

namespace stoathold {

template <typename Archive>
void serialize(Archive& archive, StoredRecord& record) {
  archive(record.offset, record.key, record.value);
}

template <typename Archive>
void serialize(Archive& archive, TopicPage& page) {
  archive(page.records, page.end, page.confirmed_ms, page.next, page.deletions_from);
}

std::string encode_page(const TopicPage& page) {
  return encode_value(page);
}

bool decode_page(const std::string& bytes, TopicPage& page) {
  return decode_value(bytes, page);
}

}  // namespace stoathold
