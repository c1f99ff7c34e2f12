// The record format of the engine list copy that gateways keep in a topic of their own.  One
// record holds a part of the list.
//
//   std::string value = EncodeEngineList(engines);
//   std::optional<std::vector<EngineRecord>> engines = DecodeEngineList(value);

#ifndef GULLWARD_SERVING_ENGINE_LIST_H_
#define GULLWARD_SERVING_ENGINE_LIST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "serving/engine_directory.h"

namespace gullward {

std::string EncodeEngineList(const std::vector<EngineRecord>& engines);

// Empty if `value` is not a valid list or contains an invalid address.
std::optional<std::vector<EngineRecord>> DecodeEngineList(std::string_view value);

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_LIST_H_
