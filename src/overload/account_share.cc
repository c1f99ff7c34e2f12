// Engine seconds decay by a half in kHalfLife, so no window has to be stored.

#include "overload/account_share.h"

#include <algorithm>
#include <cmath>

#include "base/half_life.h"
#include "overload/ranks.h"

namespace gullward {
namespace {

constexpr Duration kHalfLife = seconds(10);
// Uneven accounts are normal; only one with more than this many equal shares gives way.
constexpr double kMaxEqualShares = 2;
// An account that gives way counts as much as one of the next rank.
constexpr double kMinFactor = 0.5;

}  // namespace

double AccountShares::Held(const Entry& entry, Time now) {
  return entry.engine_seconds * HalfLifeDecay(now - entry.counted, kHalfLife);
}

AccountShares::Entry& AccountShares::EntryOf(const std::string& account, Time now) {
  auto [found, is_new] = this->entries.try_emplace(account);
  found->second.asked = now;
  if (!is_new || this->entries.size() <= kMaxAccounts) return found->second;
  auto least = this->entries.end();
  for (auto it = this->entries.begin(); it != this->entries.end(); ++it) {
    if (it == found) continue;
    bool is_less = least == this->entries.end() || Held(it->second, now) < Held(least->second, now);
    if (is_less) least = it;
  }
  this->entries.erase(least);
  return found->second;
}

void AccountShares::NoteAsked(const std::string& account, double utilization_now, Time now) {
  this->utilization = utilization_now;
  this->EntryOf(account, now);
}

void AccountShares::Add(const std::string& account, double engine_seconds, Time now) {
  if (!std::isfinite(engine_seconds) || engine_seconds < 0) return;
  Entry& entry = this->EntryOf(account, now);
  entry.engine_seconds = Held(entry, now) + engine_seconds;
  entry.counted = now;
}

double AccountShares::ValueFactor(const std::string& account, Time now) const {
  auto own = this->entries.find(account);
  if (own == this->entries.end() || !(this->utilization > kRoomyUtilization)) return 1;
  double total = 0;
  double asking = 0;
  for (const auto& [name, entry] : this->entries) {
    if (name != account && now - entry.asked > kForgetAfter) continue;
    total += Held(entry, now);
    asking += 1;
  }
  double held = Held(own->second, now);
  double allowed = kMaxEqualShares * total / std::max(asking, 1.0);
  return held > allowed ? std::max(allowed / held, kMinFactor) : 1;
}

}  // namespace gullward
