// What gullwardctl does, apart from reading its arguments.
//
// Every command returns its exit status: 0 done, 1 failed, 2 wrong arguments or
// a refused file, 3 not known (a change whose fate could not be read back).

#ifndef GULLWARD_CTL_COMMANDS_H_
#define GULLWARD_CTL_COMMANDS_H_

#include <string>

#include "base/clock.h"
#include "transport/socket_address.h"

namespace gullward {

inline constexpr int kExitFailed = 1;
inline constexpr int kExitUnknown = 3;

// Checks a configuration file without asking anybody.
int CheckCommand(const std::string& path);

// Publishes a file through the log and waits until it is known whether the
// change was accepted, at which offset, or lost to a conflicting one.
int PublishCommand(const std::string& path, const std::string& platform, Duration timeout);

// Prints the configuration in force as a file that can be edited and published.
int GetCommand(const std::string& platform, Duration timeout);

// Prints what publishing a file would change.
int DiffCommand(const std::string& path, const std::string& platform, Duration timeout);

// Prints a process's state dump.
int StateCommand(const std::string& admin_address, Duration timeout);

// Asks a process to drain.
int DrainCommand(const std::string& admin_address, Duration timeout);

}  // namespace gullward

#endif  // GULLWARD_CTL_COMMANDS_H_
