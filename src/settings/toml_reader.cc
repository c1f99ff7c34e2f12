// The getters for TOML values; toml_reader.h describes their rules.

#include "settings/toml_reader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace gullward {
namespace {

std::string Range(const std::string& min, const std::string& max) {
  return "from " + min + " to " + max;
}

std::string Format(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

}  // namespace

std::string ToString(const ConfigError& error) {
  std::string text = error.file;
  if (error.line > 0) text += ":" + std::to_string(error.line);
  if (!error.key.empty()) text += ": " + error.key;
  return text + ": " + error.message;
}

bool Matches(const Selector& selector, const Labels& labels) {
  for (const auto& [key, values] : selector) {
    auto found = labels.find(key);
    if (found == labels.end()) return false;
    if (std::find(values.begin(), values.end(), found->second) == values.end()) return false;
  }
  return true;
}

TomlReader::TomlReader(const toml::table& read_table, std::string file_name, std::string key_prefix,
                       std::vector<ConfigError>* error_list)
    : table(read_table),
      file(std::move(file_name)),
      prefix(std::move(key_prefix)),
      errors(error_list) {}

const toml::node* TomlReader::Find(const std::string& key) {
  this->read_keys.insert(key);
  return this->table.get(key);
}

void TomlReader::Error(const std::string& key, const std::string& message) {
  const toml::node* node = this->table.get(key);
  uint32_t line = node != nullptr ? node->source().begin.line : this->table.source().begin.line;
  this->errors->push_back({this->file, line, this->prefix + key, message});
}

std::string TomlReader::String(const std::string& key, const std::optional<std::string>& fallback) {
  const toml::node* node = this->Find(key);
  if (node == nullptr) {
    if (!fallback) this->Error(key, "missing; expected a string");
    return fallback.value_or("");
  }
  const toml::value<std::string>* value = node->as_string();
  if (value == nullptr) {
    this->Error(key, "expected a string");
    return fallback.value_or("");
  }
  if (value->get().empty() && !fallback) this->Error(key, "expected a string that is not empty");
  return value->get();
}

int64_t TomlReader::Integer(const std::string& key, std::optional<int64_t> fallback, int64_t min,
                            int64_t max) {
  std::string expected =
      "expected a whole number " + Range(std::to_string(min), std::to_string(max));
  const toml::node* node = this->Find(key);
  if (node == nullptr) {
    if (!fallback) this->Error(key, "missing; " + expected);
    return fallback.value_or(min);
  }
  const toml::value<int64_t>* value = node->as_integer();
  if (value == nullptr || value->get() < min || value->get() > max) {
    this->Error(key, expected);
    return fallback.value_or(min);
  }
  return value->get();
}

double TomlReader::Number(const std::string& key, std::optional<double> fallback, double min,
                          double max) {
  std::string expected = "expected a number " + Range(Format(min), Format(max));
  const toml::node* node = this->Find(key);
  if (node == nullptr) {
    if (!fallback) this->Error(key, "missing; " + expected);
    return fallback.value_or(min);
  }
  std::optional<double> value = node->value<double>();
  // The comparisons are false for NaN, so NaN is reported as out of range.
  bool is_in_range = node->is_number() && value && *value >= min && *value <= max;
  if (!is_in_range) {
    this->Error(key, expected);
    return fallback.value_or(min);
  }
  return *value;
}

bool TomlReader::Boolean(const std::string& key, bool fallback) {
  const toml::node* node = this->Find(key);
  if (node == nullptr) return fallback;
  const toml::value<bool>* value = node->as_boolean();
  if (value == nullptr) {
    this->Error(key, "expected true or false");
    return fallback;
  }
  return value->get();
}

std::vector<std::string> TomlReader::Strings(const std::string& key) {
  std::vector<std::string> strings;
  const toml::node* node = this->Find(key);
  if (node == nullptr) return strings;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    this->Error(key, "expected an array of strings");
    return strings;
  }
  for (const toml::node& item : *array) {
    const toml::value<std::string>* value = item.as_string();
    if (value == nullptr) {
      this->Error(key, "expected an array of strings");
      return strings;
    }
    strings.push_back(value->get());
  }
  return strings;
}

Labels TomlReader::ReadLabels(const std::string& key) {
  Labels labels;
  const toml::node* node = this->Find(key);
  if (node == nullptr) return labels;
  const toml::table* inner = node->as_table();
  if (inner == nullptr) {
    this->Error(key, "expected a table of strings");
    return labels;
  }
  for (const auto& [name, value] : *inner) {
    if (!value.is_string()) {
      this->Error(key, "label " + std::string(name.str()) + ": expected a string");
      continue;
    }
    labels[std::string(name.str())] = value.as_string()->get();
  }
  return labels;
}

Selector TomlReader::ReadSelector(const std::string& key) {
  Selector selector;
  const toml::node* node = this->Find(key);
  if (node == nullptr) return selector;
  const toml::table* inner = node->as_table();
  if (inner == nullptr) {
    this->Error(key, "expected a table of labels");
    return selector;
  }
  TomlReader reader(*inner, this->file, this->prefix + key + ".", this->errors);
  for (const auto& [name, value] : *inner) {
    std::string label(name.str());
    if (value.is_array()) {
      selector[label] = reader.Strings(label);
    } else {
      selector[label] = {reader.String(label, std::nullopt)};
    }
  }
  return selector;
}

std::vector<const toml::table*> TomlReader::Tables(const std::string& key) {
  std::vector<const toml::table*> tables;
  const toml::node* node = this->Find(key);
  if (node == nullptr) return tables;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    this->Error(key, "expected [[" + key + "]] tables");
    return tables;
  }
  for (const toml::node& item : *array) {
    if (item.is_table()) {
      tables.push_back(item.as_table());
    } else {
      this->Error(key, "expected [[" + key + "]] tables");
    }
  }
  return tables;
}

void TomlReader::Finish() {
  for (const auto& [key, node] : this->table) {
    std::string name(key.str());
    if (this->read_keys.count(name) == 0) this->Error(name, "unknown key");
  }
}

std::optional<toml::table> ParseToml(const std::string& text, const std::string& file,
                                     std::vector<ConfigError>* errors) {
  toml::parse_result result = toml::parse(text, file);
  if (!result) {
    const toml::parse_error& error = result.error();
    errors->push_back({file, error.source().begin.line, "", std::string(error.description())});
    return std::nullopt;
  }
  return std::move(result).table();
}

std::optional<std::string> ReadFile(const std::string& path, std::vector<ConfigError>* errors) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    errors->push_back({path, 0, "", "cannot be read"});
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace gullward
