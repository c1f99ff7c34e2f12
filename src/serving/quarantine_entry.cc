// Encoding and decoding with FlatBuffers; the schema is gullward.fbs.

#include "serving/quarantine_entry.h"

#include <charconv>
#include <limits>

#include "wire/gullward_generated.h"

namespace gullward {
namespace {

constexpr std::string_view kContentPrefix = "quarantine/";
constexpr std::string_view kPartPrefix = "quarantine-part/";
constexpr size_t kDigits = 16;

// The hash in a key that has this prefix; empty if the key is not of that form.
std::optional<uint64_t> HashAfter(std::string_view prefix, std::string_view key) {
  bool is_long_enough = key.size() == prefix.size() + kDigits;
  if (!is_long_enough || key.substr(0, prefix.size()) != prefix) return std::nullopt;
  std::string_view digits = key.substr(prefix.size());
  uint64_t hash = 0;
  auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), hash, /*base=*/16);
  bool is_number = error == std::errc() && end == digits.data() + digits.size();
  return is_number ? std::optional<uint64_t>(hash) : std::nullopt;
}

}  // namespace

std::string QuarantineKey(const Suspect& suspect) {
  return std::string(suspect.is_part() ? kPartPrefix : kContentPrefix) + SuspectName(suspect);
}

std::optional<Suspect> SuspectOfKey(std::string_view key) {
  if (std::optional<uint64_t> content = HashAfter(kContentPrefix, key)) return Suspect(*content);
  std::optional<uint64_t> part = HashAfter(kPartPrefix, key);
  return part ? std::optional<Suspect>(Suspect::OfPart(*part)) : std::nullopt;
}

std::string EncodeQuarantineEntry(const QuarantineEntry& entry) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateQuarantineEntry(builder, static_cast<uint64_t>(entry.until_ms),
                                           builder.CreateString(entry.judged_by), entry.engines));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<QuarantineEntry> DecodeQuarantineEntry(std::string_view value) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(value.data());
  flatbuffers::Verifier verifier(bytes, value.size());
  if (!verifier.VerifyBuffer<fb::QuarantineEntry>(nullptr)) return std::nullopt;
  const auto* packed = flatbuffers::GetRoot<fb::QuarantineEntry>(bytes);
  constexpr uint64_t kMaxTime = std::numeric_limits<int64_t>::max();
  if (packed->judged_by() == nullptr || packed->until_ms() > kMaxTime) return std::nullopt;
  QuarantineEntry entry;
  entry.until_ms = static_cast<int64_t>(packed->until_ms());
  entry.judged_by = packed->judged_by()->str();
  entry.engines = packed->engines();
  return entry;
}

}  // namespace gullward
