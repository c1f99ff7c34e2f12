// One call is under way at a time; the next one writes what is to be kept by then.

#include "gateway/crash_store.h"

#include <algorithm>
#include <utility>

namespace gullward {

CrashStore::Content CrashStore::ContentOf(const CrashHistory& history) {
  Content content{{}, history.answered};
  for (const EngineCrash& crash : history.crashes) {
    for (ContentId id : crash.contents) content.reports.insert({id, crash.engine});
  }
  return content;
}

size_t CrashStore::stored_engines() const {
  std::set<EngineKey> engines;
  if (this->stored) {
    for (const CrashReport& report : this->stored->reports) engines.insert(report.engine);
  }
  return engines.size();
}

void CrashStore::OnOwnRecord(const std::optional<CrashHistory>& history) {
  this->had_record = true;
  this->stored = history ? std::optional<Content>(ContentOf(*history)) : std::nullopt;
}

void CrashStore::OnStoreReturn() {
  if (this->had_record) this->stored.reset();
}

// Without crashes the answered contents are of no use.
void CrashStore::Bound(CrashHistory* history, Time now) {
  std::vector<EngineCrash>& crashes = history->crashes;
  std::erase_if(crashes, [now](const EngineCrash& crash) {
    return now - crash.at < kSettleTime || crash.contents.size() > kMaxContentsPerCrash;
  });
  if (crashes.size() > kMaxStoredCrashes) {
    auto surplus = static_cast<ptrdiff_t>(crashes.size() - kMaxStoredCrashes);
    crashes.erase(crashes.begin(), crashes.begin() + surplus);
  }
  bool is_useless = crashes.empty() || history->answered.size() > kMaxStoredAnswered;
  if (is_useless) *history = {};
}

bool CrashStore::AddsCrash(const Content& content) const {
  if (!this->stored) return true;
  const std::set<CrashReport>& known = this->stored->reports;
  return !std::includes(known.begin(), known.end(), content.reports.begin(), content.reports.end());
}

void CrashStore::Keep(CrashHistory history, Time now, int64_t unix_ms) {
  Bound(&history, now);
  Content content = ContentOf(history);
  if (content == this->stored) {
    this->due.reset();
    return;
  }
  if (this->AddsCrash(content)) this->due = now;
  if (!this->due) this->due = now + kChangeDelay;
  if (this->is_busy || *this->due > now) return;
  bool is_empty = history.crashes.empty();
  this->Write(is_empty ? "" : EncodeCrashes(history, now, unix_ms), std::move(content));
}

void CrashStore::Write(std::string value, Content content) {
  this->is_busy = true;
  this->had_record = true;
  platform::KeyedRecord record{CrashesKey(this->box), std::move(value)};
  this->client.Call(platform::AppendRecordRequest(platform::kPeersTopic, record),
                    StoreClient::kAnswerTimeout,
                    [this, content = std::move(content)](const StoreAnswer& answer) {
                      if (!answer.ok()) {
                        // The call may have been executed all the same.
                        this->stored.reset();
                        this->recovery->RetryLater([this] { this->is_busy = false; });
                        return;
                      }
                      this->is_busy = false;
                      this->due.reset();
                      this->stored = content;
                      this->recovery->OnCallSucceeded();
                    });
}

}  // namespace gullward
