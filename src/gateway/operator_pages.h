// The pages that operators and the balancer read: metrics as text, the process's
// state as JSON, and whether the balancer may send callers here.
//
//   HttpPages pages(&loop, OperatorPages({.metrics = ..., .state = ..., .is_ready = ...}));
//
//   GET /metrics, GET /state, GET /readyz

#ifndef GULLWARD_GATEWAY_OPERATOR_PAGES_H_
#define GULLWARD_GATEWAY_OPERATOR_PAGES_H_

#include <functional>
#include <string>

#include "gateway/http_pages.h"

namespace gullward {

// What the pages show, asked for with each request.
struct OperatorPageHooks {
  std::function<std::string()> metrics;
  std::function<std::string()> state;
  std::function<bool()> is_ready;
};

HttpPages::Handler OperatorPages(OperatorPageHooks hooks);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_OPERATOR_PAGES_H_
