// The store record with the latest settled epoch of the store (serving/store_epoch.h).
//
// A gateway that has seen an epoch for long enough writes the record, so that gateways that start
// later need not wait.  The record is in the topic of the gateways' own entries.

#ifndef GULLWARD_SERVING_SETTLED_EPOCH_H_
#define GULLWARD_SERVING_SETTLED_EPOCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/absl_view.h"

namespace gullward {

inline constexpr std::string_view kSettledEpochKey = "epoch/settled";

// The record's value: the epoch as a decimal number.
inline std::string EncodeSettledEpoch(uint64_t epoch) { return absl::StrCat(epoch); }

// Empty if the value is not a number.
inline std::optional<uint64_t> DecodeSettledEpoch(std::string_view value) {
  uint64_t epoch = 0;
  bool is_number = absl::SimpleAtoi(AbslView(value), &epoch);
  return is_number ? std::optional<uint64_t>(epoch) : std::nullopt;
}

}  // namespace gullward

#endif  // GULLWARD_SERVING_SETTLED_EPOCH_H_
