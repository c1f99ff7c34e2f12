// The store record of the crashes that one gateway knows.  Gateways of a very small fleet keep it
// so that a content's crashes are counted across their restarts.
//
//   std::string key = CrashesKey("box-1");                     // "crashes/box-1"
//   std::string value = EncodeCrashes(history, now, unix_ms);
//   std::optional<CrashHistory> read = DecodeCrashes(value, now, unix_ms);
//
// The record states the time of day of each crash, since other clocks do not survive a restart of
// the box.  `unix_ms` is the time of day at `now`, in Unix milliseconds.

#ifndef GULLWARD_SERVING_CRASH_RECORDS_H_
#define GULLWARD_SERVING_CRASH_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "serving/quarantine.h"

namespace gullward {

// The crashes in one record, the contents of each, and the answered contents; a record takes 25 KB
// at most.
inline constexpr size_t kMaxStoredCrashes = 64;
inline constexpr size_t kMaxContentsPerCrash = 32;
inline constexpr size_t kMaxStoredAnswered = 1024;

// The store key of a gateway's record.
std::string CrashesKey(std::string_view box);

// The box of a store key; empty if the key is not the key of such a record.
std::optional<std::string> BoxOfCrashesKey(std::string_view key);

std::string EncodeCrashes(const CrashHistory& history, Time now, int64_t unix_ms);

// Empty if `value` is not a valid record or exceeds the bounds.  A crash whose time of day is still
// to come, because clocks differ, counts as just known.
std::optional<CrashHistory> DecodeCrashes(std::string_view value, Time now, int64_t unix_ms);

}  // namespace gullward

#endif  // GULLWARD_SERVING_CRASH_RECORDS_H_
