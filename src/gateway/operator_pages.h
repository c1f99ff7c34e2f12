// The pages for operators and the load balancer: metrics as text, the state of the process as
// JSON, and whether the balancer may send callers to this gateway.
//
//   HttpPages pages(&loop, OperatorPages({.metrics = ..., .state = ..., .is_ready = ...}));
//
//   GET /metrics, GET /state, GET /readyz (also platform::kReadyPath)

#ifndef GULLWARD_GATEWAY_OPERATOR_PAGES_H_
#define GULLWARD_GATEWAY_OPERATOR_PAGES_H_

#include <functional>
#include <string>

#include "gateway/http_pages.h"

namespace gullward {

// Provide the content of the pages; called on every request.
struct OperatorPageHooks {
  std::function<std::string()> metrics;
  std::function<std::string()> state;
  std::function<bool()> is_ready;
};

HttpPages::Handler OperatorPages(OperatorPageHooks hooks);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_OPERATOR_PAGES_H_
