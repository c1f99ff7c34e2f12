// Converts a caller's request into the request that is sent to an engine.
//
// The caller's header fields are forwarded unchanged, except for fields that apply to one
// connection (hop-by-hop) and fields that only the gateway may set; these are removed.  The
// gateway's own fields follow: the time left, the expected engine, the account, the rank, the
// readers, and the event after which a stream resumes.

#ifndef GULLWARD_GATEWAY_ENGINE_REQUEST_H_
#define GULLWARD_GATEWAY_ENGINE_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/caller_channel.h"
#include "serving/engine_directory.h"
#include "serving/placement.h"
#include "serving/request_content.h"

namespace gullward {

// Facts about a request, decoded from the header fields of the caller.
struct RequestFacts {
  // Empty if the caller sends none.
  std::string attempt_id;
  // For how long the caller waits, at most a day; nullopt if the caller does not say.
  std::optional<Duration> timeout;
  // Lengths in tokens as stated by the caller; 0 if not stated.
  double prompt_tokens = 0;
  double answer_tokens = 0;
  // The parts of the prompt that other requests may share.
  std::vector<PartId> shared_parts;
  // Whether all fields could be decoded.
  bool valid = true;

  bool operator==(const RequestFacts&) const = default;
};

// Decodes the facts.  If a field cannot be decoded, `valid` is false.
RequestFacts ReadFacts(const RequestHead& head);

// The values of the header fields that the gateway adds for one attempt.
struct AttemptHeaders {
  // The time in which the answer must be complete.
  Duration time_left;
  std::string engine_id;
  // Empty if the route needs no account.
  std::string account;
  // Engines that read parts of the prompt (platform::ReaderText), each with its ticket if it
  // holds memory.
  std::vector<std::string> readers;
  // The rank of the request; empty if the engine need not know.
  std::optional<int> rank;
  // If set, the engine is to resume the stream after this event.
  std::optional<std::string> last_event_id;

  bool operator==(const AttemptHeaders&) const = default;
};

// Removes the caller's header fields that an engine must not receive.
void KeepForwardedHeaders(HttpHeaders* headers);

// Removes the engine's header fields that a caller must not receive.
void KeepAnsweredHeaders(HttpHeaders* headers);

// Returns the text of the request before its body: request line and header fields.
std::string EngineRequestHead(const RequestHead& head, size_t body_bytes,
                              const AttemptHeaders& added);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ENGINE_REQUEST_H_
