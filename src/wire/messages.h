// The messages between gullward's processes, as plain value types.
//
// The decision cores use only these types; wire/codec.h encodes a Message as one FlatBuffers
// frame and decodes it.  Messages carry durations in milliseconds, never points in time,
// because the clocks of two boxes are not synchronized.
//
//   Message message = Refused{attempt, 0, ResultCode::kNoMemory, 250};
//   std::string frame = EncodeFrame(message);

#ifndef GULLWARD_WIRE_MESSAGES_H_
#define GULLWARD_WIRE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/request_id.h"
#include "base/result_code.h"

namespace gullward {

// Version of this protocol.  A Hello with another version closes the connection.
inline constexpr uint32_t kProtocolVersion = 1;

// Whether work on a request was started, as far as the sender can tell.
enum class Ran : uint8_t { kNo = 0, kUnknown = 1, kYes = 2 };

// "no", "unknown" or "yes", as sent to callers.
inline const char* ToString(Ran ran) {
  if (ran == Ran::kNo) return "no";
  return ran == Ran::kYes ? "yes" : "unknown";
}

// The first message that each side of a connection sends.
struct Hello {
  std::string box;
  std::string zone;
  uint64_t incarnation = 0;
  uint32_t protocol = kProtocolVersion;

  bool operator==(const Hello&) const = default;
};

// Renews the leases of all requests of one entry at one endpoint process.
struct EntryHeartbeat {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  int64_t config_offset = -1;

  bool operator==(const EntryHeartbeat&) const = default;
};

// The last dispatch of one entry that a load report already includes.  `incarnation` is that
// of the entry; `sequence` is the number of the dispatch (Offer::dispatch).
struct IncludedDispatch {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;

  bool operator==(const IncludedDispatch&) const = default;
};

// A prompt prefix that an engine holds in its cache.
struct CacheHint {
  uint64_t prefix_hash = 0;
  uint64_t tokens = 0;

  bool operator==(const CacheHint&) const = default;
};

// Load of one engine.  Tokens are KV-cache tokens.  backlog_ms holds, for each priority
// (index 0 is the most urgent), the time that the prefill work not yet done takes at the
// speed measured for this engine.
struct EngineLoad {
  uint32_t engine = 0;
  std::string name;
  std::string model;
  bool up = false;
  uint64_t total_tokens = 0;
  uint64_t free_tokens = 0;
  std::vector<double> backlog_ms;
  uint32_t running = 0;
  double seconds_per_token = 0;
  double seconds_per_token_pair = 0;
  uint32_t long_running = 0;
  std::vector<CacheHint> cached;

  bool operator==(const EngineLoad&) const = default;
};

// Heartbeat and load report of an endpoint process.
struct EndpointHeartbeat {
  uint64_t incarnation = 0;
  int64_t config_offset = -1;
  bool leaving = false;
  std::string service;
  std::vector<EngineLoad> engines;
  std::vector<IncludedDispatch> included;

  bool operator==(const EndpointHeartbeat&) const = default;
};

// The KV cache of an earlier piece of the same prompt, held on another engine.
struct KvContext {
  std::string address;
  std::string allocation;
  uint64_t tokens = 0;

  bool operator==(const KvContext&) const = default;
};

// Asks an endpoint process to reserve memory for one piece of a prompt that is larger than
// one engine.
struct Reserve {
  AttemptId id;
  uint32_t engine = 0;
  uint64_t tokens = 0;
  uint32_t value = 0;
  uint64_t age_ms = 0;
  uint64_t deadline_ms = 0;

  bool operator==(const Reserve&) const = default;
};

// The memory that Reserve asked for is held until Cancel or until the lease ends.
struct Reserved {
  AttemptId id;
  uint32_t engine = 0;

  bool operator==(const Reserved&) const = default;
};

// Asks an endpoint process to run a request, or one piece of it.  Any piece but the last is
// only prefilled, and its KV cache is kept.
struct Offer {
  AttemptId id;
  uint64_t dispatch = 0;
  uint32_t engine = 0;
  std::string model;
  std::string prompt;
  uint64_t prompt_tokens = 0;
  std::vector<CacheHint> prefixes;
  uint32_t max_tokens = 0;
  uint32_t priority = 0;
  uint32_t value = 0;
  uint64_t deadline_ms = 0;
  bool repeatable = true;
  uint32_t piece = 0;
  uint32_t pieces = 1;
  std::vector<KvContext> context;
  int64_t config_offset = -1;
  // The next four fields are set only for a call of a plain service; `prompt` is then the
  // body of the call.
  std::string service;
  std::string method;
  std::string path;
  std::string content_type;
  // Sampling parameters for the engine, as a JSON object; empty for none.
  std::string sampling;

  bool operator==(const Offer&) const = default;
};

// The endpoint process has taken over the attempt.  Until it starts the attempt, it may
// still return it with Refused.
struct Accepted {
  AttemptId id;

  bool operator==(const Accepted&) const = default;
};

// The work was not started and will not be.
struct Refused {
  AttemptId id;
  uint32_t engine = 0;
  ResultCode code = ResultCode::kInternal;
  uint64_t retry_after_ms = 0;

  bool operator==(const Refused&) const = default;
};

// A part of the answer.  `index` counts the parts of one attempt from 0.
struct Chunk {
  AttemptId id;
  uint64_t index = 0;
  std::string text;
  uint32_t tokens = 0;

  bool operator==(const Chunk&) const = default;
};

// The last message of a successful attempt.
struct Done {
  AttemptId id;
  // Number of Chunk messages of the attempt.
  uint64_t chunks = 0;
  std::string finish_reason;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t completion_tokens = 0;
  uint32_t piece = 0;
  // Where the KV cache of a piece that was only prefilled is kept.
  KvContext kept;
  // HTTP status and content type of a plain service's answer; status is 0 for others.
  uint32_t status = 0;
  std::string content_type;

  bool operator==(const Done&) const = default;
};

// The attempt failed after it was started or may have been started.
struct Failed {
  AttemptId id;
  ResultCode code = ResultCode::kInternal;
  Ran ran = Ran::kUnknown;

  bool operator==(const Failed&) const = default;
};

// Asks the endpoint process to stop the attempt and release its resources.  Idempotent.
struct Cancel {
  AttemptId id;

  bool operator==(const Cancel&) const = default;
};

// One record of the configuration stream, with the offset that the log assigned to it.
struct OffsetRecord {
  int64_t offset = -1;
  std::string body;

  bool operator==(const OffsetRecord&) const = default;
};

// Asks a peer for configuration newer than an offset.
struct ConfigFetch {
  int64_t after = -1;

  bool operator==(const ConfigFetch&) const = default;
};

// Answer to ConfigFetch: records in the order of their offsets.  The first one may be a
// snapshot.
struct ConfigRecords {
  std::vector<OffsetRecord> records;

  bool operator==(const ConfigRecords&) const = default;
};

using Message =
    std::variant<Hello, EntryHeartbeat, EndpointHeartbeat, Reserve, Reserved, Offer, Accepted,
                 Refused, Chunk, Done, Failed, Cancel, ConfigFetch, ConfigRecords>;

}  // namespace gullward

#endif  // GULLWARD_WIRE_MESSAGES_H_
