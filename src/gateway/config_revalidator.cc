// Implementation of config_revalidator.h.

#include "gateway/config_revalidator.h"

#include <utility>

namespace gullward {
namespace {

// Whether the topic holds nothing beyond a position, which an answer to a read from
// there shows by its end.
bool EndsAt(uint64_t position, const StoreAnswer& answer) {
  if (!answer.ok()) return false;
  absl::StatusOr<platform::KeyedTail> tail = platform::DecodeKeyedTail(answer.body);
  return tail.ok() && tail->records.empty() && tail->end == position;
}

}  // namespace

ConfigRevalidator::ConfigRevalidator(EventLoop* event_loop, SocketAddress store,
                                     StoreRecovery* store_recovery, std::string config_topic,
                                     Duration key_trust, uint64_t seed, Hooks prover_hooks)
    : loop(event_loop),
      client(event_loop, std::move(store), &store_recovery->returns()),
      recovery(store_recovery),
      topic(std::move(config_topic)),
      schedule(key_trust, seed),
      hooks(std::move(prover_hooks)) {}

void ConfigRevalidator::Tick(Time proved_at, Time now) {
  std::optional<uint64_t> position = this->hooks.position();
  if (!position) return;
  const StoreEpoch& epoch = this->recovery->returns().epoch();
  bool proves_nothing_yet = epoch.is_known() && !epoch.IsSettledFor(now);
  bool is_due = !proves_nothing_yet && this->schedule.IsDue(proved_at, now);
  bool is_wanted_now = this->is_requested && !this->schedule.is_pending();
  if (is_due || is_wanted_now) this->Revalidate(*position, now);
}

void ConfigRevalidator::Revalidate(uint64_t position, Time now) {
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

void ConfigRevalidator::RecordLatency(Duration took) {
  bool slow = took > kSlowAnswer;
  if (slow == this->store_is_slow) return;
  this->store_is_slow = slow;
  this->hooks.speed_changed(slow, took);
}

void ConfigRevalidator::OnAnswer(const StoreAnswer& answer, uint64_t position,
                                 std::optional<uint64_t> epoch, Time sent) {
  if (!answer.ok() && answer.status != platform::kRecordsGone) {
    this->recovery->RetryLater([this] { this->schedule.NoteRetry(); });
    return;
  }
  this->recovery->OnCallSucceeded();
  this->RecordLatency(Now() - sent);
  if (answer.epoch != epoch) {
    // The place belongs to another epoch; the follower reads anew.
    this->schedule.NoteRetry();
    return;
  }
  if (!EndsAt(position, answer)) {
    this->schedule.NoteBehind(Now());
    this->loop->RunAfter(TopicFollower::kMaxUpdateDelay, [this, position] {
      if (this->hooks.position() == position) this->hooks.behind();
    });
    return;
  }
  this->schedule.NoteValidated();
  if (!this->hooks.validated(sent)) this->schedule.NoteBehind(Now());
}

}  // namespace gullward
