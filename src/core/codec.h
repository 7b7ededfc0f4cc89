/// @file
/// Encoding and decoding of values that cereal can serialise. Malformed input yields an error
/// value, not an exception. Include in implementation files only: cereal's headers slow down
/// compilation.
#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <exception>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>

namespace stoathold {

/// Stream buffer that appends to a string owned by the caller.
class StringStreamBuffer : public std::streambuf {
 public:
  explicit StringStreamBuffer(std::string& target) : target_(target) {}

 protected:
  int_type overflow(int_type character) override {
    if (character != traits_type::eof()) target_.push_back(static_cast<char>(character));
    return character;
  }
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {
    target_.append(bytes, static_cast<std::size_t>(count));
    return count;
  }

 private:
  std::string& target_;
};

/// Reads the output of `cereal::BinaryOutputArchive` (little-endian machines) from untrusted bytes.
/// The size of a container must not exceed the number of remaining bytes, so a corrupt size cannot
/// cause an allocation larger than a small multiple of the message. The caller owns the bytes.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes)
      : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this),
        bytes_(bytes) {}

  void read(void* target, std::size_t size) {
    if (size > bytes_.size()) throw cereal::Exception("truncated");
    std::memcpy(target, bytes_.data(), size);
    bytes_.remove_prefix(size);
  }
  [[nodiscard]] std::size_t remaining() const { return bytes_.size(); }

 private:
  std::string_view bytes_;
};

// cereal finds these functions by argument-dependent lookup and prescribes their names.
template <class Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive& archive, Number& number) {
  archive.read(&number, sizeof(number));
}

inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, bool& flag) {
  std::uint8_t byte = 0;
  archive.read(&byte, sizeof(byte));
  if (byte > 1) throw cereal::Exception("not a flag");
  flag = byte == 1;
}

template <class Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <class Size>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
  if (tag.size > archive.remaining()) throw cereal::Exception("size beyond the message");
}

template <class Data>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::BinaryData<Data>& data) {
  archive.read(data.data, static_cast<std::size_t>(data.size));
}

/// Encodes `value` in cereal's binary format.
template <typename Value>
std::string encode_value(const Value& value) {
  std::string bytes;
  StringStreamBuffer buffer(bytes);
  std::ostream stream(&buffer);
  cereal::BinaryOutputArchive archive(stream);
  archive(value);
  return bytes;
}

/// Decodes the output of `encode_value`.
/// @return false if the bytes are malformed, truncated, or longer than the value.
template <typename Value>
bool decode_value(const std::string& bytes, Value& value) {
  BoundedInputArchive archive(bytes);
  try {
    archive(value);
  } catch (const std::exception&) {
    return false;
  }
  return archive.remaining() == 0;
}

}  // namespace stoathold

CEREAL_REGISTER_ARCHIVE(stoathold::BoundedInputArchive)

namespace cereal::traits::detail {

/// Pairs the input and output archives, so that cereal accepts types with a single `serialize`
/// function.
template <>
struct get_output_from_input<stoathold::BoundedInputArchive> {
  using type = BinaryOutputArchive;
};

}  // namespace cereal::traits::detail
