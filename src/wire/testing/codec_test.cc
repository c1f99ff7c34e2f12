// Tests that every message and log record is unchanged after encoding and decoding, and that
// truncated, damaged or foreign bytes are rejected without a crash.

#define BOOST_TEST_MODULE codec
#include "wire/codec.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace gullward {
namespace {

const AttemptId kId{{0x1122334455667788u, 42}, 3};

// One message of each kind, with every field set to a distinct value.
std::vector<Message> AllMessages() {
  EngineLoad load{1,
                  "engine",
                  "base",
                  true,
                  1000,
                  900,
                  {1.5, 0, 2.25},
                  7,
                  5e-5,
                  1e-10,
                  2,
                  {{11, 22}, {33, 44}}};
  Offer offer;
  offer.id = kId;
  offer.dispatch = 9;
  offer.engine = 2;
  offer.model = "base";
  offer.prompt = std::string("text with \0 and \xff bytes", 23);
  offer.prompt_tokens = 1234;
  offer.prefixes = {{55, 66}};
  offer.max_tokens = 77;
  offer.priority = 3;
  offer.value = 8;
  offer.deadline_ms = 20'000;
  offer.repeatable = false;
  offer.piece = 1;
  offer.pieces = 3;
  offer.context = {{"127.0.0.1:1", "a.1", 500}};
  offer.config_offset = 12;
  offer.service = "desk";
  offer.method = "POST";
  offer.path = "/entries";
  offer.content_type = "text/plain";
  offer.sampling = "{\"seed\":1}";
  Done done;
  done.id = kId;
  done.chunks = 5;
  done.finish_reason = "stop";
  done.prompt_tokens = 6;
  done.cached_tokens = 7;
  done.completion_tokens = 8;
  done.piece = 1;
  done.kept = {"127.0.0.1:2", "b.2", 600};
  done.status = 201;
  done.content_type = "application/json";
  return {Hello{"box", "zone", 5, 6},
          EntryHeartbeat{1, 2, 3},
          EndpointHeartbeat{4, 5, true, "desk", {load}, {{6, 7}, {8, 9}}},
          Reserve{kId, 1, 2, 3, 4, 5},
          Reserved{kId, 6},
          offer,
          Accepted{kId},
          Refused{kId, 1, ResultCode::kNoMemory, 250},
          Chunk{kId, 4, "part", 2},
          done,
          Failed{kId, ResultCode::kEngineFailed, Ran::kYes},
          Cancel{kId},
          ConfigFetch{17},
          ConfigRecords{{{1, std::string("\0\1", 2)}, {2, ""}}}};
}

std::vector<LogRecord> AllRecords() {
  ConfigChange change{{1, 2},
                      {{"account", "shop", 3, false, "x = 1"}, {"model", "m", -1, true, ""}}};
  ConfigSnapshot snapshot{9, {{"account", "shop", 3, "x = 1"}}};
  ClaimBatch batch{{4, 5},
                   {{ClaimKind::kClaim, 6, kId.request}, {ClaimKind::kRelease, 7, kId.request}}};
  return {change, snapshot, batch};
}

std::string Body(const std::string& frame) { return frame.substr(kFrameHeaderBytes); }

BOOST_AUTO_TEST_CASE(MessagesRoundTrip) {
  std::vector<Message> messages = AllMessages();
  BOOST_TEST(messages.size() == std::variant_size_v<Message>);
  for (size_t i = 0; i < messages.size(); ++i) {
    BOOST_TEST(messages[i].index() == i);
    absl::StatusOr<Message> decoded = DecodeMessage(Body(EncodeFrame(messages[i])));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((*decoded == messages[i]), "message " << i);
  }
}

BOOST_AUTO_TEST_CASE(RecordsRoundTrip) {
  for (const LogRecord& record : AllRecords()) {
    BOOST_TEST((DecodeRecord(EncodeRecord(record)) == record));
  }
}

BOOST_AUTO_TEST_CASE(TruncatedFramesAreRejected) {
  for (const Message& message : AllMessages()) {
    std::string body = Body(EncodeFrame(message));
    for (size_t length = 0; length < body.size(); ++length) {
      absl::StatusOr<Message> decoded = DecodeMessage(body.substr(0, length));
      // If only padding at the end is missing, the message may still be whole.
      if (decoded.ok()) BOOST_TEST((*decoded == message));
    }
  }
}

BOOST_AUTO_TEST_CASE(DamagedFramesAreRejectedOrDecodedWithoutCrash) {
  std::mt19937_64 random(1);
  int rejected = 0;
  for (const Message& message : AllMessages()) {
    std::string body = Body(EncodeFrame(message));
    for (int round = 0; round < 2000; ++round) {
      std::string damaged = body;
      for (int changes = 0; changes < 3; ++changes) {
        damaged[random() % damaged.size()] = static_cast<char>(random());
      }
      if (!DecodeMessage(damaged).ok()) ++rejected;
    }
  }
  BOOST_TEST(rejected > 1000);
}

BOOST_AUTO_TEST_CASE(BytesThatAreNoRecordDecodeToUnknownRecord) {
  BOOST_TEST((DecodeRecord("") == LogRecord(UnknownRecord{})));
  BOOST_TEST((DecodeRecord("not a record at all, only text") == LogRecord(UnknownRecord{})));
  BOOST_TEST((DecodeRecord(Body(EncodeFrame(AllMessages()[0]))) == LogRecord(UnknownRecord{})));
}

}  // namespace
}  // namespace gullward
