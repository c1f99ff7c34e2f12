// Encoding and decoding with FlatBuffers; the schema is gullward.fbs.

#include "serving/crash_records.h"

#include <algorithm>

#include "wire/gullward_generated.h"

namespace gullward {
namespace {

constexpr std::string_view kPrefix = "crashes/";

// Valid times of day are far below this, so differences of two do not overflow.
constexpr uint64_t kMaxUnixMillis = uint64_t{1} << 50;

std::optional<EngineCrash> ReadCrash(const fb::CrashRecord& packed, Time now, int64_t unix_ms) {
  const auto* contents = packed.contents();
  bool is_valid = contents != nullptr && contents->size() > 0 &&
                  contents->size() <= kMaxContentsPerCrash && packed.at_ms() <= kMaxUnixMillis;
  if (!is_valid) return std::nullopt;
  int64_t age_ms = std::max<int64_t>(0, unix_ms - static_cast<int64_t>(packed.at_ms()));
  return EngineCrash{
      packed.engine(), now - milliseconds(age_ms), {contents->begin(), contents->end()}};
}

}  // namespace

std::string CrashesKey(std::string_view box) { return std::string(kPrefix).append(box); }

std::optional<std::string> BoxOfCrashesKey(std::string_view key) {
  if (!key.starts_with(kPrefix)) return std::nullopt;
  return std::string(key.substr(kPrefix.size()));
}

std::string EncodeCrashes(const CrashHistory& history, Time now, int64_t unix_ms) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::CrashRecord>> packed;
  for (const EngineCrash& crash : history.crashes) {
    int64_t at_ms = unix_ms - static_cast<int64_t>(ToMillis(now - crash.at));
    packed.push_back(fb::CreateCrashRecord(builder, crash.engine, static_cast<uint64_t>(at_ms),
                                           builder.CreateVector(crash.contents)));
  }
  auto crashes = builder.CreateVector(packed);
  builder.Finish(fb::CreateCrashRecords(builder, crashes, builder.CreateVector(history.answered)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<CrashHistory> DecodeCrashes(std::string_view value, Time now, int64_t unix_ms) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(value.data());
  flatbuffers::Verifier verifier(bytes, value.size());
  if (!verifier.VerifyBuffer<fb::CrashRecords>(nullptr)) return std::nullopt;
  const auto* packed = flatbuffers::GetRoot<fb::CrashRecords>(bytes);
  const auto* crashes = packed->crashes();
  const auto* answered = packed->answered();
  bool is_valid = crashes != nullptr && crashes->size() <= kMaxStoredCrashes &&
                  answered != nullptr && answered->size() <= kMaxStoredAnswered;
  if (!is_valid) return std::nullopt;
  CrashHistory history{{}, {answered->begin(), answered->end()}};
  for (const fb::CrashRecord* entry : *crashes) {
    std::optional<EngineCrash> crash = ReadCrash(*entry, now, unix_ms);
    if (!crash) return std::nullopt;
    history.crashes.push_back(std::move(*crash));
  }
  return history;
}

}  // namespace gullward
