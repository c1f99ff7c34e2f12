// Converts the file that an operator publishes to a configuration change, and a configuration to a
// file.
//
//   std::vector<ConfigError> errors;
//   std::optional<ConfigFile> file = ParseConfigFile(text, "fleet.toml", &errors);
//   ConfigChange change = MakeChange(*file, state, writer);
//
// A file holds one [[kind]] table for each object to be written and one [[delete]] table for each
// object to be deleted.  Objects that it does not name stay unchanged.  If the file begins with
// `based_on = OFFSET`, as `gullwardctl get` writes it, the change is rejected if any of its objects
// was written after that offset.

#ifndef GULLWARD_CONFIG_CONFIG_FILE_H_
#define GULLWARD_CONFIG_CONFIG_FILE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/config_state.h"

namespace gullward {

// A parsed file.
struct ConfigFile {
  // -1 if the file does not state it.
  int64_t based_on = -1;
  // TOML bodies of the objects to be written.
  std::map<ObjectName, std::string> written;
  std::vector<ObjectName> deleted;

  bool operator==(const ConfigFile&) const = default;
};

// Parses a file and checks each object on its own.  Appends every error to `errors`; returns
// nothing if there is any.
std::optional<ConfigFile> ParseConfigFile(const std::string& text, const std::string& file,
                                          std::vector<ConfigError>* errors);

// Returns the change that writes and deletes the file's objects.  Leaves out objects that already
// have the same body in `state`, and deletions of objects that do not exist.
ConfigChange MakeChange(const ConfigFile& file, const ConfigState& state, WriterSequence id);

// Returns the whole configuration as a file, with its based_on.
std::string WriteConfigFile(const ConfigState& state);

// Returns one line for each object that the change creates ("+"), replaces ("~") or deletes ("-").
std::string DescribeChange(const ConfigChange& change);

}  // namespace gullward

#endif  // GULLWARD_CONFIG_CONFIG_FILE_H_
