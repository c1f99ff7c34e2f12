// Starts programs with their output in a file, for tests and for the soak.

#ifndef GULLWARD_TESTING_SPAWN_H_
#define GULLWARD_TESTING_SPAWN_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace gullward {

// Starts the program at `path` and returns its process id.  Its standard output and standard
// error are appended to the file `output`.  If the program cannot be started, a failed CHECK
// ends the calling process.
pid_t SpawnProgram(const std::string& path, const std::vector<std::string>& arguments,
                   const std::string& output);

// The text of a file, or "" if the file cannot be read.
std::string ReadWholeFile(const std::string& path);

}  // namespace gullward

#endif  // GULLWARD_TESTING_SPAWN_H_
