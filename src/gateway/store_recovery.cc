// Implementation of store_recovery.h.

#include "gateway/store_recovery.h"

#include <algorithm>
#include <utility>

namespace gullward {

void StoreRecovery::RetryLater(std::function<void()> retry) {
  this->waiting.push_back(std::move(retry));
  this->StartPause();
}

void StoreRecovery::OnCallSucceeded() {
  this->next_pause = kFirstPause;
  std::deque<std::function<void()>> all = std::exchange(this->waiting, {});
  for (const std::function<void()>& retry : all) retry();
}

void StoreRecovery::StartPause() {
  if (this->is_pausing || this->waiting.empty()) return;
  this->is_pausing = true;
  Duration pause = this->next_pause;
  this->next_pause = std::min(2 * pause, this->max_pause);
  this->loop->RunAfter(pause, [this] {
    this->is_pausing = false;
    this->TryNext();
  });
}

void StoreRecovery::TryNext() {
  if (this->waiting.empty()) return;
  std::function<void()> retry = std::move(this->waiting.front());
  this->waiting.pop_front();
  retry();
  this->StartPause();
}

}  // namespace gullward
