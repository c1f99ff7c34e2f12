// Reads one TOML table into typed values and reports every error in it.
//
// The reader does not stop at the first error, so that a settings or configuration file with
// several errors can be corrected at once.  If a key is missing or its value has the wrong type or
// is out of range, the getter adds a ConfigError with the file, line and key to the list of errors
// and returns the fallback, or the lowest or empty value if there is no fallback.  Finish reports
// the keys that no getter has read.
//
//   TomlReader reader(table, "entry.toml", "", &errors);
//   std::string box = reader.String("box", std::nullopt);
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

// An error in a file.  The line is 0 if it is not known.
struct ConfigError {
  std::string file;
  uint32_t line = 0;
  std::string key;
  std::string message;

  auto operator<=>(const ConfigError&) const = default;
};

// "file:line: key: message".
std::string ToString(const ConfigError& error);

// Labels of an engine, a client account or another object, by name.
using Labels = std::map<std::string, std::string>;

// The accepted values of each label that is compared.
using Selector = std::map<std::string, std::vector<std::string>>;

// Whether each label that the selector names has one of the accepted values.  An empty selector
// matches all labels.
bool Matches(const Selector& selector, const Labels& labels);

class TomlReader {
 public:
  // `prefix` is prepended to the key in each error, for example "account[2].".  The table and the
  // list of errors must outlive the reader.
  TomlReader(const toml::table& table, std::string file, std::string prefix,
             std::vector<ConfigError>* errors);

  // A string.  Without a fallback the key is required and its value must not be empty.
  std::string String(const std::string& key, const std::optional<std::string>& fallback);

  // A whole number from `min` to `max`.  Without a fallback the key is required.
  int64_t Integer(const std::string& key, std::optional<int64_t> fallback, int64_t min,
                  int64_t max);

  // A number from `min` to `max`.  Without a fallback the key is required.
  double Number(const std::string& key, std::optional<double> fallback, double min, double max);

  bool Boolean(const std::string& key, bool fallback);

  // An array of strings; empty if the key is missing.
  std::vector<std::string> Strings(const std::string& key);

  // A table of strings; empty if the key is missing.
  Labels ReadLabels(const std::string& key);

  // A table whose values are strings or arrays of strings; empty if the key is missing.
  Selector ReadSelector(const std::string& key);

  // An array of tables; empty if the key is missing.
  std::vector<const toml::table*> Tables(const std::string& key);

  // Adds an error at the line of the key, or at the line of the table if the key is missing.
  void Error(const std::string& key, const std::string& message);

  // Adds an error for each key that no getter has read.
  void Finish();

 private:
  const toml::node* Find(const std::string& key);

  const toml::table& table;
  std::string file;
  std::string prefix;
  std::vector<ConfigError>* errors;
  // Keys that a getter has read.
  std::set<std::string> read_keys;
};

// Parses the text of a file.  On a syntax error adds the error and returns an empty optional.
std::optional<toml::table> ParseToml(const std::string& text, const std::string& file,
                                     std::vector<ConfigError>* errors);

// Reads a whole file.  If it cannot be read, adds an error and returns an empty optional.
std::optional<std::string> ReadFile(const std::string& path, std::vector<ConfigError>* errors);

}  // namespace gullward

#endif  // GULLWARD_SETTINGS_TOML_READER_H_
