// Formats messages as one line of text each, for golden session files, logs and dumps.
//
//   Text(Refused{...})  ->  "refused 0000000000000001-7.1 engine=0 no_memory retry=250ms"
//
// Long texts are replaced by their length and a hash, to keep the lines short.

#ifndef GULLWARD_WIRE_TEXT_H_
#define GULLWARD_WIRE_TEXT_H_

#include <string>

#include "wire/log_records.h"
#include "wire/messages.h"

namespace gullward {

// Returns a text of at most 40 bytes in quotes, with newlines, quotes and backslashes
// escaped, and its length and hash if it is longer: "<7500 bytes 0123456789abcdef>".
std::string Abbreviate(const std::string& text);

std::string Text(const Message& message);
std::string Text(const ClaimBatch& batch);

}  // namespace gullward

#endif  // GULLWARD_WIRE_TEXT_H_
