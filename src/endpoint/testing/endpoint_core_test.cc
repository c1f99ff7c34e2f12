// Tests the guarantees of the endpoint process: at most one start of each attempt, correct "not
// run" reports, return of memory, leases and drain.

#define BOOST_TEST_MODULE endpoint_core
#include "endpoint/endpoint_core.h"

#include <boost/test/unit_test.hpp>

namespace gullward {
namespace {

constexpr PeerId kPeer = 1;
constexpr Time kStart{std::chrono::seconds(1000)};

AttemptId Id(uint64_t sequence, uint32_t attempt = 1) { return {{9, sequence}, attempt}; }

class Endpoint {
 public:
  Endpoint() : core(Options(), kStart) {
    this->core.OnHello(kPeer, Hello{"entry", "", 9}, kStart);
    this->core.OnAllocations(0, {}, kStart);
    this->Actions();
  }

  static EndpointOptions Options() {
    EndpointOptions options;
    options.engines = {{"engine", "address", "base", 10'000, {}}};
    return options;
  }

  Offer OfferOf(const AttemptId& id, uint64_t tokens, bool repeatable = true) {
    Offer offer;
    offer.id = id;
    offer.model = "base";
    offer.prompt = "text";
    offer.prompt_tokens = tokens;
    offer.deadline_ms = 20'000;
    offer.repeatable = repeatable;
    return offer;
  }

  void Receive(const Message& message) { this->core.OnMessage(kPeer, message, this->now); }

  std::vector<EndpointAction> Actions() {
    std::vector<EndpointAction> actions = this->core.TakeActions();
    for (const EndpointAction& action : actions) {
      if (std::holds_alternative<StartOnEngine>(action)) ++this->starts;
      if (std::holds_alternative<FreeOnEngine>(action)) ++this->frees;
      const auto* send = std::get_if<SendToPeer>(&action);
      if (send == nullptr) continue;
      if (const auto* refused = std::get_if<Refused>(&send->message)) {
        this->refusals.push_back(refused->code);
      }
      if (const auto* failed = std::get_if<Failed>(&send->message))
        this->failures.push_back(*failed);
    }
    return actions;
  }

  EndpointCore core;
  Time now = kStart;
  int starts = 0;
  int frees = 0;
  std::vector<ResultCode> refusals;
  std::vector<Failed> failures;
};

BOOST_AUTO_TEST_CASE(AnAttemptStartsOnceHoweverOftenItIsOffered) {
  Endpoint endpoint;
  Offer offer = endpoint.OfferOf(Id(1), 100);
  endpoint.Receive(offer);
  endpoint.Receive(offer);
  endpoint.Actions();
  endpoint.core.OnEngineFinished(Id(1), {"stop", 100, 0, 1, 0}, endpoint.now);
  endpoint.Receive(offer);
  endpoint.Actions();
  BOOST_TEST(endpoint.starts == 1);
  BOOST_TEST(endpoint.core.counters().duplicates == 2u);
}

BOOST_AUTO_TEST_CASE(ACancelBeforeItsOfferPreventsTheStart) {
  Endpoint endpoint;
  endpoint.Receive(Cancel{Id(1)});
  endpoint.Receive(endpoint.OfferOf(Id(1), 100));
  endpoint.Actions();
  BOOST_TEST(endpoint.starts == 0);
}

BOOST_AUTO_TEST_CASE(MessagesBeforeHelloAreIgnored) {
  Endpoint endpoint;
  endpoint.core.OnMessage(77, endpoint.OfferOf(Id(1), 100), endpoint.now);
  endpoint.Actions();
  BOOST_TEST(endpoint.core.attempts() == 0u);
}

BOOST_AUTO_TEST_CASE(AnEngineGetsNoWorkBeforeItsMemoryIsKnown) {
  EndpointCore core(Endpoint::Options(), kStart);
  core.OnHello(kPeer, Hello{"entry", "", 9}, kStart);
  BOOST_TEST(!core.engine_up(0));
  // An allocation of an earlier incarnation is freed first.
  core.OnAllocations(0, {{"old.1", 5000}}, kStart);
  BOOST_TEST(!core.engine_up(0));
  core.OnEngineFreed(0, "old.1", true, kStart);
  core.OnAllocations(0, {}, kStart);
  BOOST_TEST(core.engine_up(0));
}

BOOST_AUTO_TEST_CASE(MemoryIsReturnedOnlyWhenTheEngineHasFreedIt) {
  Endpoint endpoint;
  endpoint.Receive(endpoint.OfferOf(Id(1), 9000));
  endpoint.Receive(Cancel{Id(1)});
  endpoint.Actions();
  BOOST_TEST(endpoint.frees == 1);
  BOOST_TEST(endpoint.core.ledger(0).free() == 1000u);
  // The first free call fails and is repeated.
  endpoint.core.OnEngineFreed(0, ToString(Id(1)), false, endpoint.now);
  endpoint.now += seconds(2);
  endpoint.core.Tick(endpoint.now);
  endpoint.Actions();
  BOOST_TEST(endpoint.frees == 2);
  endpoint.core.OnEngineFreed(0, ToString(Id(1)), true, endpoint.now);
  BOOST_TEST(endpoint.core.ledger(0).free() == 10'000u);
  // A second answer for the same allocation changes nothing.
  endpoint.core.OnEngineFreed(0, ToString(Id(1)), true, endpoint.now);
  BOOST_TEST(endpoint.core.ledger(0).free() == 10'000u);
}

BOOST_AUTO_TEST_CASE(AnAllocationThatTheEngineNoLongerListsIsFree) {
  Endpoint endpoint;
  endpoint.Receive(endpoint.OfferOf(Id(1), 9000));
  endpoint.Receive(Cancel{Id(1)});
  endpoint.core.OnAllocations(0, {}, endpoint.now);
  BOOST_TEST(endpoint.core.ledger(0).free() == 10'000u);
}

BOOST_AUTO_TEST_CASE(ADrainReturnsWaitingAttemptsAndCompletesRunningOnes) {
  Endpoint endpoint;
  endpoint.Receive(endpoint.OfferOf(Id(1), 9000));
  endpoint.Receive(endpoint.OfferOf(Id(2), 9000));
  endpoint.core.Drain(endpoint.now);
  endpoint.Receive(endpoint.OfferOf(Id(3), 10));
  endpoint.Actions();
  BOOST_TEST(endpoint.starts == 1);
  const std::vector<ResultCode> expected(2, ResultCode::kDraining);
  BOOST_TEST((endpoint.refusals == expected));
  endpoint.core.OnEngineFinished(Id(1), {"stop", 9000, 0, 1, 0}, endpoint.now);
  endpoint.Actions();
  BOOST_TEST(endpoint.starts == 1);
  BOOST_TEST(endpoint.core.attempts() == 0u);
}

BOOST_AUTO_TEST_CASE(ALapsedLeaseCancelsOnlyRepeatableAttempts) {
  Endpoint endpoint;
  endpoint.Receive(endpoint.OfferOf(Id(1), 100));
  endpoint.Receive(endpoint.OfferOf(Id(2), 100, /*repeatable=*/false));
  endpoint.now += seconds(4);
  endpoint.core.Tick(endpoint.now);
  endpoint.Actions();
  BOOST_TEST(endpoint.core.attempts() == 1u);
  BOOST_REQUIRE(endpoint.failures.size() == 1u);
  BOOST_TEST((endpoint.failures[0] == Failed{Id(1), ResultCode::kLeaseLapsed, Ran::kYes}));
}

BOOST_AUTO_TEST_CASE(ADeadlineEndsRunningAndWaitingAttempts) {
  Endpoint endpoint;
  endpoint.Receive(endpoint.OfferOf(Id(1), 9000));
  endpoint.Receive(endpoint.OfferOf(Id(2), 9000));
  endpoint.now += seconds(21);
  endpoint.Receive(EntryHeartbeat{});
  endpoint.core.Tick(endpoint.now);
  endpoint.Actions();
  BOOST_TEST((endpoint.failures ==
              std::vector<Failed>{{Id(1), ResultCode::kDeadlineExceeded, Ran::kYes}}));
  BOOST_TEST((endpoint.refusals == std::vector<ResultCode>{ResultCode::kDeadlineExceeded}));
  BOOST_TEST(endpoint.starts == 1);
}

BOOST_AUTO_TEST_CASE(AWaitingAttemptThatCannotFinishIsReturnedBeforeItsDeadline) {
  Endpoint endpoint;
  endpoint.Receive(endpoint.OfferOf(Id(1), 9000));
  Offer waiting = endpoint.OfferOf(Id(2), 9000);
  // Prefilling 9,000 tokens takes 0.45 s at the initial speed.
  waiting.deadline_ms = 2000;
  endpoint.Receive(waiting);
  endpoint.now += milliseconds(1500);
  endpoint.core.Tick(endpoint.now);
  endpoint.Actions();
  BOOST_TEST(endpoint.refusals.empty());
  endpoint.now += milliseconds(100);
  endpoint.core.Tick(endpoint.now);
  endpoint.Actions();
  BOOST_TEST((endpoint.refusals == std::vector<ResultCode>{ResultCode::kOverloaded}));
}

BOOST_AUTO_TEST_CASE(AttemptsOnAFrozenEngineFailAfterTwoUnansweredLists) {
  Endpoint endpoint;
  endpoint.Receive(endpoint.OfferOf(Id(1), 100));
  endpoint.core.OnEngineUnreachable(0, endpoint.now);
  endpoint.Actions();
  BOOST_TEST(endpoint.failures.empty());
  endpoint.core.OnEngineUnreachable(0, endpoint.now);
  endpoint.Actions();
  BOOST_TEST(endpoint.failures.size() == 1u);
  BOOST_TEST(!endpoint.core.engine_up(0));
}

BOOST_AUTO_TEST_CASE(ARefusalByTheEngineIsReportedAsNotRun) {
  Endpoint endpoint;
  endpoint.Receive(endpoint.OfferOf(Id(1), 100, /*repeatable=*/false));
  endpoint.core.OnEngineFailure(Id(1), {ResultCode::kNoMemory, Ran::kNo}, endpoint.now);
  endpoint.Actions();
  BOOST_TEST((endpoint.refusals == std::vector<ResultCode>{ResultCode::kNoMemory}));
  BOOST_TEST(endpoint.core.ledger(0).free() == 10'000u);
}

BOOST_AUTO_TEST_CASE(TheSpeedEstimateConverges) {
  SpeedEstimator estimator(PrefillSpeed{5e-5, 0});
  const PrefillSpeed truth{2e-5, 1e-9};
  for (uint64_t i = 0; i < 200; ++i) {
    uint64_t prompt = 500 + (i * 7919) % 60'000;
    uint64_t cached = i % 3 == 0 ? prompt / 2 : 0;
    estimator.Observe(cached, prompt, Seconds(truth, cached, prompt));
  }
  for (uint64_t prompt : {1000u, 20'000u, 60'000u}) {
    double error = Seconds(estimator.speed(), 0, prompt) / Seconds(truth, 0, prompt) - 1;
    BOOST_TEST(std::abs(error) < 0.05, "prompt " << prompt << " error " << error);
  }
  // The estimate follows within a few answers when the engine becomes ten times slower.
  for (uint64_t i = 0; i < 12; ++i) {
    estimator.Observe(0, 2000 + i * 100, 10 * Seconds(truth, 0, 2000 + i * 100));
  }
  double ratio = Seconds(estimator.speed(), 0, 2500) / Seconds(truth, 0, 2500);
  BOOST_TEST(ratio > 5);
}

}  // namespace
}  // namespace gullward
