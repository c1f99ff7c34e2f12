// Includes toml++.  All files must include it through this header, so that they compile it
// with the same options: no exceptions, header only.

#ifndef GULLWARD_BASE_TOML_H_
#define GULLWARD_BASE_TOML_H_

#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 1
#include <toml++/toml.h>

#endif  // GULLWARD_BASE_TOML_H_
