// Messages as one line of text each, for golden session files, logs and dumps.
//
//   Text(Refused{...})  ->  "refused 0000000000000001-7.1 engine=0 no_memory retry=250ms"
//
// Long texts are shown by their length and a hash, so that a line stays a line.

#ifndef GULLWARD_WIRE_TEXT_H_
#define GULLWARD_WIRE_TEXT_H_

#include <string>

#include "wire/log_records.h"
#include "wire/messages.h"

namespace gullward {

// A text itself in quotes, or its length and hash where it is long.
std::string Brief(const std::string& text);

std::string Text(const Message& message);
std::string Text(const ClaimBatch& batch);

}  // namespace gullward

#endif  // GULLWARD_WIRE_TEXT_H_
