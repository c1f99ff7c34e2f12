// See config_file.h for the format.

#include "config/config_file.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace gullward {
namespace {

constexpr int64_t kMaxOffset = INT64_MAX;

// Returns an object's keys, without its name, as TOML text.  The order of the keys is fixed, so
// that equal objects have equal bodies.
std::string FormatBody(const toml::table& table) {
  toml::table copy = table;
  copy.erase("name");
  std::ostringstream text;
  // toml++ keeps keys sorted and writes a nested table as a section, such as [labels].
  text << toml::toml_formatter(copy);
  return text.str();
}

void ReadObjects(TomlReader& top, const std::string& kind, const std::string& file,
                 ConfigFile* result, std::vector<ConfigError>* errors) {
  size_t index = 0;
  for (const toml::table* table : top.Tables(kind)) {
    std::string prefix = kind + "[" + std::to_string(index++) + "].";
    TomlReader reader(*table, file, prefix, errors);
    std::string name = reader.String("name", std::nullopt);
    ParseObject(kind, *table, file, prefix, errors);
    bool added = result->written.emplace(ObjectName{kind, name}, FormatBody(*table)).second;
    if (!added) reader.Error("name", "the " + kind + " \"" + name + "\" occurs twice in this file");
  }
}

void ReadDeletions(TomlReader& top, const std::string& file, ConfigFile* result,
                   std::vector<ConfigError>* errors) {
  const std::vector<std::string>& kinds = ObjectKinds();
  size_t index = 0;
  for (const toml::table* table : top.Tables("delete")) {
    std::string prefix = "delete[" + std::to_string(index++) + "].";
    TomlReader reader(*table, file, prefix, errors);
    ObjectName id{reader.String("kind", std::nullopt), reader.String("name", std::nullopt)};
    bool is_known = std::find(kinds.begin(), kinds.end(), id.kind) != kinds.end();
    if (!is_known && !id.kind.empty()) reader.Error("kind", "unknown kind \"" + id.kind + "\"");
    if (result->written.count(id) > 0) reader.Error("name", "is both written and deleted here");
    reader.Finish();
    result->deleted.push_back(id);
  }
}

}  // namespace

std::optional<ConfigFile> ParseConfigFile(const std::string& text, const std::string& file,
                                          std::vector<ConfigError>* errors) {
  size_t errors_before = errors->size();
  std::optional<toml::table> table = ParseToml(text, file, errors);
  if (!table) return std::nullopt;
  ConfigFile result;
  TomlReader top(*table, file, "", errors);
  result.based_on = top.Integer("based_on", -1, -1, kMaxOffset);
  for (const std::string& kind : ObjectKinds()) ReadObjects(top, kind, file, &result, errors);
  ReadDeletions(top, file, &result, errors);
  top.Finish();
  if (errors->size() > errors_before) return std::nullopt;
  return result;
}

ConfigChange MakeChange(const ConfigFile& file, const ConfigState& state, WriterSequence id) {
  ConfigChange change;
  change.id = id;
  auto based_on = [&](const ObjectName& name) -> int64_t {
    const ConfigObject* current = state.Find(name);
    if (current == nullptr) return -1;
    // If the object was written after the file's base, the change must be rejected.  The base is
    // not the object's current version, so naming it causes the rejection.
    if (file.based_on >= 0 && current->version > file.based_on) return file.based_on;
    return current->version;
  };
  for (const auto& [name, body] : file.written) {
    const ConfigObject* current = state.Find(name);
    if (current != nullptr && current->body == body) continue;
    change.objects.push_back({name.kind, name.name, based_on(name), false, body});
  }
  for (const ObjectName& name : file.deleted) {
    if (state.Find(name) == nullptr) continue;
    change.objects.push_back({name.kind, name.name, based_on(name), true, ""});
  }
  return change;
}

std::string WriteConfigFile(const ConfigState& state) {
  std::ostringstream text;
  text << "based_on = " << state.offset() << "\n";
  for (const std::string& kind : ObjectKinds()) {
    for (const ConfigObject* object : state.All(kind)) {
      std::vector<ConfigError> ignored;
      std::optional<toml::table> body = ParseToml(object->body, "", &ignored);
      if (!body) continue;
      body->insert_or_assign("name", object->id.name);
      toml::array array;
      array.push_back(*std::move(body));
      toml::table whole;
      whole.insert_or_assign(kind, std::move(array));
      text << "\n" << toml::toml_formatter(whole) << "\n";
    }
  }
  return text.str();
}

std::string DescribeChange(const ConfigChange& change) {
  std::ostringstream text;
  for (const ObjectChange& object : change.objects) {
    char symbol = object.based_on < 0 ? '+' : '~';
    if (object.deleted) symbol = '-';
    text << symbol << " " << object.kind << " " << object.name << "\n";
  }
  return text.str();
}

}  // namespace gullward
