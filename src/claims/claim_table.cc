// claim_table.h tells the rules.

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
      bool own = found != this->holders.end() && found->second.request == record.request;
      if (own) this->holders.erase(found);
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
  while (!this->order.empty() && now - this->order.front().first >= this->options.memory) {
    auto [seen, key_hash] = this->order.front();
    this->order.pop_front();
    auto found = this->holders.find(key_hash);
    // A key given back and claimed again has a later place in the order.
    if (found != this->holders.end() && found->second.seen == seen) this->holders.erase(found);
  }
  for (auto it = this->last_batch.begin(); it != this->last_batch.end();) {
    bool old = now - it->second.second >= this->options.memory;
    it = old ? this->last_batch.erase(it) : std::next(it);
  }
}

}  // namespace gullward
