// The messages between gullward's processes, as plain value types.
//
// The decision cores speak in these types and never see bytes; wire/codec.h
// turns a Message into one FlatBuffers frame and back.  Durations travel in
// milliseconds, never as points in time: two boxes do not share a clock.
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

// Version of this protocol; a Hello with another one closes the connection.
inline constexpr uint32_t kProtocolVersion = 1;

// What is known of whether a request's work was started.
enum class Ran : uint8_t { kNo = 0, kUnknown = 1, kYes = 2 };

// "no", "unknown" or "yes", as callers see it.
inline const char* ToString(Ran ran) {
  if (ran == Ran::kNo) return "no";
  return ran == Ran::kYes ? "yes" : "unknown";
}

// First message of each side of a connection.
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

// The last dispatch of one entry that a load report already counts.
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

// Load of one engine.  backlog_ms is prefill work not yet done, apart for each
// priority (0 is the most urgent), at the speed measured for this engine.
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

// KV cache of an earlier piece of the same prompt, held on another engine.
struct KvContext {
  std::string address;
  std::string allocation;
  uint64_t tokens = 0;

  bool operator==(const KvContext&) const = default;
};

// Asks for memory for one piece of a prompt larger than one engine.
struct Reserve {
  AttemptId id;
  uint32_t engine = 0;
  uint64_t tokens = 0;
  uint32_t value = 0;
  uint64_t age_ms = 0;
  uint64_t deadline_ms = 0;

  bool operator==(const Reserve&) const = default;
};

// The memory asked for by Reserve is held until Cancel or the lease's end.
struct Reserved {
  AttemptId id;
  uint32_t engine = 0;

  bool operator==(const Reserved&) const = default;
};

// Asks an endpoint process to run a request, or one piece of it.  A piece that
// is not the last is only prefilled, and its KV cache kept.
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
  // The rest is for a plain service's call; prompt is then its body.
  std::string service;
  std::string method;
  std::string path;
  std::string content_type;
  // Sampling parameters for the engine, as a JSON object; empty for none.
  std::string sampling;

  bool operator==(const Offer&) const = default;
};

// The endpoint process owns the attempt now; it may still hand it back with
// Refused as long as it has not started it.
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

// A part of the answer; parts count from 0 within one attempt.
struct Chunk {
  AttemptId id;
  uint64_t index = 0;
  std::string text;
  uint32_t tokens = 0;

  bool operator==(const Chunk&) const = default;
};

// The last message of an attempt that went well.
struct Done {
  AttemptId id;
  uint64_t chunks = 0;
  std::string finish_reason;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t completion_tokens = 0;
  uint32_t piece = 0;
  // Where a prefilled piece's KV cache is kept.
  KvContext kept;
  // HTTP status and type of a plain service's answer.
  uint32_t status = 0;
  std::string content_type;

  bool operator==(const Done&) const = default;
};

// The attempt was started, or may have been, and broke.
struct Failed {
  AttemptId id;
  ResultCode code = ResultCode::kInternal;
  Ran ran = Ran::kUnknown;

  bool operator==(const Failed&) const = default;
};

// Stop the attempt and free what it holds.  Safe to repeat.
struct Cancel {
  AttemptId id;

  bool operator==(const Cancel&) const = default;
};

// One record of the configuration stream, with the offset the log gave it.
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

// Answer to ConfigFetch: records in order, the first of which may be a snapshot.
struct ConfigRecords {
  std::vector<OffsetRecord> records;

  bool operator==(const ConfigRecords&) const = default;
};

using Message =
    std::variant<Hello, EntryHeartbeat, EndpointHeartbeat, Reserve, Reserved, Offer, Accepted,
                 Refused, Chunk, Done, Failed, Cancel, ConfigFetch, ConfigRecords>;

}  // namespace gullward

#endif  // GULLWARD_WIRE_MESSAGES_H_
