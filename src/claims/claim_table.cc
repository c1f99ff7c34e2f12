// See claim_table.h for the rules.

#include "claims/claim_table.h"

namespace gullward {

ClaimTable::ClaimTable(const ClaimTableOptions& table_options) : options(table_options) {}

void ClaimTable::Apply(const ClaimBatch& batch, Time now) {
  this->Expire(now);
  auto [last, added] = this->last_batch.try_emplace(batch.id.writer, batch.id.sequence, now);
  if (!added && batch.id.sequence <= last->second.first) return;
  last->second = {batch.id.sequence, now};
  for (const ClaimRecord& record : batch.records) {
    auto found = this->holders.find(record.key_hash);
    if (record.kind == ClaimKind::kRelease) {
      bool is_holder = found != this->holders.end() && found->second.request == record.request;
      if (is_holder) this->holders.erase(found);
      continue;
    }
    if (found != this->holders.end()) continue;
    this->holders[record.key_hash] = {record.request, now};
    this->order.emplace_back(now, record.key_hash);
  }
}

std::optional<RequestId> ClaimTable::Holder(uint64_t key_hash, Time now) {
  this->Expire(now);
  auto found = this->holders.find(key_hash);
  if (found == this->holders.end()) return std::nullopt;
  return found->second.request;
}

void ClaimTable::Expire(Time now) {
  while (!this->order.empty() && now - this->order.front().first >= this->options.retention) {
    auto [read_at, key_hash] = this->order.front();
    this->order.pop_front();
    auto found = this->holders.find(key_hash);
    // If the key was released and claimed again, a later element of `order` stands for it.
    if (found != this->holders.end() && found->second.read_at == read_at)
      this->holders.erase(found);
  }
  for (auto it = this->last_batch.begin(); it != this->last_batch.end();) {
    bool is_expired = now - it->second.second >= this->options.retention;
    it = is_expired ? this->last_batch.erase(it) : std::next(it);
  }
}

}  // namespace gullward
