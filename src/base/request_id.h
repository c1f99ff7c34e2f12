// Identifiers of requests and of attempts to run them.
//
// The identifier of a request consists of the incarnation of the entry process that
// admitted it (a random number chosen when the process starts) and a counter within this
// incarnation.  Processes can therefore assign identifiers without coordination.  A request
// may be attempted several times.  Attempts are numbered from 1, and every message about an
// attempt carries both identifiers, so that a late answer of an earlier attempt is
// recognized.

#ifndef GULLWARD_BASE_REQUEST_ID_H_
#define GULLWARD_BASE_REQUEST_ID_H_

#include <compare>
#include <cstdint>
#include <cstdio>
#include <string>

namespace gullward {

struct RequestId {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;

  auto operator<=>(const RequestId&) const = default;
};

struct AttemptId {
  RequestId request;
  uint32_t attempt = 0;

  auto operator<=>(const AttemptId&) const = default;
};

// "0123456789abcdef-42", the form used in X-Request-Id and in logs.
inline std::string ToString(const RequestId& id) {
  char text[48];
  std::snprintf(text, sizeof(text), "%016llx-%llu", static_cast<unsigned long long>(id.incarnation),
                static_cast<unsigned long long>(id.sequence));
  return text;
}

// "0123456789abcdef-42.1": the request and the number of the attempt.  Engines use this
// form as the name of an allocation.
inline std::string ToString(const AttemptId& id) {
  return ToString(id.request) + "." + std::to_string(id.attempt);
}

}  // namespace gullward

#endif  // GULLWARD_BASE_REQUEST_ID_H_
