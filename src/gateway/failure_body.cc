// Written without escapes: the table's names and descriptions need none.

#include "gateway/failure_body.h"

#include "absl/strings/str_cat.h"

namespace gullward {

std::string FailureBody(ResultCode code) {
  const ResultCodeInfo& info = Info(code);
  return absl::StrCat("{\"code\":", static_cast<uint32_t>(code), ",\"name\":\"", info.name,
                      "\",\"message\":\"", info.description, "\"}");
}

}  // namespace gullward
