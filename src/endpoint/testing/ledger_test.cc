// Compares the ledger with a slow and simple reference over every short sequence of calls.

#define BOOST_TEST_MODULE ledger
#include "endpoint/ledger.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

namespace gullward {
namespace {

AttemptId Id(uint64_t number) { return {{1, number}, 1}; }

MemoryClaim Claim(uint64_t number, uint64_t tokens, bool group = false) {
  return {Id(number), tokens, 0, Time(seconds(number)), group};
}

// A direct implementation of the ledger's rules: it keeps two lists and recomputes every sum.
class ReferenceLedger {
 public:
  ReferenceLedger(uint64_t total, uint64_t max_large)
      : total_tokens(total), large_tokens(max_large) {}

  Grant Request(const MemoryClaim& claim) {
    uint64_t limit = this->IsLarge(claim) ? this->large_tokens : this->total_tokens;
    if (claim.tokens > limit) return Grant::kRefused;
    if (this->MayGrant(claim)) {
      bool overtakes = this->AnyWaitsBefore(claim);
      this->held.push_back({claim, overtakes});
      return Grant::kGranted;
    }
    if (claim.group) {
      for (const Item& item : this->held) {
        if (item.claim.group && item.claim.arrival < claim.arrival) return Grant::kRefused;
      }
      for (const MemoryClaim& other : this->waiting) {
        if (other.group && other.arrival < claim.arrival) return Grant::kRefused;
      }
      std::erase_if(this->waiting, [](const MemoryClaim& other) { return other.group; });
    }
    this->waiting.push_back(claim);
    std::sort(this->waiting.begin(), this->waiting.end(),
              [](const auto& a, const auto& b) { return a.arrival < b.arrival; });
    return Grant::kWaiting;
  }

  std::vector<AttemptId> Free(const AttemptId& id) {
    std::erase_if(this->held, [&](const Item& item) { return item.claim.id == id; });
    std::erase_if(this->waiting, [&](const MemoryClaim& claim) { return claim.id == id; });
    std::vector<AttemptId> granted;
    std::vector<MemoryClaim> waiters = this->waiting;
    for (const MemoryClaim& claim : waiters) {
      if (!this->MayGrant(claim)) continue;
      bool overtakes = this->AnyWaitsBefore(claim);
      this->held.push_back({claim, overtakes});
      std::erase_if(this->waiting, [&](const MemoryClaim& other) { return other.id == claim.id; });
      granted.push_back(claim.id);
    }
    return granted;
  }

  uint64_t free() const {
    return this->total_tokens - this->Sum([](const Item&) { return true; });
  }

 private:
  struct Item {
    MemoryClaim claim;
    bool passed = false;
  };

  template <typename Condition>
  uint64_t Sum(Condition condition) const {
    uint64_t sum = 0;
    for (const Item& item : this->held) sum += condition(item) ? item.claim.tokens : 0;
    return sum;
  }

  bool AnyWaitsBefore(const MemoryClaim& claim) const {
    return std::any_of(this->waiting.begin(), this->waiting.end(),
                       [&](const MemoryClaim& other) { return other.arrival < claim.arrival; });
  }

  bool IsLarge(const MemoryClaim& claim) const {
    return claim.group || claim.tokens > this->total_tokens - this->large_tokens;
  }

  bool MayGrant(const MemoryClaim& claim) const {
    if (claim.tokens > this->free()) return false;
    uint64_t large = this->Sum([this](const Item& item) { return this->IsLarge(item.claim); });
    if (this->IsLarge(claim) && large + claim.tokens > this->large_tokens) return false;
    if (!this->AnyWaitsBefore(claim)) return true;
    if (!this->IsLarge(claim) && claim.tokens + this->waiting.front().tokens <= this->free())
      return true;
    uint64_t passed = this->Sum([](const Item& item) { return item.passed; });
    return passed + claim.tokens <= this->total_tokens - this->large_tokens;
  }

  uint64_t total_tokens;
  uint64_t large_tokens;
  std::vector<Item> held;
  std::vector<MemoryClaim> waiting;
};

// Tries every sequence of up to `depth` calls: requests of several sizes, single and in groups,
// with earlier and later arrivals than before, and frees.
class ExhaustiveComparison {
 public:
  void Run(int depth) { this->Step({}, depth); }
  int sequences() const { return this->count; }

 private:
  struct Call {
    bool is_request;
    uint64_t number;
    uint64_t tokens;
    bool group;
  };

