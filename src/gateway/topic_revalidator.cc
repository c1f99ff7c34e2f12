// Implementation of topic_revalidator.h.

#include "gateway/topic_revalidator.h"

#include <utility>

namespace gullward {
namespace {

// Whether the answer to a read from `position` shows that the topic ends there.
bool EndsAt(uint64_t position, const StoreAnswer& answer) {
  if (!answer.ok()) return false;
  absl::StatusOr<platform::KeyedTail> tail = platform::DecodeKeyedTail(answer.body);
  return tail.ok() && tail->records.empty() && tail->end == position;
}

}  // namespace

TopicRevalidator::TopicRevalidator(EventLoop* event_loop, SocketAddress store,
                                   StoreRecovery* store_recovery, std::string followed_topic,
                                   RevalidationBounds bounds, uint64_t seed,
                                   Hooks revalidator_hooks)
    : loop(event_loop),
      client(event_loop, std::move(store), &store_recovery->returns()),
      recovery(store_recovery),
      topic(std::move(followed_topic)),
      schedule(bounds, seed),
      hooks(std::move(revalidator_hooks)) {}

void TopicRevalidator::Tick(Time validated_at, Time now) {
  std::optional<uint64_t> position = this->hooks.position();
  if (!position) return;
  const StoreEpoch& epoch = this->recovery->returns().epoch();
  bool is_unsettled = epoch.is_known() && !epoch.IsSettledFor(now);
  bool is_due = !is_unsettled && this->schedule.IsDue(validated_at, now);
  bool is_wanted_now = this->is_requested && !this->schedule.is_pending();
  if (is_due || is_wanted_now) this->Revalidate(*position, now);
}

void TopicRevalidator::Revalidate(uint64_t position, Time now) {
  this->schedule.NoteRequested();
  this->is_requested = false;
  std::optional<uint64_t> epoch = this->recovery->returns().epoch().current();
  this->client.Call(platform::ReadRecordsRequest(this->topic, position, /*wait=*/Duration(0),
                                                 TopicFollower::kProbeKb),
                    StoreClient::kAnswerTimeout,
                    [this, position, epoch, now](const StoreAnswer& answer) {
                      this->OnAnswer(answer, position, epoch, now);
                    });
}

void TopicRevalidator::RecordLatency(Duration latency) {
  bool slow = latency > kSlowAnswer;
  if (slow == this->store_is_slow) return;
  this->store_is_slow = slow;
  if (this->hooks.speed_changed) this->hooks.speed_changed(slow, latency);
}

void TopicRevalidator::OnAnswer(const StoreAnswer& answer, uint64_t position,
                                std::optional<uint64_t> epoch, Time sent) {
  if (!answer.ok() && answer.status != platform::kRecordsGone) {
    this->recovery->RetryLater([this] { this->schedule.NoteRetry(); });
    return;
  }
  this->recovery->OnCallSucceeded();
  this->RecordLatency(Now() - sent);
  if (answer.epoch != epoch) {
    // The offset belongs to another epoch, and the follower reads the pages again.
    this->schedule.NoteRetry();
    return;
  }
  if (!EndsAt(position, answer)) {
    this->schedule.NoteBehind(Now());
    this->ReportBehind(position);
    this->loop->RunAfter(TopicFollower::kMaxLagAtStore,
                         [this, position] { this->ReportBehind(position); });
    return;
  }
  this->schedule.NoteValidated();
  if (!this->hooks.validated(sent)) this->schedule.NoteBehind(Now());
}

void TopicRevalidator::ReportBehind(uint64_t position) {
  if (this->hooks.position() == position) this->hooks.behind();
}

}  // namespace gullward
