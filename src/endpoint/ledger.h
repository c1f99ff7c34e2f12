// Allocates the KV-cache memory of one engine, in tokens, to attempts, and queues the attempts
// that must wait for memory.
//
// An attempt starts on an engine only after the ledger has granted all tokens that the attempt may
// need (prompt and answer), so an engine is never asked for more memory than it has.  At any time
// held + free = total.
//
//   Ledger ledger(400'000, 0.9);
//   std::vector<AttemptId> displaced;
//   switch (ledger.Request({id, 2'000, value, arrival}, &displaced)) {
//     case Grant::kGranted: ...             // start the attempt
//     case Grant::kWaiting: ...             // a later Free returns the id as granted
//     case Grant::kRefused: ...             // nothing is held; the attempt was not run
//   }
//   FreeResult result = ledger.Free(id);    // the attempts in result.granted may start now
//
// Rank.  Claims are served in the order of arrival, where each unit of value counts as kAgePerValue
// of additional age.  A valuable request overtakes others by a bounded time only, so every claim
// becomes the first one in the end.
//
// Memory for small claims.  Large claims together may hold a share of the memory only.  The rest
// is the small share; it stays available to short prompts however many long prompts there are.  A
// claim is large if it belongs to a group or needs more tokens than the small share.
//
// No starvation.  Memory that becomes free is reserved for the waiting claim of the lowest rank.
// A small claim behind it may be granted if enough memory remains for the first claim.  Any other
// claim may be granted ahead of the first one only if all claims granted ahead of a waiting claim,
// together with it, hold no more than the small share.  So short prompts are served while a long
// one waits, but they cannot delay it without end.
//
// No deadlock.  A prompt that is too large for one engine holds memory on several engines, so two
// groups could wait for each other.  The ledger prevents this by the wait-die rule: a group may
// wait only if it ranks before every group that holds or waits for memory here.  So no group waits
// for a group that ranks before it, and waits cannot form a cycle.  A group that may not wait is
// refused; its request comes again with the original arrival time, so its rank only improves.
//
// Cost: Request and Free are linear in the number of claims on one engine (a few hundred).

#ifndef GULLWARD_ENDPOINT_LEDGER_H_
#define GULLWARD_ENDPOINT_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/request_id.h"

namespace gullward {

// The additional age that one unit of value adds to a claim's rank.
inline constexpr Duration kAgePerValue = seconds(1);

// Claims that may wait for one engine's memory; further claims are refused.
inline constexpr size_t kMaxWaiting = 256;

enum class Grant { kGranted, kWaiting, kRefused };

// A request for memory.
struct MemoryClaim {
  AttemptId id;
  uint64_t tokens = 0;
  uint32_t value = 0;
  // When the request arrived: for a piece of a group at its entry, so that the rank stays the same
  // when the group is sent again; for any other claim at this process.
  Time arrival;
  // Whether the claim is for one piece of a prompt whose other pieces hold memory on other engines.
  bool group = false;

  bool operator==(const MemoryClaim&) const = default;
};

struct FreeResult {
  // Whether the id held memory or waited for memory.
  bool known = false;
  // Attempts that waited and were granted memory by this call.
  std::vector<AttemptId> granted;
};

class Ledger {
 public:
  // `large_share` is the fraction of the memory that large claims may hold, in [0, 1].
  Ledger(uint64_t total_tokens, double large_share);

  // Requests memory.  If the id already holds or waits for memory, the call changes nothing and
  // returns the state of the id.  The ids of groups that may no longer wait because of this claim
  // are added to `displaced`; they have been removed from the ledger and the caller must refuse
  // them.
  Grant Request(const MemoryClaim& claim, std::vector<AttemptId>* displaced);

  // Frees the memory that the id holds, or ends its wait.  Safe to repeat.
  FreeResult Free(const AttemptId& id);

  // Changes the fraction that large claims may hold.  Returns the waiting claims that are granted
  // by this change.
  std::vector<AttemptId> SetLargeShare(double large_share);

  uint64_t total() const { return this->total_tokens; }
  uint64_t free() const { return this->total_tokens - this->held_tokens; }
  // Tokens that a new small claim could be granted now, ahead of the claims that wait.
  uint64_t available() const;
  size_t holders() const { return this->held.size(); }
  size_t waiters() const { return this->waiting.size(); }
  bool Holds(const AttemptId& id) const { return this->held.count(id) > 0; }

  // Whether the counters match the claims and held + free = total.  For tests.
  bool IsConsistent() const;

 private:
  // Lower ranks are served first.
  using Rank = std::pair<Time, AttemptId>;

  static Rank RankOf(const MemoryClaim& claim);
  uint64_t SmallShareTokens() const { return this->total_tokens - this->large_tokens; }
  bool IsLarge(const MemoryClaim& claim) const {
    return claim.group || claim.tokens > this->SmallShareTokens();
  }
  bool Fits(const MemoryClaim& claim) const;
  bool MayPass(const MemoryClaim& claim, const MemoryClaim& first) const;
  bool GroupMayWait(const MemoryClaim& claim) const;
  void Hold(const MemoryClaim& claim, bool passed);
  std::vector<AttemptId> GrantWaiters();

  struct Holding {
    MemoryClaim claim;
    // Whether the claim was granted while a claim of lower rank was waiting.
    bool passed = false;
    // Whether the claim was large when it was granted; the limit may have changed since.
    bool large = false;
  };

  uint64_t total_tokens;
  uint64_t large_tokens;
  uint64_t held_tokens = 0;
  uint64_t held_by_large = 0;
  uint64_t held_by_passed = 0;
  std::map<AttemptId, Holding> held;
  std::map<Rank, MemoryClaim> waiting;
};

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_LEDGER_H_
