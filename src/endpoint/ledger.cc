// The memory ledger of one engine; ledger.h describes the rules.

#include "endpoint/ledger.h"

#include <algorithm>

namespace gullward {

Ledger::Ledger(uint64_t total, double large_share)
    : total_tokens(total),
      large_tokens(static_cast<uint64_t>(static_cast<double>(total) * large_share)) {}

Ledger::Rank Ledger::RankOf(const MemoryClaim& claim) {
  return {claim.arrival - kAgePerValue * claim.value, claim.id};
}

bool Ledger::Fits(const MemoryClaim& claim) const {
  if (claim.tokens > this->free()) return false;
  return !this->IsLarge(claim) || this->held_by_large + claim.tokens <= this->large_tokens;
}

bool Ledger::MayPass(const MemoryClaim& claim, const MemoryClaim& first) const {
  bool leaves_room = claim.tokens + first.tokens <= this->free() && !this->IsLarge(claim);
  return leaves_room || this->held_by_passed + claim.tokens <= this->SmallShareTokens();
}

bool Ledger::GroupMayWait(const MemoryClaim& claim) const {
  Rank rank = RankOf(claim);
  for (const auto& [id, holding] : this->held) {
    if (holding.claim.group && RankOf(holding.claim) < rank) return false;
  }
  for (const auto& [other_rank, other] : this->waiting) {
    if (other.group && other_rank < rank) return false;
  }
  return true;
}

void Ledger::Hold(const MemoryClaim& claim, bool passed) {
  this->held[claim.id] = {claim, passed, this->IsLarge(claim)};
  this->held_tokens += claim.tokens;
  if (this->IsLarge(claim)) this->held_by_large += claim.tokens;
  if (passed) this->held_by_passed += claim.tokens;
}

Grant Ledger::Request(const MemoryClaim& claim, std::vector<AttemptId>* displaced) {
  if (this->Holds(claim.id)) return Grant::kGranted;
  Rank rank = RankOf(claim);
  if (this->waiting.count(rank) > 0) return Grant::kWaiting;
  uint64_t limit = this->IsLarge(claim) ? this->large_tokens : this->total_tokens;
  if (claim.tokens > limit) return Grant::kRefused;

  bool first = this->waiting.empty() || rank < this->waiting.begin()->first;
  if (this->Fits(claim) && (first || this->MayPass(claim, this->waiting.begin()->second))) {
    this->Hold(claim, !first);
    return Grant::kGranted;
  }
  if (this->waiting.size() >= kMaxWaiting) return Grant::kRefused;
  if (claim.group && !this->GroupMayWait(claim)) return Grant::kRefused;
  if (claim.group) {
    // This claim ranks before all other groups, so the waiting groups may not wait any longer.
    for (auto it = this->waiting.begin(); it != this->waiting.end();) {
      if (!it->second.group) {
        ++it;
        continue;
      }
      displaced->push_back(it->second.id);
      it = this->waiting.erase(it);
    }
  }
  this->waiting[rank] = claim;
  return Grant::kWaiting;
}

FreeResult Ledger::Free(const AttemptId& id) {
  FreeResult result;
  auto found = this->held.find(id);
  if (found != this->held.end()) {
    const Holding& holding = found->second;
    this->held_tokens -= holding.claim.tokens;
    if (holding.large) this->held_by_large -= holding.claim.tokens;
    if (holding.passed) this->held_by_passed -= holding.claim.tokens;
    this->held.erase(found);
    result.known = true;
  } else {
    auto waiter = std::find_if(this->waiting.begin(), this->waiting.end(),
                               [&](const auto& item) { return item.second.id == id; });
    if (waiter != this->waiting.end()) {
      this->waiting.erase(waiter);
      result.known = true;
    }
  }
  result.granted = this->GrantWaiters();
  return result;
}

std::vector<AttemptId> Ledger::SetLargeShare(double large_share) {
  this->large_tokens = static_cast<uint64_t>(static_cast<double>(this->total_tokens) * large_share);
  return this->GrantWaiters();
}

std::vector<AttemptId> Ledger::GrantWaiters() {
  std::vector<AttemptId> granted;
  for (auto it = this->waiting.begin(); it != this->waiting.end();) {
    const MemoryClaim& claim = it->second;
    bool first = it == this->waiting.begin();
    if (this->Fits(claim) && (first || this->MayPass(claim, this->waiting.begin()->second))) {
      granted.push_back(claim.id);
      this->Hold(claim, !first);
      it = this->waiting.erase(it);
    } else {
      ++it;
    }
  }
  return granted;
}

uint64_t Ledger::available() const {
  if (this->waiting.empty()) return this->free();
  uint64_t first = this->waiting.begin()->second.tokens;
  uint64_t spare = this->free() > first ? this->free() - first : 0;
  uint64_t small_share = this->SmallShareTokens();
  uint64_t passing = small_share > this->held_by_passed ? small_share - this->held_by_passed : 0;
  return std::max(spare, std::min(passing, this->free()));
}

bool Ledger::IsConsistent() const {
  uint64_t sum = 0;
  uint64_t large = 0;
  uint64_t passed = 0;
  for (const auto& [id, holding] : this->held) {
    sum += holding.claim.tokens;
    if (holding.large) large += holding.claim.tokens;
    if (holding.passed) passed += holding.claim.tokens;
  }
  bool counted =
      sum == this->held_tokens && large == this->held_by_large && passed == this->held_by_passed;
  return counted && this->held_tokens <= this->total_tokens;
}

}  // namespace gullward
