// Load pattern: a request that crashes engines comes again and again to a fleet of one or two
// gateways, whose processes end as well, while the store fails or returns from an older copy.
//
// Failure guarded against: what was known of one or two crashes ended with the process, so the
// crashes of such a request were never counted together.

#define BOOST_TEST_MODULE crash_store
#include "gateway/crash_store.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "standins/store_standin.h"

namespace gullward {
namespace {

constexpr char kTopic[] = "keyed.gullward-entries";
constexpr int64_t kUnixMillis = 1'764'720'000'000;

struct CrashStoreFixture {
  CrashStoreFixture()
      : store(&loop),
        recovery(&loop),
        kept(&loop, this->store.address(), &this->recovery, "box-1") {
    this->store.SetEpoch("1");
    this->recovery.returns().OnReturn([this] { this->kept.OnStoreReturn(); });
  }

  // Calls Keep as a gateway does until the record holds these engines.
  bool KeepUntilStored(const CrashHistory& history, Duration later = Duration(0)) {
    auto is_stored = [&] { return this->StoredEngines() == history.crashes.size(); };
    Time deadline = Now() + seconds(10);
    while (!is_stored() && Now() < deadline) {
      this->kept.Keep(history, Now() + later, kUnixMillis);
      this->loop.RunOnce(milliseconds(5));
    }
    // Until the answer has arrived, too.
    while (this->kept.stored_engines() != history.crashes.size() && Now() < deadline) {
      this->loop.RunOnce(milliseconds(5));
    }
    return is_stored();
  }

  size_t StoredEngines() {
    std::string value = this->store.Newest(kTopic, CrashesKey("box-1"));
    auto history = DecodeCrashes(value, Now(), kUnixMillis);
    return history ? history->crashes.size() : 0;
  }

