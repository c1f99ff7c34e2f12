// Remembers request contents for a while, in bounded memory.
//
// Two generations are kept.  A new one begins after kGeneration or when the current one is full;
// the older one is then dropped.  A content that is added now and then is thus remembered all the
// time, and one that is added once for between one and two generations, or for less if there are
// many.
//
//   RecentContents answered;
//   answered.Add(content, now);
//   if (answered.Contains(content)) ...

#ifndef GULLWARD_SERVING_RECENT_CONTENTS_H_
#define GULLWARD_SERVING_RECENT_CONTENTS_H_

#include <cstddef>
#include <unordered_set>
#include <utility>

#include "base/clock.h"
#include "serving/request_content.h"

namespace gullward {

class RecentContents {
 public:
  static constexpr Duration kGeneration = std::chrono::minutes(1);
  // 32 bytes each.
  static constexpr size_t kMaxPerGeneration = 1024;

  void Add(ContentId content, Time now) {
    bool is_over = now - this->began_at >= kGeneration;
    if (is_over || this->current.size() >= kMaxPerGeneration) {
      this->previous = std::exchange(this->current, {});
      this->began_at = now;
    }
    this->current.insert(content);
  }

  bool Contains(ContentId content) const {
    return this->current.count(content) != 0 || this->previous.count(content) != 0;
  }

 private:
  std::unordered_set<ContentId> current;
  std::unordered_set<ContentId> previous;
  Time began_at{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_RECENT_CONTENTS_H_
