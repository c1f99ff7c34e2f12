// Tests EntryCore against messages that are late, repeated, missing or from the wrong attempt, and
// checks what a failed request reports as "ran".
//
// One TCP connection keeps messages in order, but a restart, a retry or a fault of an endpoint
// can still cause all of these cases.

#define BOOST_TEST_MODULE entry_core
#include "request/entry_core.h"

#include <boost/test/unit_test.hpp>

#include "config/config_file.h"
#include "trial/simulation.h"
#include "wire/codec.h"

namespace gullward {
namespace {

constexpr Time kStart{std::chrono::seconds(1000)};

// An entry that has received heartbeats from three endpoint boxes, box-1 to box-3, each with one
// engine.  Collects the answer of the last request in `text`, `finished` and `failure`.
class EntryFixture {
 public:
  EntryFixture() : core(Options(), &this->feed, kStart) {
    std::vector<ConfigError> errors;
    auto file = ParseConfigFile(BasicConfig(), "test", &errors);
    ConfigChange change = MakeChange(*file, this->feed.state(), {1, 1});
    this->feed.ApplyLogRecords(0, {{0, EncodeRecord(change)}});
    this->core.OnConfigChanged();
    for (const char* box : {"box-1", "box-2", "box-3"}) this->Heartbeat(box, 0);
  }

  // Receives a heartbeat of an idle engine that already counts dispatches up to `included`.
  void Heartbeat(const std::string& box, uint64_t included) {
    EngineLoad load;
    load.name = box;
    load.model = "base";
    load.up = true;
    load.total_tokens = load.free_tokens = 100'000;
    load.backlog_ms.assign(kPriorities, 0);
    load.seconds_per_token = 5e-5;
    EndpointHeartbeat heartbeat;
    heartbeat.incarnation = 5;
    heartbeat.engines = {load};
    heartbeat.included = {{Options().incarnation, included}};
    this->core.OnMessage(box, heartbeat, this->now);
  }

  // Submits a request and returns the offer that follows.  Sets `box` to its receiver.
  Offer SubmitAndGetOffer(RequestInput input, std::string* box) {
    this->core.Submit(std::move(input), this->now);
    return this->NextOffer(box);
  }

  Offer NextOffer(std::string* box) {
    for (const EntryAction& action : this->Actions()) {
      const auto* send = std::get_if<SendToBox>(&action);
      if (send == nullptr) continue;
      const auto* offer = std::get_if<Offer>(&send->message);
      if (offer == nullptr) continue;
      *box = send->box;
      return *offer;
    }
    BOOST_FAIL("no offer was sent");
    return {};
  }

  // Takes the queued actions and records those that concern the caller.
  std::vector<EntryAction> Actions() {
    std::vector<EntryAction> actions = this->core.TakeActions();
    for (const EntryAction& action : actions) {
      if (const auto* part = std::get_if<DeliverText>(&action)) this->text += part->text;
      if (const auto* failed = std::get_if<FailAnswer>(&action)) this->failure = *failed;
      if (std::holds_alternative<FinishAnswer>(action)) this->finished = true;
    }
    return actions;
  }

  void Deliver(const std::string& box, const Message& message) {
    this->core.OnMessage(box, message, this->now);
  }

  // Whether a Cancel for this attempt is among the queued actions.
  bool Cancelled(const AttemptId& id) {
    for (const EntryAction& action : this->Actions()) {
      const auto* send = std::get_if<SendToBox>(&action);
      if (send != nullptr && send->message == Message(Cancel{id})) return true;
    }
    return false;
  }

  ConfigFeed feed;
  EntryCore core;
  Time now = kStart;
  std::string text;
  bool finished = false;
  FailAnswer failure;

