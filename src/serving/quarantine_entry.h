// The store record of a suspect in quarantine.  Gateways keep it in the store so that the
// quarantine survives a restart of all gateways.
//
//   std::string key = QuarantineKey(suspect);            // "quarantine/9c41d07be2a35f68"
//   std::optional<Suspect> suspect = SuspectOfKey(key);
//   std::string value = EncodeQuarantineEntry(entry);

#ifndef GULLWARD_SERVING_QUARANTINE_ENTRY_H_
#define GULLWARD_SERVING_QUARANTINE_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "serving/suspect.h"

namespace gullward {

struct QuarantineEntry {
  // The end of the quarantine, as Unix time in milliseconds.  The clocks of boxes differ by
  // seconds, which is little against the length of a quarantine.
  int64_t until_ms = 0;
  // The box that decided, and how many engines had crashed.  Both are for operators.
  std::string judged_by;
  uint32_t engines = 0;

  bool operator==(const QuarantineEntry&) const = default;
};

// The store key of a suspect's record: "quarantine/HASH" for a content, "quarantine-part/HASH" for
// a part.
std::string QuarantineKey(const Suspect& suspect);

// The suspect of a store key; empty if the key is not the key of a quarantine record.
std::optional<Suspect> SuspectOfKey(std::string_view key);

std::string EncodeQuarantineEntry(const QuarantineEntry& entry);

// Empty if `value` is not a valid record.
std::optional<QuarantineEntry> DecodeQuarantineEntry(std::string_view value);

}  // namespace gullward

#endif  // GULLWARD_SERVING_QUARANTINE_ENTRY_H_
