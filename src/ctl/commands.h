// The commands of gullwardctl.
//
// Each command returns its exit status: 0 on success, 1 on failure, 2 for invalid arguments or an
// invalid file, 3 if it is not known whether a published change was accepted.

#ifndef GULLWARD_CTL_COMMANDS_H_
#define GULLWARD_CTL_COMMANDS_H_

#include <string>

#include "base/clock.h"
#include "transport/socket_address.h"

namespace gullward {

inline constexpr int kExitFailed = 1;
inline constexpr int kExitUnknown = 3;

// Checks a configuration file offline.
int CheckCommand(const std::string& path);

// Appends the changes of a file to the log and waits until the log shows whether they were accepted
// or rejected, for example because of a conflicting change.  Prints the result with its offset.
int PublishCommand(const std::string& path, const std::string& platform, Duration timeout);

// Prints the configuration in force in the form of a file that can be edited and published.
int GetCommand(const std::string& platform, Duration timeout);

// Prints the changes that publishing a file would make.
int DiffCommand(const std::string& path, const std::string& platform, Duration timeout);

// Prints the state of a process as JSON.
int StateCommand(const std::string& admin_address, Duration timeout);

// Makes a process drain: it refuses new requests and completes the ones under way.
int DrainCommand(const std::string& admin_address, Duration timeout);

}  // namespace gullward

#endif  // GULLWARD_CTL_COMMANDS_H_
