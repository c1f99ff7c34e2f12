// store_epoch.h gives the rules.

#include "serving/store_epoch.h"

namespace gullward {

void StoreEpoch::Begin(std::optional<uint64_t> next, Time now) {
  bool may_have_just_begun = next.has_value() || this->heard;
  this->heard = true;
  this->epoch = next;
  this->heard_at = now;
  this->settled_at_time = may_have_just_begun ? now + kRewriteTime : Time{};
}

StoreEpoch::AnswerStatus StoreEpoch::OnAnswer(std::optional<uint64_t> told, Time sent, Time now) {
  if (!this->heard) {
    this->Begin(told, now);
    return AnswerStatus::kCurrent;
  }
  if (told == this->epoch) return AnswerStatus::kCurrent;
  // A higher number is newer whenever its call was sent.  Any other difference is a late
  // answer, or a store that counts anew.
  bool is_higher = told && this->epoch && *told > *this->epoch;
  if (!is_higher && sent <= this->heard_at) return AnswerStatus::kOutdated;
  this->Begin(told, now);
  this->return_count += 1;
  return AnswerStatus::kReturned;
}

void StoreEpoch::MarkSettled(uint64_t settled, Time now) {
  bool is_ours = this->heard && this->epoch == settled;
  if (is_ours && this->settled_at_time > now) this->settled_at_time = now;
}

}  // namespace gullward
