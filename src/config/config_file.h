// The file that an operator publishes, turned into a change, and back.
//
//   std::vector<ConfigError> errors;
//   std::optional<ConfigFile> file = ParseConfigFile(text, "fleet.toml", &errors);
//   ConfigChange change = MakeChange(*file, state, writer);
//
// A file holds [[kind]] tables of objects to be written and [[delete]] tables
// of objects to be deleted; objects it does not name stay as they are.  With
// `based_on = OFFSET` at its top (as `gullwardctl get` writes it) the change is
// rejected if any of its objects was written after that offset.

#ifndef GULLWARD_CONFIG_CONFIG_FILE_H_
#define GULLWARD_CONFIG_CONFIG_FILE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/config_state.h"

namespace gullward {

struct ConfigFile {
  // -1 where the file does not say.
  int64_t based_on = -1;
  // Bodies of the objects to be written.
  std::map<ObjectName, std::string> written;
  std::vector<ObjectName> deleted;

  bool operator==(const ConfigFile&) const = default;
};

// Parses a file and checks each object by itself; notes every mistake.  Returns
// nothing where there is any.
std::optional<ConfigFile> ParseConfigFile(const std::string& text, const std::string& file,
                                          std::vector<ConfigError>* errors);

// The change that brings the file's objects about, leaving out those that stand
// so already.
ConfigChange MakeChange(const ConfigFile& file, const ConfigState& state, WriterSequence id);

// The whole configuration as a file, with its based_on.
std::string WriteConfigFile(const ConfigState& state);

// One line for each object that the change writes anew ("+"), changes ("~") or
// deletes ("-").
std::string DescribeChange(const ConfigChange& change);

}  // namespace gullward

#endif  // GULLWARD_CONFIG_CONFIG_FILE_H_
