// What the crash of an engine may be attributed to: the content of a request that the engine was
// running, or a part of its prompt.
//
// Requests that crash engines may all have one content, or differ in content and share a part.
// Every request therefore has several suspects: its content, and each part that other requests may
// share.
//
//   std::vector<Suspect> suspects = SuspectsOf(content, shared_parts);
//   line.Text("suspect", SuspectName(suspects.front()));

#ifndef GULLWARD_SERVING_SUSPECT_H_
#define GULLWARD_SERVING_SUSPECT_H_

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "serving/request_content.h"

namespace gullward {

enum class SuspectKind : uint8_t { kContent, kPart };

struct Suspect {
  constexpr Suspect() = default;
  // Implicit, so that a content can be passed where a suspect is expected.
  constexpr Suspect(ContentId content) : hash(content) {}

  static constexpr Suspect OfPart(PartId part) {
    Suspect suspect(part);
    suspect.kind = SuspectKind::kPart;
    return suspect;
  }

  bool is_part() const { return this->kind == SuspectKind::kPart; }

  auto operator<=>(const Suspect&) const = default;

  SuspectKind kind = SuspectKind::kContent;
  // A ContentId or a PartId.
  uint64_t hash = 0;
};

struct SuspectHash {
  size_t operator()(const Suspect& suspect) const {
    return static_cast<size_t>(suspect.hash) + static_cast<size_t>(suspect.kind);
  }
};

// The content comes first.
inline std::vector<Suspect> SuspectsOf(ContentId content, const std::vector<PartId>& parts) {
  std::vector<Suspect> suspects{content};
  for (PartId part : parts) suspects.push_back(Suspect::OfPart(part));
  return suspects;
}

// The hash as 16 hexadecimal digits, as in log lines and store keys.
inline std::string SuspectName(const Suspect& suspect) { return ContentName(suspect.hash); }

// Names of the kind in log lines: "content" or "part".
inline const char* NameOf(SuspectKind kind) {
  return kind == SuspectKind::kPart ? "part" : "content";
}

inline std::ostream& operator<<(std::ostream& out, const Suspect& suspect) {
  return out << NameOf(suspect.kind) << " " << SuspectName(suspect);
}

}  // namespace gullward

#endif  // GULLWARD_SERVING_SUSPECT_H_
