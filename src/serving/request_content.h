// Names a request by what it asks for.
//
// Each try of a caller has an id of its own, so nothing in a request tells that it has
// come before.  Its content does: who asks (the client account), for what (method and
// path) and with which body.  Two requests of one content make an engine do the same.
//
//   ContentId content = ContentOf({account, method, target, body});
//   line.Text("content", ContentName(content));

#ifndef GULLWARD_SERVING_REQUEST_CONTENT_H_
#define GULLWARD_SERVING_REQUEST_CONTENT_H_

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"

namespace gullward {

// A hash.  Among a thousand contents that are remembered, one of 41,000 others a second is
// mistaken for one of them once in 14,000 years.
using ContentId = uint64_t;

struct RequestContent {
  // The client account's name; empty where the route asks for none.
  std::string_view account;
  std::string_view method;
  std::string_view target;
  std::string_view body;

  bool operator==(const RequestContent&) const = default;
};

inline ContentId ContentOf(const RequestContent& content) {
  ContentId hash = 0;
  for (std::string_view part : {content.account, content.method, content.target, content.body}) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
  }
  return hash;
}

// As logs and the store's keys write it: 16 digits.
inline std::string ContentName(ContentId content) {
  return absl::StrCat(absl::Hex(content, absl::kZeroPad16));
}

}  // namespace gullward

#endif  // GULLWARD_SERVING_REQUEST_CONTENT_H_
