// operator_pages.h tells what they are.

#include "gateway/operator_pages.h"

#include <utility>

#include "platform/headers.h"

namespace gullward {

HttpPages::Handler OperatorPages(OperatorPageHooks hooks) {
  return [hooks = std::move(hooks)](const std::string& path) {
    HttpPage page;
    if (path == "/metrics") {
      page.body = hooks.metrics();
    } else if (path == "/state") {
      page.type = "application/json";
      page.body = hooks.state();
    } else if (path == platform::kReadyPath || path == "/readyz") {
      bool ready = hooks.is_ready();
      page.status = ready ? 200 : 503;
      page.reason = ready ? "OK" : "Not Ready";
    } else {
      page = NotFound();
    }
    return page;
  };
}

}  // namespace gullward
