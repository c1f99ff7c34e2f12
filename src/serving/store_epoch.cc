// store_epoch.h describes the rules.

#include "serving/store_epoch.h"

namespace gullward {

void StoreEpoch::BeginEpoch(std::optional<uint64_t> new_epoch, Time now) {
  bool may_have_just_begun = new_epoch.has_value() || this->has_answer;
  this->has_answer = true;
  this->epoch = new_epoch;
  this->began_at = now;
  this->settled_at_time = may_have_just_begun ? now + kRewriteTime : Time{};
}

StoreEpoch::AnswerStatus StoreEpoch::OnAnswer(std::optional<uint64_t> answer_epoch, Time sent,
                                              Time now) {
  if (!this->has_answer) {
    this->BeginEpoch(answer_epoch, now);
    return AnswerStatus::kCurrent;
  }
  if (answer_epoch == this->epoch) return AnswerStatus::kCurrent;
  // A higher epoch is newer, whenever its call was sent.  With any other difference the answer is
  // either late or from a store that has restarted its count.
  bool is_higher = answer_epoch && this->epoch && *answer_epoch > *this->epoch;
  if (!is_higher && sent <= this->began_at) return AnswerStatus::kOutdated;
  this->BeginEpoch(answer_epoch, now);
  this->return_count += 1;
  return AnswerStatus::kReturned;
}

void StoreEpoch::MarkSettled(uint64_t settled_epoch, Time now) {
  bool is_current = this->has_answer && this->epoch == settled_epoch;
  if (is_current && this->settled_at_time > now) this->settled_at_time = now;
}

}  // namespace gullward
