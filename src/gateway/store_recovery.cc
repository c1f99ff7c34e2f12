// store_recovery.h tells the method.

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
  if (this->pausing || this->waiting.empty()) return;
  this->pausing = true;
  Duration pause = this->next_pause;
  this->next_pause = std::min(2 * pause, kMaxPause);
  this->loop->RunAfter(pause, [this] {
    this->pausing = false;
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
