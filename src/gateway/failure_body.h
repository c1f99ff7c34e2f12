// The body of an answer by which the gateway itself says that a request failed.
//
//   FailureBody(ResultCode::kUnknownRoute)
//   // {"code":1017,"name":"...","message":"..."}

#ifndef GULLWARD_GATEWAY_FAILURE_BODY_H_
#define GULLWARD_GATEWAY_FAILURE_BODY_H_

#include <string>

#include "base/result_code.h"

namespace gullward {

// The code's row of the table of result codes, as JSON.
std::string FailureBody(ResultCode code);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_FAILURE_BODY_H_
