#include "ctl/manifest.h"

#include <yaml-cpp/yaml.h>

#include <boost/json.hpp>
#include <charconv>
#include <fstream>

#include "core/resources.h"

namespace stoathold {
namespace {

namespace json = boost::json;

json::value scalar_to_json(const YAML::Node& node) {
  const std::string& text = node.Scalar();
  // yaml-cpp tags quoted scalars with "!"; they stay strings.
  if (node.Tag() == "!") return json::string(text);
  if (text == "true" || text == "false") return text == "true";
  if (text == "null" || text == "~" || text.empty()) return nullptr;
  std::int64_t number = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec == std::errc{} && result.ptr == text.data() + text.size()) return number;
  return json::string(text);
}

json::value to_json(const YAML::Node& node) {
  if (node.IsMap()) {
    json::object object;
    for (const auto& item : node) object[item.first.Scalar()] = to_json(item.second);
    return object;
  }
  if (node.IsSequence()) {
    json::array array;
    for (const auto& item : node) array.push_back(to_json(item));
    return array;
  }
  return node.IsScalar() ? scalar_to_json(node) : json::value(nullptr);
}

int line_of(const YAML::Node& node) {
  return node.Mark().line + 1;
}

/// Returns the line of a field of the specification, or of the specification if the field is
/// absent; 0 if both are.
int line_of_field(const YAML::Node& specification, const std::string& field) {
  if (specification && specification.IsMap()) {
    for (const auto& item : specification) {
      if (item.first.Scalar() == field) return line_of(item.first);
    }
  }
  return specification ? line_of(specification) : 0;
}

/// Parses one YAML document into a `Manifest` and collects its errors.
class DocumentReader {
 public:
  DocumentReader(const std::string& path, const YAML::Node& document,
                 std::vector<ManifestError>& errors)
      : path_(path), document_(document), errors_(errors) {}

  bool read(Manifest& manifest) {
    const std::size_t previous_errors = errors_.size();
    if (!document_.IsMap()) {
      add(line_of(document_), "document", "must be a map with kind, name and spec");
      return false;
    }
    for (const auto& item : document_) {
      const std::string key = item.first.Scalar();
      if (key == "kind" || key == "name" || key == "spec") continue;
      add(line_of(item.first), key, "is not a field of a manifest (kind, name, spec)");
    }
    manifest.line = line_of(document_);
    manifest.kind = text("kind");
    manifest.name = text("name");
    const YAML::Node specification = document_["spec"];
    if (!specification || !specification.IsMap()) {
      add(manifest.line, "spec", "is required and must be a map");
      return false;
    }
    auto value = to_json(specification);
    if (manifest.kind == kBatchJobKind) {
      check_job(specification, value.get_object(), manifest);
    } else {
      check_specification(specification, json::serialize(value), manifest);
    }
    manifest.specification = json::serialize(value);
    return errors_.size() == previous_errors;
  }

 private:
  void add(int line, std::string field, std::string message) {
    errors_.push_back({path_, line, std::move(field), std::move(message)});
  }

  std::string text(const char* field) {
    const YAML::Node node = document_[field];
    if (node && node.IsScalar() && !node.Scalar().empty()) return node.Scalar();
    add(line_of(document_), field, "is required and must be a string");
    return {};
  }

  void check_specification(const YAML::Node& specification, const std::string& body,
                           const Manifest& manifest) {
    for (const auto& fault : check_resource(manifest.kind, manifest.name, body)) {
      add(line_of_field(specification, fault.field), fault.field, fault.message);
    }
  }

  void check_job(const YAML::Node& specification, json::object& value, Manifest& manifest) {
    const auto* service = value.if_contains("service");
    if (service == nullptr || !service->is_string()) {
      add(line_of(specification), "service", "is required and must be a string");
    }
    const YAML::Node items = specification["items"];
    if (!items || !items.IsSequence() || items.size() == 0) {
      add(line_of_field(specification, "items"), "items", "must be a non-empty list");
    } else {
      for (const auto& item : items) {
        const bool has_prompt = item.IsMap() && item["prompt"] && item["prompt"].IsScalar();
        if (!has_prompt) add(line_of(item), "items", "each item needs a prompt");
      }
    }
    if (auto* tenant = value.if_contains("tenant")) {
      if (tenant->is_string()) manifest.tenant = std::string(tenant->get_string());
      value.erase("tenant");
    }
  }

  const std::string& path_;
  const YAML::Node& document_;
  std::vector<ManifestError>& errors_;
};

}  // namespace

std::string to_string(const ManifestError& error) {
  return error.file + ":" + std::to_string(error.line) + ": " + error.field + ": " + error.message;
}

std::vector<ManifestError> read_manifests(const std::string& path,
                                          std::vector<Manifest>& manifests) {
  std::vector<ManifestError> errors;
  std::vector<YAML::Node> documents;
  try {
    documents = YAML::LoadAllFromFile(path);
  } catch (const YAML::Exception& exception) {
    const int line = exception.mark.line < 0 ? 0 : exception.mark.line + 1;
    errors.push_back({path, line, "file", exception.msg});
    return errors;
  }
  for (const auto& document : documents) {
    Manifest manifest;
    if (DocumentReader(path, document, errors).read(manifest)) {
      manifests.push_back(std::move(manifest));
    }
  }
  if (documents.empty()) errors.push_back({path, 1, "file", "holds no document"});
  return errors;
}

}  // namespace stoathold
