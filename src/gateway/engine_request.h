// The text of a request as an engine gets it.
//
// A caller's fields go on unchanged, but for those of the connection and those
// that only we may set; then come ours.

#ifndef GULLWARD_GATEWAY_ENGINE_REQUEST_H_
#define GULLWARD_GATEWAY_ENGINE_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/caller_channel.h"
#include "serving/engine_directory.h"
#include "serving/placement.h"

namespace gullward {

// What a caller's head tells about the request, decoded.
struct RequestFacts {
  std::string attempt_id;
  // For how long the caller waits; nothing if it does not say.
  std::optional<Duration> timeout;
  double prompt_tokens = 0;
  double answer_tokens = 0;
  // Whether all fields could be read.
  bool valid = true;

  bool operator==(const RequestFacts&) const = default;
};

// Reads them; what cannot be read leaves `valid` false.
RequestFacts ReadFacts(const RequestHead& head);

// What we add to a request for one attempt.
struct EngineOrders {
  // Until the answer must be final.
  Duration time_left;
  std::string engine_id;
  // Empty where the route needs no account.
  std::string account;
  // Engines that help to read the prompt, each with its ticket if it holds memory.
  std::vector<std::string> readers;
  // Set where a stream is taken up after this event.
  std::optional<std::string> last_event_id;

  bool operator==(const EngineOrders&) const = default;
};

// Drops from a caller's fields what an engine must not get.
void KeepForwardedHeaders(HttpHeaders* headers);

// Drops from an engine's fields what a caller must not get.
void KeepAnsweredHeaders(HttpHeaders* headers);

// The whole request: first line, fields and body.
std::string EngineRequestText(const CallerRequest& request, const EngineOrders& orders);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ENGINE_REQUEST_H_
