// The records that gullward keeps in the platform's log, as value types.
//
// The offset that the log gives a record is its place in the one order that all
// processes agree on, so no record holds a time or an order of its own.  Every
// record names its writer and a number of that writer: an append whose answer
// was lost is settled by reading forward for that pair.

#ifndef GULLWARD_WIRE_LOG_RECORDS_H_
#define GULLWARD_WIRE_LOG_RECORDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/request_id.h"

namespace gullward {

// The schema that this version writes and reads.
inline constexpr uint32_t kLogSchema = 1;

// Names one append: the writing process and its own counter.
struct WriterSequence {
  uint64_t writer = 0;
  uint64_t sequence = 0;

  auto operator<=>(const WriterSequence&) const = default;
};

// One object of a change.  based_on is the version that it replaces: the offset
// of the record that last wrote the object, -1 for an object that is new.
struct ObjectChange {
  std::string kind;
  std::string name;
  int64_t based_on = -1;
  bool deleted = false;
  std::string body;

  bool operator==(const ObjectChange&) const = default;
};

// One published change: all of its objects change, or none.
struct ConfigChange {
  WriterSequence id;
  std::vector<ObjectChange> objects;

  bool operator==(const ConfigChange&) const = default;
};

struct SnapshotObject {
  std::string kind;
  std::string name;
  int64_t version = -1;
  std::string body;

  bool operator==(const SnapshotObject&) const = default;
};

// The whole configuration after the record at `offset`.
struct ConfigSnapshot {
  int64_t offset = -1;
  std::vector<SnapshotObject> objects;

  bool operator==(const ConfigSnapshot&) const = default;
};

enum class ClaimKind : uint8_t { kClaim = 0, kRelease = 1 };

// Claims an idempotency key (by its hash) for a request, or gives it back.
struct ClaimRecord {
  ClaimKind kind = ClaimKind::kClaim;
  uint64_t key_hash = 0;
  RequestId request;

  bool operator==(const ClaimRecord&) const = default;
};

// Claims of one process, written by one append.
struct ClaimBatch {
  WriterSequence id;
  std::vector<ClaimRecord> records;

  bool operator==(const ClaimBatch&) const = default;
};

// A record that this version cannot read.
struct UnknownRecord {
  bool operator==(const UnknownRecord&) const = default;
};

using LogRecord = std::variant<UnknownRecord, ConfigChange, ConfigSnapshot, ClaimBatch>;

}  // namespace gullward

#endif  // GULLWARD_WIRE_LOG_RECORDS_H_