  void Step(const std::vector<Call>& calls, int left) {
    if (!this->Agree(calls)) return;
    if (left == 0) return;
    std::set<uint64_t> used;
    for (const Call& call : calls) used.insert(call.number);
    for (uint64_t number : {3, 1, 5, 2}) {
      std::vector<Call> more = calls;
      if (used.count(number) > 0) {
        more.push_back({false, number, 0, false});
        this->Step(more, left - 1);
        continue;
      }
      for (uint64_t tokens : {1, 4, 7, 10}) {
        for (bool group : {false, true}) {
          more = calls;
          more.push_back({true, number, tokens, group});
          this->Step(more, left - 1);
        }
      }
    }
  }

  bool Agree(const std::vector<Call>& calls) {
    ++this->count;
    Ledger ledger(10, 0.7);
    ReferenceLedger reference(10, 7);
    for (const Call& call : calls) {
      if (call.is_request) {
        MemoryClaim claim = Claim(call.number, call.tokens, call.group);
        std::vector<AttemptId> displaced;
        if (ledger.Request(claim, &displaced) != reference.Request(claim))
          return this->Report(calls);
      } else if (ledger.Free(Id(call.number)).granted != reference.Free(Id(call.number))) {
        return this->Report(calls);
      }
      if (ledger.free() != reference.free() || !ledger.IsConsistent()) return this->Report(calls);
    }
    return true;
  }

  bool Report(const std::vector<Call>& calls) {
    std::string text;
    for (const Call& call : calls) {
      text += call.is_request ? " request " : " free ";
      text += std::to_string(call.number) + ":" + std::to_string(call.tokens);
      if (call.group) text += "g";
    }
    BOOST_ERROR("the ledger and the reference disagree after" << text);
    return false;
  }

  int count = 0;
};

BOOST_AUTO_TEST_CASE(AgreesWithTheReference) {
  ExhaustiveComparison comparison;
  comparison.Run(4);
  BOOST_TEST(comparison.sequences() > 100'000);
}

BOOST_AUTO_TEST_CASE(FreeIsIdempotent) {
  Ledger ledger(100, 0.9);
  std::vector<AttemptId> displaced;
  ledger.Request(Claim(1, 60), &displaced);
  BOOST_TEST(ledger.Free(Id(1)).known);
  BOOST_TEST(!ledger.Free(Id(1)).known);
  BOOST_TEST(ledger.free() == 100u);
}

BOOST_AUTO_TEST_CASE(ARepeatedRequestHoldsMemoryOnce) {
  Ledger ledger(100, 0.9);
  std::vector<AttemptId> displaced;
  BOOST_TEST((ledger.Request(Claim(1, 60), &displaced) == Grant::kGranted));
  BOOST_TEST((ledger.Request(Claim(1, 60), &displaced) == Grant::kGranted));
  BOOST_TEST(ledger.free() == 40u);
}

BOOST_AUTO_TEST_CASE(SmallClaimsOvertakeAWaitingLargeOneOnlyWithinTheSmallShare) {
  Ledger ledger(100, 0.9);
  std::vector<AttemptId> displaced;
  ledger.Request(Claim(1, 50), &displaced);
  BOOST_TEST((ledger.Request(Claim(2, 90, true), &displaced) == Grant::kWaiting));
  BOOST_TEST((ledger.Request(Claim(3, 10), &displaced) == Grant::kGranted));
  BOOST_TEST((ledger.Request(Claim(4, 10), &displaced) == Grant::kWaiting));
  // The large claim gets its memory as soon as the first holder frees its own.
  std::vector<AttemptId> granted = ledger.Free(Id(1)).granted;
  BOOST_TEST((granted == std::vector<AttemptId>{Id(2)}));
}

BOOST_AUTO_TEST_CASE(ALaterGroupIsRefusedAndAnEarlierOneWaits) {
  Ledger ledger(100, 0.9);
  std::vector<AttemptId> displaced;
  ledger.Request(Claim(5, 80, true), &displaced);
  BOOST_TEST((ledger.Request(Claim(6, 80, true), &displaced) == Grant::kRefused));
  BOOST_TEST((ledger.Request(Claim(4, 80, true), &displaced) == Grant::kWaiting));
  BOOST_TEST(displaced.empty());
  BOOST_TEST((ledger.Request(Claim(3, 80, true), &displaced) == Grant::kWaiting));
  BOOST_TEST((displaced == std::vector<AttemptId>{Id(4)}));
}

}  // namespace
}  // namespace gullward
