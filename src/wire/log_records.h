// The records that gullward writes to the platform's log, as value types.
//
// The log assigns an offset to each record, which defines the order of records for all
// processes; the records themselves hold neither a time nor a position.  Every change and
// batch holds its writer and the writer's sequence number: if the answer to an append is
// lost, the writer reads the log forward and looks for this pair to find out whether the
// append took effect.

#ifndef GULLWARD_WIRE_LOG_RECORDS_H_
#define GULLWARD_WIRE_LOG_RECORDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/request_id.h"

namespace gullward {

// The schema number that this version writes and reads.
inline constexpr uint32_t kLogSchema = 1;

// Identifies one append: the writing process and its counter of appends.
struct WriterSequence {
  uint64_t writer = 0;
  uint64_t sequence = 0;

  auto operator<=>(const WriterSequence&) const = default;
};

// One object of a change.  based_on is the version that the change replaces: the offset of
// the record that last wrote the object, or -1 for a new object.
struct ObjectChange {
  std::string kind;
  std::string name;
  int64_t based_on = -1;
  bool deleted = false;
  std::string body;

  bool operator==(const ObjectChange&) const = default;
};

// One published change, applied atomically: either all of its objects change or none.
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

// Claims an idempotency key, given by its hash, for a request, or releases the key.
struct ClaimRecord {
  ClaimKind kind = ClaimKind::kClaim;
  uint64_t key_hash = 0;
  RequestId request;

  bool operator==(const ClaimRecord&) const = default;
};

// Claims of one process, written with one append.
struct ClaimBatch {
  WriterSequence id;
  std::vector<ClaimRecord> records;

  bool operator==(const ClaimBatch&) const = default;
};

// A record that this version cannot decode.
struct UnknownRecord {
  bool operator==(const UnknownRecord&) const = default;
};

using LogRecord = std::variant<UnknownRecord, ConfigChange, ConfigSnapshot, ClaimBatch>;

}  // namespace gullward

#endif  // GULLWARD_WIRE_LOG_RECORDS_H_
