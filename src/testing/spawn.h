// Starting a program with its output in a file, for tests and for the soak.

#ifndef GULLWARD_TESTING_SPAWN_H_
#define GULLWARD_TESTING_SPAWN_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace gullward {

// Starts the program at `path`; what it writes to standard output and standard
// error is appended to the file `output`.  Ends the caller if it cannot be started.
pid_t SpawnProgram(const std::string& path, const std::vector<std::string>& arguments,
                   const std::string& output);

// A file's text, or "" where there is none.
std::string ReadWholeFile(const std::string& path);

}  // namespace gullward

#endif  // GULLWARD_TESTING_SPAWN_H_