  EventLoop loop;
  StoreStandin store;
  StoreRecovery recovery;
  CrashStore kept;
};

CrashHistory Crashes(size_t engines, size_t contents = 2) {
  CrashHistory history;
  std::vector<EngineCrash>& crashes = history.crashes;
  for (EngineKey engine = 1; engine <= engines; ++engine) {
    crashes.push_back({engine, Now() - seconds(1), {}});
    for (ContentId content = 1; content <= contents; ++content)
      crashes.back().contents.push_back(content);
  }
  return history;
}

BOOST_AUTO_TEST_CASE(WithoutCrashesTheStoreIsNotCalled) {
  CrashStoreFixture fixture;
  fixture.kept.Keep({}, Now() + 2 * CrashStore::kChangeDelay, kUnixMillis);
  fixture.kept.OnStoreReturn();
  fixture.kept.Keep({}, Now() + 4 * CrashStore::kChangeDelay, kUnixMillis);
  fixture.kept.Keep(Crashes(1, kMaxContentsPerCrash + 1), Now(), kUnixMillis);
  BOOST_TEST(fixture.kept.store_calls() == 0u);
}

// A record with the first of several contents would accuse it alone.
BOOST_AUTO_TEST_CASE(ACrashIsWrittenWhenAllItsContentsAreKnown) {
  CrashStoreFixture fixture;
  CrashHistory crashes = Crashes(1);
  Time known_at = crashes.crashes[0].at;
  fixture.kept.Keep(crashes, known_at, kUnixMillis);
  fixture.kept.Keep(crashes, known_at + CrashStore::kSettleTime - milliseconds(1), kUnixMillis);
  BOOST_TEST(fixture.kept.store_calls() == 0u);
  fixture.kept.Keep(crashes, known_at + CrashStore::kSettleTime, kUnixMillis);
  BOOST_TEST(fixture.kept.store_calls() == 1u);
}

BOOST_AUTO_TEST_CASE(ACrashIsWrittenWithoutDelayAndRemovedLater) {
  CrashStoreFixture fixture;
  BOOST_TEST(fixture.KeepUntilStored(Crashes(2)));
  BOOST_TEST(fixture.kept.store_calls() == 1u);
  fixture.kept.Keep(Crashes(2), Now(), kUnixMillis);
  fixture.kept.Keep(Crashes(1), Now(), kUnixMillis);
  BOOST_TEST(fixture.kept.store_calls() == 1u);
  BOOST_TEST(fixture.KeepUntilStored(Crashes(1), CrashStore::kChangeDelay));
  BOOST_TEST(fixture.KeepUntilStored({}, 2 * CrashStore::kChangeDelay));
  BOOST_TEST(fixture.store.Newest(kTopic, CrashesKey("box-1")).empty());
}

BOOST_AUTO_TEST_CASE(OnlyTheLatestCrashesAreKept) {
  CrashStoreFixture fixture;
  fixture.kept.Keep(Crashes(kMaxStoredCrashes + 3), Now(), kUnixMillis);
  Time deadline = Now() + seconds(10);
  while (fixture.StoredEngines() == 0 && Now() < deadline) fixture.loop.RunOnce(milliseconds(5));
  std::string value = fixture.store.Newest(kTopic, CrashesKey("box-1"));
  auto history = DecodeCrashes(value, Now(), kUnixMillis);
  BOOST_REQUIRE(history.has_value());
  BOOST_TEST(history->crashes.size() == kMaxStoredCrashes);
  BOOST_TEST(history->crashes.back().engine == kMaxStoredCrashes + 3);
}

BOOST_AUTO_TEST_CASE(AnUnreachableStoreGetsTheRecordWhenItIsBack) {
  CrashStoreFixture fixture;
  fixture.store.SetFault(StoreFault::kBusy);
  fixture.kept.Keep(Crashes(1), Now(), kUnixMillis);
  Time deadline = Now() + seconds(10);
  while (fixture.store.calls() < 1 && Now() < deadline) fixture.loop.RunOnce(milliseconds(5));
  fixture.store.SetFault(StoreFault::kNone);
  BOOST_TEST(fixture.KeepUntilStored(Crashes(2)));
}

// An older copy may hold crashes whose contents were answered since.
BOOST_AUTO_TEST_CASE(AnOlderCopyOfTheStoreIsCorrected) {
  for (size_t engines : {size_t{0}, size_t{2}}) {
    CrashStoreFixture fixture;
    BOOST_REQUIRE(fixture.KeepUntilStored(Crashes(1)));
    fixture.store.SaveCopy();
    BOOST_REQUIRE(fixture.KeepUntilStored(Crashes(engines), CrashStore::kChangeDelay));
    fixture.store.RestoreCopy("2");
    BOOST_TEST(fixture.StoredEngines() == 1u);
    fixture.kept.OnStoreReturn();
    BOOST_TEST(fixture.KeepUntilStored(Crashes(engines), 2 * CrashStore::kChangeDelay));
  }
}

// The process that follows removes what its predecessor has left, also what it cannot read.
BOOST_AUTO_TEST_CASE(ARecordOfAnEarlierProcessIsRemoved) {
  struct Row {
    const char* what;
    std::string value;
  };
  const Row table[] = {{"valid", EncodeCrashes(Crashes(1), Now(), kUnixMillis)},
                       {"invalid", "not a record"}};
  for (const Row& row : table) {
    CrashStoreFixture fixture;
    fixture.store.Put(kTopic, CrashesKey("box-1"), row.value);
    fixture.kept.OnOwnRecord(DecodeCrashes(row.value, Now(), kUnixMillis));
    Time deadline = Now() + seconds(10);
    while (!fixture.store.Newest(kTopic, CrashesKey("box-1")).empty() && Now() < deadline) {
      fixture.kept.Keep({}, Now() + CrashStore::kChangeDelay, kUnixMillis);
      fixture.loop.RunOnce(milliseconds(5));
    }
    BOOST_TEST(fixture.store.Newest(kTopic, CrashesKey("box-1")).empty(), row.what);
  }
}

}  // namespace
}  // namespace gullward
