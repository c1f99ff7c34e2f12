// One call at a time: a write goes record by record, a read page by page.

#include "gateway/engine_list_copy.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "serving/engine_list.h"

namespace gullward {
namespace {

uint64_t HashOf(const std::string& text) { return XXH64(text.data(), text.size(), 0); }

// The records of a list.  An engine's place does not depend on the others; records of
// an earlier, longer list are emptied.
std::map<std::string, std::string> RecordsOf(const std::vector<EngineRecord>& list,
                                             size_t parts_before, size_t* parts) {
  *parts = 1 + list.size() / EngineListCopy::kEnginesPerPart;
  std::vector<std::vector<EngineRecord>> split(std::max(*parts, parts_before));
  for (const EngineRecord& engine : list) split[HashOf(engine.id) % *parts].push_back(engine);
  std::map<std::string, std::string> records;
  for (size_t i = 0; i < split.size(); ++i) {
    records[absl::StrCat("part-", i)] = EncodeEngineList(split[i]);
  }
  return records;
}

}  // namespace

EngineListCopy::EngineListCopy(EventLoop* event_loop, SocketAddress store,
                               StoreRecovery* store_recovery, EventLog* event_log, uint64_t seed,
                               Hooks copy_hooks)
    : client(event_loop, std::move(store), &store_recovery->returns()),
      recovery(store_recovery),
      log(event_log),
      schedule(seed),
      hooks(std::move(copy_hooks)) {}

void EngineListCopy::SetList(std::vector<EngineRecord> engines, Time now) {
  this->list = std::move(engines);
  this->schedule.NoteList(HashOf(EncodeEngineList(this->list)), now);
}

void EngineListCopy::Tick(Time now) {
  if (this->is_busy || !this->schedule.IsDue(now)) return;
  this->schedule.NoteWritten(now);
  size_t parts = 0;
  this->unwritten = RecordsOf(this->list, this->parts_written, &parts);
  this->parts_written = parts;
  this->log->Write(
      LogLine("engines_copied").Number("listed", static_cast<double>(this->list.size())));
  this->WriteNext();
}

void EngineListCopy::WriteNext() {
  this->is_busy = !this->unwritten.empty();
  if (!this->is_busy) return;
  auto first = this->unwritten.extract(this->unwritten.begin());
  platform::KeyedRecord record{first.key(), first.mapped()};
  this->client.Call(platform::AppendRecordRequest(platform::kEnginesCopyTopic, record),
                    StoreClient::kAnswerTimeout, [this](const StoreAnswer& answer) {
                      if (answer.ok()) return this->WriteNext();
                      // The next change, or the next pause, tries anew.
                      this->unwritten.clear();
                      this->is_busy = false;
                      this->schedule.NoteFailed();
                    });
}

void EngineListCopy::Read() {
  if (this->is_busy || !this->hooks.is_needed()) return;
  this->is_busy = true;
  this->found.clear();
  this->ReadAfter("");
}

void EngineListCopy::ReadAfter(const std::string& key) {
  this->client.Call(platform::NewestRecordsRequest(platform::kEnginesCopyTopic, key),
                    StoreClient::kAnswerTimeout,
                    [this](const StoreAnswer& answer) { this->OnPage(answer); });
}

void EngineListCopy::ReportFirstRead() {
  if (!std::exchange(this->first_read_reported, true)) this->hooks.first_read_done();
}

void EngineListCopy::RetryRead() {
  this->is_busy = false;
  this->ReportFirstRead();
  this->recovery->RetryLater([this] { this->Read(); });
}

void EngineListCopy::OnPage(const StoreAnswer& answer) {
  absl::StatusOr<platform::KeyedPage> page = absl::UnavailableError(answer.reason);
  if (answer.ok()) page = platform::DecodeKeyedPage(answer.body);
  if (!page.ok()) return this->RetryRead();
  this->recovery->OnCallSucceeded();
  for (const platform::KeyedRecord& record : page->records) {
    std::optional<std::vector<EngineRecord>> part = DecodeEngineList(record.value);
    if (part) {
      this->found.insert(this->found.end(), part->begin(), part->end());
    } else {
      this->log->Write(LogLine("engines_copy_unreadable")
                           .Number("bytes", static_cast<double>(record.value.size())));
    }
  }
  if (page->has_more && !page->records.empty()) return this->ReadAfter(page->records.back().key);
  this->is_busy = false;
  // Nothing there: before the first copy there is only the list itself.
  if (!this->found.empty() && this->hooks.is_needed()) {
    this->log->Write(
        LogLine("engines_from_copy").Number("listed", static_cast<double>(this->found.size())));
    this->hooks.use(std::exchange(this->found, {}));
  }
  this->ReportFirstRead();
}

}  // namespace gullward
