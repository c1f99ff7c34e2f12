// Names of requests and of attempts at them.
//
// A request is named by the entry process that admitted it: the incarnation of
// that process (a random number drawn at start) and a counter inside it.  No
// two processes have to agree on anything to give out a name.  One request may
// be tried several times; each try is an attempt, numbered from 1, and every
// message about it carries both, so that a late answer of an earlier attempt
// is known for what it is.

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

// "0123456789abcdef-42", as it stands in X-Request-Id and in the logs.
inline std::string ToString(const RequestId& id) {
  char text[48];
  std::snprintf(text, sizeof(text), "%016llx-%llu", static_cast<unsigned long long>(id.incarnation),
                static_cast<unsigned long long>(id.sequence));
  return text;
}

// "0123456789abcdef-42.1": a request and the number of the attempt.  Engines
// know their allocations by this name.
inline std::string ToString(const AttemptId& id) {
  return ToString(id.request) + "." + std::to_string(id.attempt);
}

}  // namespace gullward

#endif  // GULLWARD_BASE_REQUEST_ID_H_
