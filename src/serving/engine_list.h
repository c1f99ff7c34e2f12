// A part of the engines' list as gateways keep it in a topic of their own.
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

// Nothing if the bytes are no such list, or an address in it is none.
std::optional<std::vector<EngineRecord>> DecodeEngineList(std::string_view value);

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_LIST_H_
