// The entry by which gateways say, to those that start later, which epoch of the store they
// have seen for long enough (serving/store_epoch.h).
//
// It stands in the topic by which gateways know each other, beside their own entries.

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

inline std::string EncodeSettledEpoch(uint64_t epoch) { return absl::StrCat(epoch); }

// Nothing if the value is no number.
inline std::optional<uint64_t> DecodeSettledEpoch(std::string_view value) {
  uint64_t epoch = 0;
  bool is_number = absl::SimpleAtoi(AbslView(value), &epoch);
  return is_number ? std::optional<uint64_t>(epoch) : std::nullopt;
}

}  // namespace gullward

#endif  // GULLWARD_SERVING_SETTLED_EPOCH_H_
