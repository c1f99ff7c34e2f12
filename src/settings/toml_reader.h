// Reads one TOML table into typed values and collects every mistake in it.
//
// A settings or configuration file with five mistakes should be mended in one
// go, so the reader does not stop at the first: each getter that meets a
// missing key, a wrong type or an impossible value notes a ConfigError with the
// file, line and key and returns the fallback.  Finish notes the keys that no
// getter asked for.
//
//   TomlReader reader(table, "entry.toml", "", &errors);
//   std::string box = reader.String("box", kRequired);
//   int64_t limit = reader.Integer("limit", 16, 1, 4096);
//   reader.Finish();

#ifndef GULLWARD_SETTINGS_TOML_READER_H_
#define GULLWARD_SETTINGS_TOML_READER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/toml.h"

namespace gullward {

// A mistake in a file, with its place.  line 0 means the place is not known.
struct ConfigError {
  std::string file;
  uint32_t line = 0;
  std::string key;
  std::string message;

  auto operator<=>(const ConfigError&) const = default;
};

// "file:line: key: message".
std::string ToString(const ConfigError& error);

// Labels of an engine, an account and so on.
using Labels = std::map<std::string, std::string>;

// For each label that must match, the values that do.
using Selector = std::map<std::string, std::vector<std::string>>;

// Whether every label that the selector names has one of its values.  An empty
// selector matches everything.
bool Matches(const Selector& selector, const Labels& labels);

class TomlReader {
 public:
  // `prefix` stands before each key in the errors, such as "account[2].".
  TomlReader(const toml::table& table, std::string file, std::string prefix,
             std::vector<ConfigError>* errors);

  // A string; without a fallback the key must be there and not be empty.
  std::string String(const std::string& key, const std::optional<std::string>& fallback);

  // A whole number between two bounds, both included.
  int64_t Integer(const std::string& key, std::optional<int64_t> fallback, int64_t least,
                  int64_t most);

  // A number between two bounds, both included.
  double Number(const std::string& key, std::optional<double> fallback, double least, double most);

  bool Boolean(const std::string& key, bool fallback);

  // An array of strings; absent means empty.
  std::vector<std::string> Strings(const std::string& key);

  // A table of strings; absent means empty.
  Labels ReadLabels(const std::string& key);

  // A table whose values are strings or arrays of strings; absent means empty.
  Selector ReadSelector(const std::string& key);

  // An array of tables; absent means empty.
  std::vector<const toml::table*> Tables(const std::string& key);

  // Notes a mistake at a key, or at the table itself where the key is absent.
  void Error(const std::string& key, const std::string& message);

  // Notes every key that no getter asked for.
  void Finish();

 private:
  const toml::node* Find(const std::string& key);

  const toml::table& table;
  std::string file;
  std::string prefix;
  std::vector<ConfigError>* errors;
  std::set<std::string> known;
};

// Parses a file's text.  On a syntax error returns nothing and notes it.
std::optional<toml::table> ParseToml(const std::string& text, const std::string& file,
                                     std::vector<ConfigError>* errors);

// Reads a whole file; nothing and a noted error where it cannot be read.
std::optional<std::string> ReadFile(const std::string& path, std::vector<ConfigError>* errors);

}  // namespace gullward

#endif  // GULLWARD_SETTINGS_TOML_READER_H_
