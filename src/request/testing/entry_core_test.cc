// Messages that TCP would not reorder but a restart, a retry or a bug may: late,
// doubled, crossed and missing parts, and what is said of "ran".

#define BOOST_TEST_MODULE entry_core
#include "request/entry_core.h"

#include <boost/test/unit_test.hpp>

#include "config/config_file.h"
#include "trial/world.h"
#include "wire/codec.h"

namespace gullward {
namespace {

constexpr Time kStart{std::chrono::seconds(1000)};

// An entry with three endpoint boxes that have been heard of.
class Entry {
 public:
  Entry() : core(Options(), &this->feed, kStart) {
    std::vector<ConfigError> errors;
    auto file = ParseConfigFile(BasicConfig(), "test", &errors);
    ConfigChange change = MakeChange(*file, this->feed.state(), {1, 1});
    this->feed.ApplyLogRecords(0, {{0, EncodeRecord(change)}});
    this->core.OnConfigChanged();
    for (const char* box : {"box-1", "box-2", "box-3"}) this->Heartbeat(box, 0);
  }

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

  // Submits and returns the offer that follows and its box.
  Offer SubmitAndOffer(RequestInput input, std::string* box) {
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

  std::vector<EntryAction> Actions() {
    std::vector<EntryAction> actions = this->core.TakeActions();
    for (const EntryAction& action : actions) {
      if (const auto* part = std::get_if<DeliverText>(&action)) this->text += part->text;
      if (const auto* failed = std::get_if<FailAnswer>(&action)) this->failure = *failed;
      if (std::holds_alternative<FinishAnswer>(action)) this->finished = true;
    }
    return actions;
  }

  void Say(const std::string& box, const Message& message) {
    this->core.OnMessage(box, message, this->now);
  }

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

Done DoneOf(const AttemptId& id, uint64_t chunks) {
  Done done;
  done.id = id;
  done.chunks = chunks;
  done.finish_reason = "stop";
  return done;
}

BOOST_AUTO_TEST_CASE(DoubledChunksPassOnce) {
  Entry entry;
  std::string box;
  Offer offer = entry.SubmitAndOffer(BasicRequest(100, 10, 1), &box);
  for (uint64_t index : {0u, 0u, 1u, 0u, 1u}) {
    entry.Say(box, Chunk{offer.id, index, index == 0 ? "a" : "b", 1});
  }
  entry.Say(box, DoneOf(offer.id, 2));
  entry.Actions();
  BOOST_TEST(entry.text == "ab");
  BOOST_TEST(entry.finished);
}

BOOST_AUTO_TEST_CASE(AGapBreaksTheAttemptAndTheAnswerGoesOnElsewhere) {
  Entry entry;
  std::string box;
  Offer offer = entry.SubmitAndOffer(BasicRequest(100, 10, 1), &box);
  entry.Say(box, Chunk{offer.id, 0, "a", 1});
  entry.Say(box, Chunk{offer.id, 2, "c", 1});
  std::string other;
  Offer second = entry.NextOffer(&other);
  BOOST_TEST(other != box);
  BOOST_TEST((second.prompt == offer.prompt + "a"));
  BOOST_TEST(second.max_tokens == offer.max_tokens - 1);
}

BOOST_AUTO_TEST_CASE(ADoneThatCountsMoreChunksIsNoEnd) {
  Entry entry;
  std::string box;
  Offer offer = entry.SubmitAndOffer(BasicRequest(100, 10, 1), &box);
  entry.Say(box, Chunk{offer.id, 0, "a", 1});
  entry.Say(box, DoneOf(offer.id, 2));
  entry.Actions();
  BOOST_TEST(!entry.finished);
}

BOOST_AUTO_TEST_CASE(LateChunksOfAnEarlierAttemptAreDroppedAndCancelled) {
  Entry entry;
  std::string box;
  Offer first = entry.SubmitAndOffer(BasicRequest(100, 10, 1), &box);
  entry.Say(box, Failed{first.id, ResultCode::kEngineFailed, Ran::kUnknown});
  std::string other;
  Offer second = entry.NextOffer(&other);
  entry.Say(box, Chunk{first.id, 0, "late", 1});
  BOOST_TEST(entry.Cancelled(first.id));
  entry.Say(other, Chunk{second.id, 0, "a", 1});
  // Nor may another box speak for the attempt under way.
  entry.Say(box, Chunk{second.id, 1, "crossed", 1});
  entry.Say(other, DoneOf(second.id, 1));
  entry.Actions();
  BOOST_TEST(entry.text == "a");
  BOOST_TEST(entry.finished);
}

BOOST_AUTO_TEST_CASE(AnswersDoNotCrossBetweenCallers) {
  Entry entry;
  std::string box_a;
  std::string box_b;
  Offer a = entry.SubmitAndOffer(BasicRequest(100, 10, 1), &box_a);
  Offer b = entry.SubmitAndOffer(BasicRequest(100, 10, 2), &box_b);
  entry.Say(box_b, Chunk{b.id, 0, "for b", 1});
  entry.Say(box_a, Chunk{a.id, 0, "for a", 1});
  std::map<RequestId, std::string> got;
  for (const EntryAction& action : entry.Actions()) {
    if (const auto* text = std::get_if<DeliverText>(&action)) got[text->id] += text->text;
  }
  BOOST_TEST(got[a.id.request] == "for a");
  BOOST_TEST(got[b.id.request] == "for b");
}

// What a request that may not be repeated is told of whether it ran.
struct RanRow {
  const char* what;
  std::vector<std::function<Message(const AttemptId&)>> messages;
  ResultCode code;
  Ran ran;
};

Message SayRefused(const AttemptId& id) { return Refused{id, 0, ResultCode::kNoMemory, 100}; }
Message SayAccepted(const AttemptId& id) { return Accepted{id}; }
Message SayChunk(const AttemptId& id) { return Chunk{id, 0, "a", 1}; }
Message SayFailed(const AttemptId& id) {
  return Failed{id, ResultCode::kEngineFailed, Ran::kUnknown};
}

BOOST_AUTO_TEST_CASE(WhatIsSaidOfRan) {
  const std::vector<RanRow> rows = {
      {"silence", {}, ResultCode::kDeadlineExceeded, Ran::kUnknown},
      {"accepted, then silence", {SayAccepted}, ResultCode::kDeadlineExceeded, Ran::kUnknown},
      {"text, then silence", {SayAccepted, SayChunk}, ResultCode::kDeadlineExceeded, Ran::kYes},
      {"broke", {SayAccepted, SayFailed}, ResultCode::kEngineFailed, Ran::kUnknown},
      {"text, then broke", {SayChunk, SayFailed}, ResultCode::kEngineFailed, Ran::kYes},
  };
  for (const RanRow& row : rows) {
    Entry entry;
    std::string box;
    RequestInput input = BasicRequest(100, 10, 1);
    input.repeatable = false;
    input.timeout = seconds(5);
    Offer offer = entry.SubmitAndOffer(input, &box);
    for (const auto& message : row.messages) entry.Say(box, message(offer.id));
    entry.now += seconds(6);
    entry.core.Tick(entry.now);
    entry.Actions();
    BOOST_TEST((entry.failure.code == row.code), row.what);
    BOOST_TEST((entry.failure.ran == row.ran), row.what);
  }
}

BOOST_AUTO_TEST_CASE(ARefusalAfterABrokenAttemptLeavesItUnknown) {
  Entry entry;
  std::string box;
  Offer first = entry.SubmitAndOffer(BasicRequest(100, 10, 1), &box);
  entry.Say(box, Failed{first.id, ResultCode::kEngineFailed, Ran::kUnknown});
  std::string other;
  for (int i = 0; i < 2; ++i) {
    Offer next = entry.NextOffer(&other);
    entry.Say(other, Refused{next.id, 0, ResultCode::kNoMemory, 100});
  }
  entry.Actions();
  BOOST_TEST((entry.failure.ran == Ran::kUnknown));
}

BOOST_AUTO_TEST_CASE(ASilentBoxIsNotWaitedForLong) {
  Entry entry;
  std::string box;
  Offer first = entry.SubmitAndOffer(BasicRequest(100, 10, 1), &box);
  entry.now += milliseconds(1100);
  entry.core.Tick(entry.now);
  std::string other;
  Offer second = entry.NextOffer(&other);
  BOOST_TEST(other != box);
  // Once accepted, an attempt is left to work.
  entry.Say(other, Accepted{second.id});
  entry.now += milliseconds(1100);
  entry.core.Tick(entry.now);
  BOOST_TEST(entry.Actions().empty());
}

BOOST_AUTO_TEST_CASE(OnlyARefusalMovesWhatMayNotBeRepeated) {
  Entry entry;
  RequestInput input = BasicRequest(100, 10, 1);
  input.repeatable = false;
  std::string box;
  Offer first = entry.SubmitAndOffer(input, &box);
  entry.Say(box, SayRefused(first.id));
  std::string other;
  Offer second = entry.NextOffer(&other);
  BOOST_TEST(other != box);
  entry.core.OnBoxLost(other, entry.now);
  entry.Actions();
  BOOST_TEST((entry.failure.code == ResultCode::kEndpointLost));
  BOOST_TEST((entry.failure.ran == Ran::kUnknown));
}

BOOST_AUTO_TEST_CASE(WhenAllRefuseItIsSaidAtOnce) {
  Entry entry;
  std::string box;
  Offer offer = entry.SubmitAndOffer(BasicRequest(100, 10, 1), &box);
  for (int i = 0; i < 2; ++i) {
    entry.Say(box, SayRefused(offer.id));
    offer = entry.NextOffer(&box);
  }
  entry.Say(box, SayRefused(offer.id));
  entry.Actions();
  BOOST_TEST((entry.failure.ran == Ran::kNo));
  BOOST_TEST(entry.failure.retry_after_ms > 0u);
}

BOOST_AUTO_TEST_CASE(WhatCannotFinishInTimeIsRefusedAtOnce) {
  Entry entry;
  RequestInput input = BasicRequest(80'000, 10, 1);
  // 80,000 tokens take four seconds at the reported speed.
  input.timeout = seconds(2);
  entry.core.Submit(input, entry.now);
  entry.Actions();
  BOOST_TEST((entry.failure.code == ResultCode::kOverloaded));
  BOOST_TEST((entry.failure.ran == Ran::kNo));
  BOOST_TEST(entry.failure.retry_after_ms >= 1000u);
}

BOOST_AUTO_TEST_CASE(RetriesStopWithTheBudget) {
  Entry entry;
  int retried = 0;
  for (int i = 0; i < 60; ++i) {
    // All boxes break everything, but are not left out for it here.
    entry.now += seconds(40);
    for (const char* box : {"box-1", "box-2", "box-3"}) entry.Heartbeat(box, 1'000'000);
    std::string box;
    Offer offer = entry.SubmitAndOffer(BasicRequest(100, 10, 1), &box);
    entry.failure = {};
    entry.Say(box, Failed{offer.id, ResultCode::kEngineFailed, Ran::kUnknown});
    entry.Actions();
    if (entry.failure.code == ResultCode::kRetryBudgetSpent) continue;
    ++retried;
    entry.core.OnCallerGone(offer.id.request, entry.now);
    entry.Actions();
  }
  BOOST_TEST(retried == static_cast<int>(kMaxRetries));
}

BOOST_AUTO_TEST_CASE(OwnDispatchesCountUntilAReportIncludesThem) {
  Entry entry;
  std::map<std::string, int> sent;
  std::string box;
  for (uint64_t i = 0; i < 30; ++i) {
    entry.SubmitAndOffer(BasicRequest(2000, 10, i), &box);
    ++sent[box];
  }
  // No report came in between, and still nobody was herded upon.
  for (const auto& [name, count] : sent) BOOST_TEST(count == 10, name << " got " << count);
}

BOOST_AUTO_TEST_CASE(PiecesAreCutBetweenCharacters) {
  // Hungarian and Japanese text: characters of two and three bytes.
  for (const std::string& character : {std::string("\xc5\x91"), std::string("\xe9\x83\xa8")}) {
    Entry entry;
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
    for (const auto& [name, reserve] : reserved) entry.Say(name, Reserved{reserve.id, 0});
    std::string joined;
    for (size_t i = 0; i < reserved.size(); ++i) {
      std::string box;
      Offer offer = entry.NextOffer(&box);
      // No piece begins inside a character.
      bool inside = (static_cast<unsigned char>(offer.prompt[0]) & 0xc0) == 0x80;
      BOOST_TEST(!inside, "piece " << i);
      joined += offer.prompt;
      Done done = DoneOf(offer.id, 0);
      done.kept = {"address", ToString(offer.id), 1};
      entry.Say(box, done);
    }
    BOOST_TEST((joined == prompt));
    entry.Actions();
    BOOST_TEST(entry.finished);
  }
}

BOOST_AUTO_TEST_CASE(ThePaceOfAnswersIsLearned) {
  Entry entry;
  for (uint64_t i = 0; i < 100; ++i) {
    std::string box;
    Offer offer = entry.SubmitAndOffer(BasicRequest(100, 200, i), &box);
    for (uint64_t index = 0; index < 100; ++index) {
      entry.Say(box, Chunk{offer.id, index, "a", 1});
      entry.now += milliseconds(50);
    }
    entry.Say(box, DoneOf(offer.id, 100));
    entry.Actions();
    for (const char* each : {"box-1", "box-2", "box-3"}) entry.Heartbeat(each, 1'000'000);
  }
  // A hundred tokens of 50 ms each take five seconds: three are not enough.
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

BOOST_AUTO_TEST_CASE(RefusalsAtTheDoor) {
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
      {"nobody serves the service", [](RequestInput* r) { r->service = "desk"; },
       ResultCode::kNoEndpoint},
  };
  for (const RefusalRow& row : rows) {
    Entry entry;
    RequestInput input = BasicRequest(100, 10, 1);
    row.change(&input);
    entry.core.Submit(input, entry.now);
    entry.Actions();
    BOOST_TEST((entry.failure.code == row.code), row.what);
    BOOST_TEST((entry.failure.ran == Ran::kNo), row.what);
    BOOST_TEST(entry.core.in_flight() == 0u);
  }
}

BOOST_AUTO_TEST_CASE(ADrainingEntryRefusesAndFinishes) {
  Entry entry;
  std::string box;
  Offer offer = entry.SubmitAndOffer(BasicRequest(100, 10, 1), &box);
  entry.core.Drain();
  entry.core.Submit(BasicRequest(100, 10, 2), entry.now);
  entry.Actions();
  BOOST_TEST((entry.failure.code == ResultCode::kDraining));
  entry.Say(box, Chunk{offer.id, 0, "a", 1});
  entry.Say(box, DoneOf(offer.id, 1));
  entry.Actions();
  BOOST_TEST(entry.finished);
}

BOOST_AUTO_TEST_CASE(ALeavingBoxGetsNothingNew) {
  Entry entry;
  entry.core.OnBoxList(1, {"box-1"});
  EndpointHeartbeat leaving;
  leaving.incarnation = 5;
  leaving.leaving = true;
  entry.Say("box-2", leaving);
  // A later report that forgets to say so does not bring it back.
  entry.Heartbeat("box-2", 0);
  std::string box;
  for (uint64_t i = 0; i < 5; ++i) {
    entry.SubmitAndOffer(BasicRequest(100, 10, i), &box);
    BOOST_TEST(box == "box-3");
  }
}

}  // namespace
}  // namespace gullward
