// Who holds how much of one engine's KV-cache memory, and who waits for it.
//
// The endpoint process owns its engines' memory: nothing is started on an
// engine before the ledger has granted the tokens that it can come to need
// (prompt and answer), so an engine is never asked for more than it has.  At
// every moment held + free = total.
//
//   Ledger ledger(400'000, 0.9);
//   switch (ledger.Ask({id, 2'000, value, arrival})) {
//     case Grant::kGranted: ...          // start it
//     case Grant::kWaiting: ...          // a later Free will name it
//     case Grant::kRefused: ...          // not run, now or ever
//   }
//   Freed freed = ledger.Free(id);       // freed.granted may start now
//
// Rank.  Claims are ranked by arrival, moved forward by kAgePerValue for each
// unit of value: a valuable request overtakes, but only so far, so that no rank
// is overtaken for ever.
//
// The short's place.  A large claim (a group's, or one of more tokens than the
// floor) may use a share of the memory only, so that the rest, the floor, is left
// for shorts whatever binders and manuals do.
//
// Nobody starves.  The first waiter in rank has all memory that comes free
// earmarked for it.  Claims behind it may pass where that leaves the first its
// memory, and else only as much as the floor in all: shorts go on being served
// while a binder waits, and still cannot keep it waiting.
//
// No deadlock.  A prompt larger than one engine holds memory on several, so two
// such groups could wait for each other.  Wait-die forbids it: a group may wait
// only if it ranks before every group that holds or awaits memory here, so a
// group never waits for one that ranks before it, and waits cannot form a
// circle.  A group that may not wait is refused and comes back with its old
// arrival time, so its rank only improves.
//
// Cost: Ask and Free are linear in the claims of one engine (a few hundred).

#ifndef GULLWARD_ENDPOINT_LEDGER_H_
#define GULLWARD_ENDPOINT_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/request_id.h"

namespace gullward {

// How much earlier a claim ranks for each unit of its value.
inline constexpr Duration kAgePerValue = seconds(1);

// Claims that may wait on one engine; more are refused.
inline constexpr size_t kMaxWaiting = 256;

enum class Grant { kGranted, kWaiting, kRefused };

// A wish for memory.
struct MemoryClaim {
  AttemptId id;
  uint64_t tokens = 0;
  uint32_t value = 0;
  // When the request arrived at its entry, not when this claim was made.
  Time arrival;
  // Whether this is one piece of a prompt that holds memory on other engines.
  bool group = false;

  bool operator==(const MemoryClaim&) const = default;
};

// What giving memory back led to.
struct Freed {
  // Whether the id held or awaited memory.
  bool known = false;
  std::vector<AttemptId> granted;
};

class Ledger {
 public:
  // large_share is the part of the memory that large claims may hold, in [0, 1].
  Ledger(uint64_t total_tokens, double large_share);

  // Asks for memory.  Asking again with an id that holds or waits changes
  // nothing and tells its state.  `displaced` gets the id of a group that may
  // no longer wait; it has been dropped and must be refused by the caller.
  Grant Ask(const MemoryClaim& claim, std::vector<AttemptId>* displaced);

  // Gives back what the id holds, or ends its wait.  Safe to repeat.
  Freed Free(const AttemptId& id);

  // Changes the share that large claims may hold, and grants what that allows.
  std::vector<AttemptId> SetLargeShare(double large_share);

  uint64_t total() const { return this->total_tokens; }
  uint64_t free() const { return this->total_tokens - this->held_tokens; }
  // What a new small claim could get now, past those that wait.
  uint64_t available() const;
  size_t holders() const { return this->held.size(); }
  size_t waiters() const { return this->waiting.size(); }
  bool Holds(const AttemptId& id) const { return this->held.count(id) > 0; }

  // Whether the counters agree with the claims: held + free = total.  For tests.
  bool IsConsistent() const;

 private:
  // The lower, the earlier served.
  using Rank = std::pair<Time, AttemptId>;

  static Rank RankOf(const MemoryClaim& claim);
  uint64_t FloorTokens() const { return this->total_tokens - this->large_tokens; }
  bool Large(const MemoryClaim& claim) const {
    return claim.group || claim.tokens > this->FloorTokens();
  }
  bool Fits(const MemoryClaim& claim) const;
  bool MayPass(const MemoryClaim& claim, const MemoryClaim& first) const;
  bool GroupMayWait(const MemoryClaim& claim) const;
  void Hold(const MemoryClaim& claim, bool passed);
  std::vector<AttemptId> GrantWaiters();

  struct Holding {
    MemoryClaim claim;
    // Whether it was granted past a waiter that ranked before it.
    bool passed = false;
    // Whether it counted as large when it was granted.
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
