// A read is written as a path: /topics/NAME?wait_ms=W&epoch=E&from=OFFSET&proof_ms=AGE, where all
// but the first may be missing.

#include "gateway/topic_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace gullward {
namespace {

constexpr std::string_view kPrefix = "/topics/";
// An older proof counts as this old.
constexpr Duration kMaxProofAge = std::chrono::hours(24);

Duration MillisUpTo(uint64_t number, Duration limit) {
  uint64_t limit_ms = static_cast<uint64_t>(ToMillis(limit));
  return milliseconds(static_cast<int64_t>(std::min(number, limit_ms)));
}

HttpPage Refusal(int status, const char* reason) {
  HttpPage page;
  page.status = status;
  page.reason = reason;
  return page;
}

}  // namespace

std::string PathOf(const TopicRead& read) {
  std::string path =
      absl::StrCat(std::string(kPrefix), read.topic, "?wait_ms=", ToMillis(read.wait));
  if (read.epoch) absl::StrAppend(&path, "&epoch=", *read.epoch);
  if (read.from) absl::StrAppend(&path, "&from=", *read.from);
  if (read.proof_age) absl::StrAppend(&path, "&proof_ms=", ToMillis(*read.proof_age));
  return path;
}

std::optional<TopicRead> ReadFromPath(const std::string& path) {
  if (path.compare(0, kPrefix.size(), kPrefix) != 0) return std::nullopt;
  TopicRead read;
  std::pair<std::string, std::string> parts =
      absl::StrSplit(path.substr(kPrefix.size()), absl::MaxSplits('?', 1));
  read.topic = parts.first;
  for (const auto& field : absl::StrSplit(parts.second, '&', absl::SkipEmpty())) {
    std::pair<std::string, std::string> pair = absl::StrSplit(field, absl::MaxSplits('=', 1));
    uint64_t number = 0;
    if (!absl::SimpleAtoi(pair.second, &number)) return std::nullopt;
    if (pair.first == "epoch") read.epoch = number;
    if (pair.first == "from") read.from = number;
    if (pair.first == "wait_ms") read.wait = MillisUpTo(number, TopicRelay::kMaxWait);
    if (pair.first == "proof_ms") read.proof_age = MillisUpTo(number, kMaxProofAge);
  }
  return read;
}

bool TopicRelay::OnRequest(const std::string& path, HttpPages::Answer answer) {
  std::optional<TopicRead> read = ReadFromPath(path);
  if (!read) return false;
  auto found = this->topics.find(read->topic);
  if (found == this->topics.end()) {
    answer(Refusal(404, "Unknown Topic"));
    return true;
  }
  if (this->waiting.size() >= kMaxWaiting) {
    answer(Refusal(503, "Too Many Waiting Reads"));
    return true;
  }
  Time now = Now();
  const TopicState& state = *found->second;
  Waiting entry{*std::move(read), std::move(answer), now, state.proved(), state.has_store()};
  if (this->IsDue(entry, now)) {
    this->Respond(entry, now);
  } else {
    this->waiting.push_back(std::move(entry));
  }
  return true;
}

bool TopicRelay::IsDue(const Waiting& entry, Time now) const {
  if (now >= entry.arrived + entry.read.wait) return true;
  const TopicState& state = *this->topics.at(entry.read.topic);
  if (!state.is_loaded()) return false;
  return state.HasNews(entry.read.epoch, entry.read.from) || this->HasNewerProof(entry) ||
         state.has_store() != entry.had_store;
}

// The peer may have sent its read before the last proof reached it.  A peer that has read further
// has no use for the proof, and would at once ask again.
bool TopicRelay::HasNewerProof(const Waiting& entry) const {
  const TopicState& state = *this->topics.at(entry.read.topic);
  if (state.proved() > entry.proof) return true;
  bool can_use_proof =
      entry.read.proof_age && (!entry.read.from || *entry.read.from <= state.end());
  return can_use_proof && state.proved() > entry.arrived - *entry.read.proof_age + kMinProofGain;
}

void TopicRelay::Respond(const Waiting& entry, Time now) {
  const TopicState& state = *this->topics.at(entry.read.topic);
  if (!state.is_loaded()) {
    entry.answer(Refusal(503, "Topic Not Read Yet"));
    return;
  }
  HttpPage page;
  page.type = "application/octet-stream";
  TopicUpdate update = state.UpdateSince(entry.read.epoch, entry.read.from, now);
  update.held = now - entry.arrived;
  page.body = EncodeTopicUpdate(update);
  this->answered += 1;
  this->answered_bytes += page.body.size();
  entry.answer(page);
}

// An answer may cause the next read, which is added to `waiting`.
template <typename Condition>
void TopicRelay::RespondWhere(Condition condition, Time now) {
  std::vector<Waiting> due;
  auto is_kept = [&](const Waiting& entry) { return !condition(entry); };
  auto first_due = std::stable_partition(this->waiting.begin(), this->waiting.end(), is_kept);
  std::move(first_due, this->waiting.end(), std::back_inserter(due));
  this->waiting.erase(first_due, this->waiting.end());
  for (const Waiting& entry : due) this->Respond(entry, now);
}

void TopicRelay::OnNews(const std::string& topic) {
  Time now = Now();
  this->RespondWhere(
      [&](const Waiting& entry) { return entry.read.topic == topic && this->IsDue(entry, now); },
      now);
}

void TopicRelay::Tick(Time now) {
  this->RespondWhere([&](const Waiting& entry) { return now >= entry.arrived + entry.read.wait; },
                     now);
}

}  // namespace gullward