 private:
  static EntryOptions Options() {
    EntryOptions options;
    options.incarnation = 9;
    return options;
  }
};

Done MakeDone(const AttemptId& id, uint64_t chunks) {
  Done done;
  done.id = id;
  done.chunks = chunks;
  done.finish_reason = "stop";
  return done;
}

BOOST_AUTO_TEST_CASE(RepeatedChunksAreDeliveredOnce) {
  EntryFixture entry;
  std::string box;
  Offer offer = entry.SubmitAndGetOffer(BasicRequest(100, 10, 1), &box);
  for (uint64_t index : {0u, 0u, 1u, 0u, 1u}) {
    entry.Deliver(box, Chunk{offer.id, index, index == 0 ? "a" : "b", 1});
  }
  entry.Deliver(box, MakeDone(offer.id, 2));
  entry.Actions();
  BOOST_TEST(entry.text == "ab");
  BOOST_TEST(entry.finished);
}

BOOST_AUTO_TEST_CASE(AMissingChunkMovesTheAnswerToAnotherBox) {
  EntryFixture entry;
  std::string box;
  Offer offer = entry.SubmitAndGetOffer(BasicRequest(100, 10, 1), &box);
  entry.Deliver(box, Chunk{offer.id, 0, "a", 1});
  entry.Deliver(box, Chunk{offer.id, 2, "c", 1});
  std::string other;
  Offer second = entry.NextOffer(&other);
  BOOST_TEST(other != box);
  BOOST_TEST((second.prompt == offer.prompt + "a"));
  BOOST_TEST(second.max_tokens == offer.max_tokens - 1);
}

BOOST_AUTO_TEST_CASE(DoneWithAMissingChunkDoesNotFinishTheAnswer) {
  EntryFixture entry;
  std::string box;
  Offer offer = entry.SubmitAndGetOffer(BasicRequest(100, 10, 1), &box);
  entry.Deliver(box, Chunk{offer.id, 0, "a", 1});
  entry.Deliver(box, MakeDone(offer.id, 2));
  entry.Actions();
  BOOST_TEST(!entry.finished);
}

BOOST_AUTO_TEST_CASE(LateChunksOfAnEarlierAttemptAreDroppedAndCancelled) {
  EntryFixture entry;
  std::string box;
  Offer first = entry.SubmitAndGetOffer(BasicRequest(100, 10, 1), &box);
  entry.Deliver(box, Failed{first.id, ResultCode::kEngineFailed, Ran::kUnknown});
  std::string other;
  Offer second = entry.NextOffer(&other);
  entry.Deliver(box, Chunk{first.id, 0, "late", 1});
  BOOST_TEST(entry.Cancelled(first.id));
  entry.Deliver(other, Chunk{second.id, 0, "a", 1});
  // A chunk of the current attempt that comes from another box is dropped as well.
  entry.Deliver(box, Chunk{second.id, 1, "crossed", 1});
  entry.Deliver(other, MakeDone(second.id, 1));
  entry.Actions();
  BOOST_TEST(entry.text == "a");
  BOOST_TEST(entry.finished);
}

BOOST_AUTO_TEST_CASE(AnswersReachTheirOwnCallers) {
  EntryFixture entry;
  std::string box_a;
  std::string box_b;
  Offer a = entry.SubmitAndGetOffer(BasicRequest(100, 10, 1), &box_a);
  Offer b = entry.SubmitAndGetOffer(BasicRequest(100, 10, 2), &box_b);
  entry.Deliver(box_b, Chunk{b.id, 0, "for b", 1});
  entry.Deliver(box_a, Chunk{a.id, 0, "for a", 1});
  std::map<RequestId, std::string> received;
  for (const EntryAction& action : entry.Actions()) {
    if (const auto* text = std::get_if<DeliverText>(&action)) received[text->id] += text->text;
  }
  BOOST_TEST(received[a.id.request] == "for a");
  BOOST_TEST(received[b.id.request] == "for b");
}

// Messages of the only attempt of a request that may not be repeated, and the failure that its
// caller receives.
struct RanRow {
  const char* what;
  std::vector<std::function<Message(const AttemptId&)>> messages;
  ResultCode code;
  Ran ran;
};

Message MakeRefused(const AttemptId& id) { return Refused{id, 0, ResultCode::kNoMemory, 100}; }
Message MakeAccepted(const AttemptId& id) { return Accepted{id}; }
Message MakeChunk(const AttemptId& id) { return Chunk{id, 0, "a", 1}; }
Message MakeFailed(const AttemptId& id) {
  return Failed{id, ResultCode::kEngineFailed, Ran::kUnknown};
}

BOOST_AUTO_TEST_CASE(FailuresReportWhetherTheRequestRan) {
  const std::vector<RanRow> rows = {
      {"no message", {}, ResultCode::kDeadlineExceeded, Ran::kUnknown},
      {"accepted, then no message", {MakeAccepted}, ResultCode::kDeadlineExceeded, Ran::kUnknown},
      {"text, then no message",
       {MakeAccepted, MakeChunk},
       ResultCode::kDeadlineExceeded,
       Ran::kYes},
      {"failed", {MakeAccepted, MakeFailed}, ResultCode::kEngineFailed, Ran::kUnknown},
      {"text, then failed", {MakeChunk, MakeFailed}, ResultCode::kEngineFailed, Ran::kYes},
  };
  for (const RanRow& row : rows) {
    EntryFixture entry;
    std::string box;
    RequestInput input = BasicRequest(100, 10, 1);
    input.repeatable = false;
    input.timeout = seconds(5);
    Offer offer = entry.SubmitAndGetOffer(input, &box);
    for (const auto& message : row.messages) entry.Deliver(box, message(offer.id));
    entry.now += seconds(6);
    entry.core.Tick(entry.now);
    entry.Actions();
    BOOST_TEST((entry.failure.code == row.code), row.what);
    BOOST_TEST((entry.failure.ran == row.ran), row.what);
  }
}

BOOST_AUTO_TEST_CASE(ARefusalAfterAFailedAttemptReportsRanUnknown) {
  EntryFixture entry;
  std::string box;
  Offer first = entry.SubmitAndGetOffer(BasicRequest(100, 10, 1), &box);
  entry.Deliver(box, Failed{first.id, ResultCode::kEngineFailed, Ran::kUnknown});
  std::string other;
  for (int i = 0; i < 2; ++i) {
    Offer next = entry.NextOffer(&other);
    entry.Deliver(other, Refused{next.id, 0, ResultCode::kNoMemory, 100});
  }
  entry.Actions();
  BOOST_TEST((entry.failure.ran == Ran::kUnknown));
}

BOOST_AUTO_TEST_CASE(AnUnansweredOfferMovesToAnotherBox) {
  EntryFixture entry;
  std::string box;
  Offer first = entry.SubmitAndGetOffer(BasicRequest(100, 10, 1), &box);
  entry.now += milliseconds(1100);
  entry.core.Tick(entry.now);
  std::string other;
  Offer second = entry.NextOffer(&other);
  BOOST_TEST(other != box);
  // An accepted attempt has no such timeout.
  entry.Deliver(other, Accepted{second.id});
  entry.now += milliseconds(1100);
  entry.core.Tick(entry.now);
  BOOST_TEST(entry.Actions().empty());
}

BOOST_AUTO_TEST_CASE(AnUnrepeatableRequestMovesOnlyAfterARefusal) {
  EntryFixture entry;
  RequestInput input = BasicRequest(100, 10, 1);
  input.repeatable = false;
  std::string box;
  Offer first = entry.SubmitAndGetOffer(input, &box);
  entry.Deliver(box, MakeRefused(first.id));
  std::string other;
  Offer second = entry.NextOffer(&other);
  BOOST_TEST(other != box);
  entry.core.OnBoxLost(other, entry.now);
  entry.Actions();
  BOOST_TEST((entry.failure.code == ResultCode::kEndpointLost));
  BOOST_TEST((entry.failure.ran == Ran::kUnknown));
}

BOOST_AUTO_TEST_CASE(ARequestRefusedByAllBoxesFailsAtOnce) {
  EntryFixture entry;
  std::string box;
  Offer offer = entry.SubmitAndGetOffer(BasicRequest(100, 10, 1), &box);
  for (int i = 0; i < 2; ++i) {
    entry.Deliver(box, MakeRefused(offer.id));
    offer = entry.NextOffer(&box);
  }
  entry.Deliver(box, MakeRefused(offer.id));
  entry.Actions();
  BOOST_TEST((entry.failure.ran == Ran::kNo));
  BOOST_TEST(entry.failure.retry_after_ms > 0u);
}

BOOST_AUTO_TEST_CASE(ARequestThatCannotFinishInTimeIsRefusedAtOnce) {
  EntryFixture entry;
  RequestInput input = BasicRequest(80'000, 10, 1);
  // 80,000 tokens take four seconds at the reported speed.
  input.timeout = seconds(2);
  entry.core.Submit(input, entry.now);
  entry.Actions();
  BOOST_TEST((entry.failure.code == ResultCode::kOverloaded));
  BOOST_TEST((entry.failure.ran == Ran::kNo));
  BOOST_TEST(entry.failure.retry_after_ms >= 1000u);
}

BOOST_AUTO_TEST_CASE(RetriesStopWhenTheBudgetIsSpent) {
  EntryFixture entry;
  int retried = 0;
  for (int i = 0; i < 60; ++i) {
    // Every attempt fails.  The time that passes exceeds kMaxPenalty, so no engine is left out
    // because of its failures.
    entry.now += seconds(40);
    for (const char* box : {"box-1", "box-2", "box-3"}) entry.Heartbeat(box, 1'000'000);
    std::string box;
    Offer offer = entry.SubmitAndGetOffer(BasicRequest(100, 10, 1), &box);
    entry.failure = {};
    entry.Deliver(box, Failed{offer.id, ResultCode::kEngineFailed, Ran::kUnknown});
    entry.Actions();
    if (entry.failure.code == ResultCode::kRetryBudgetSpent) continue;
    ++retried;
    entry.core.OnCallerGone(offer.id.request, entry.now);
    entry.Actions();
  }
  BOOST_TEST(retried == static_cast<int>(kMaxRetries));
}

BOOST_AUTO_TEST_CASE(DispatchesCountUntilAHeartbeatIncludesThem) {
  EntryFixture entry;
  std::map<std::string, int> sent;
  std::string box;
  for (uint64_t i = 0; i < 30; ++i) {
    entry.SubmitAndGetOffer(BasicRequest(2000, 10, i), &box);
    ++sent[box];
  }
  // The requests are spread evenly, although no heartbeat has arrived in between.
  for (const auto& [name, count] : sent) BOOST_TEST(count == 10, name << " got " << count);
}

BOOST_AUTO_TEST_CASE(PromptsAreSplitBetweenCharacters) {
  // A Hungarian and a Japanese character, of two and three bytes.
  for (const std::string& character : {std::string("\xc5\x91"), std::string("\xe9\x83\xa8")}) {
    EntryFixture entry;
    RequestInput input = BasicRequest(1, 10, 1);
    std::string prompt = "x";
    while (prompt.size() < 1'000'000u) prompt += character;
    input.prompt = std::make_shared<const std::string>(prompt);
    input.timeout = seconds(100);
    entry.core.Submit(input, entry.now);
    std::vector<std::pair<std::string, Reserve>> reserved;
    for (const EntryAction& action : entry.Actions()) {
      const auto* send = std::get_if<SendToBox>(&action);
      const auto* reserve = send == nullptr ? nullptr : std::get_if<Reserve>(&send->message);
      if (reserve != nullptr) reserved.emplace_back(send->box, *reserve);
    }
    BOOST_REQUIRE(reserved.size() == 3u);
    for (const auto& [name, reserve] : reserved) entry.Deliver(name, Reserved{reserve.id, 0});
    std::string joined;
    for (size_t i = 0; i < reserved.size(); ++i) {
      std::string box;
      Offer offer = entry.NextOffer(&box);
      bool begins_inside = (static_cast<unsigned char>(offer.prompt[0]) & 0xc0) == 0x80;
      BOOST_TEST(!begins_inside, "piece " << i);
      joined += offer.prompt;
      Done done = MakeDone(offer.id, 0);
      done.kept = {"address", ToString(offer.id), 1};
      entry.Deliver(box, done);
    }
    BOOST_TEST((joined == prompt));
    entry.Actions();
    BOOST_TEST(entry.finished);
  }
}

BOOST_AUTO_TEST_CASE(EstimatesUseTheMeasuredTokenRate) {
  EntryFixture entry;
  for (uint64_t i = 0; i < 100; ++i) {
    std::string box;
    Offer offer = entry.SubmitAndGetOffer(BasicRequest(100, 200, i), &box);
    for (uint64_t index = 0; index < 100; ++index) {
      entry.Deliver(box, Chunk{offer.id, index, "a", 1});
      entry.now += milliseconds(50);
    }
    entry.Deliver(box, MakeDone(offer.id, 100));
    entry.Actions();
    for (const char* each : {"box-1", "box-2", "box-3"}) entry.Heartbeat(each, 1'000'000);
  }
  // 100 tokens of 50 ms each take five seconds, which exceeds the timeout.
  RequestInput input = BasicRequest(100, 200, 7);
  input.timeout = seconds(3);
  entry.core.Submit(input, entry.now);
  entry.Actions();
  BOOST_TEST((entry.failure.code == ResultCode::kOverloaded));
}

struct RefusalRow {
  const char* what;
  std::function<void(RequestInput*)> change;
  ResultCode code;
};

BOOST_AUTO_TEST_CASE(InvalidRequestsAreRefused) {
  const std::vector<RefusalRow> rows = {
      {"no key", [](RequestInput* r) { r->key_sha256.clear(); }, ResultCode::kMissingKey},
      {"wrong key", [](RequestInput* r) { r->key_sha256 = std::string(64, 'b'); },
       ResultCode::kWrongKey},
      {"unknown model", [](RequestInput* r) { r->model = "other"; }, ResultCode::kUnknownModel},
      {"unknown service", [](RequestInput* r) { r->service = "other"; },
       ResultCode::kUnknownService},
      {"no time", [](RequestInput* r) { r->timeout = Duration(0); }, ResultCode::kTimeTooShort},
      {"over the context", [](RequestInput* r) { r->max_tokens = 2'000'000; },
       ResultCode::kPromptTooLong},
      {"no box of the service", [](RequestInput* r) { r->service = "desk"; },
       ResultCode::kNoEndpoint},
  };
  for (const RefusalRow& row : rows) {
    EntryFixture entry;
    RequestInput input = BasicRequest(100, 10, 1);
    row.change(&input);
    entry.core.Submit(input, entry.now);
    entry.Actions();
    BOOST_TEST((entry.failure.code == row.code), row.what);
    BOOST_TEST((entry.failure.ran == Ran::kNo), row.what);
    BOOST_TEST(entry.core.in_flight() == 0u);
  }
}

BOOST_AUTO_TEST_CASE(ADrainingEntryRefusesNewAndFinishesCurrentRequests) {
  EntryFixture entry;
  std::string box;
  Offer offer = entry.SubmitAndGetOffer(BasicRequest(100, 10, 1), &box);
  entry.core.Drain();
  entry.core.Submit(BasicRequest(100, 10, 2), entry.now);
  entry.Actions();
  BOOST_TEST((entry.failure.code == ResultCode::kDraining));
  entry.Deliver(box, Chunk{offer.id, 0, "a", 1});
  entry.Deliver(box, MakeDone(offer.id, 1));
  entry.Actions();
  BOOST_TEST(entry.finished);
}

BOOST_AUTO_TEST_CASE(ALeavingBoxGetsNoNewRequest) {
  EntryFixture entry;
  entry.core.OnBoxList(1, {"box-1"});
  EndpointHeartbeat leaving;
  leaving.incarnation = 5;
  leaving.leaving = true;
  entry.Deliver("box-2", leaving);
  // A later heartbeat without the flag does not make the box usable again.
  entry.Heartbeat("box-2", 0);
  std::string box;
  for (uint64_t i = 0; i < 5; ++i) {
    entry.SubmitAndGetOffer(BasicRequest(100, 10, i), &box);
    BOOST_TEST(box == "box-3");
  }
}

}  // namespace
}  // namespace gullward
