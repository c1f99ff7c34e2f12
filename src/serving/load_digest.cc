// To and from FlatBuffers; the schema is gullward.fbs.

#include "serving/load_digest.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "wire/gullward_generated.h"

namespace gullward {
namespace {

// Longer than any setting allows; a greater number is a fault and must not overflow.
constexpr uint64_t kMostQuarantineMs = 7ull * 86400 * 1000;

// A day; whatever is older says nothing any more.
constexpr uint64_t kMostAgeUs = 86'400'000'000;

bool IsAmount(double value) { return std::isfinite(value) && value >= 0; }

// Whether all figures are ones that a load can have.  One that is not a number would make
// every price that it enters compare false with all others.
bool IsSane(const fb::EngineLoadEntry& entry) {
  bool counts = entry.requests() >= 0 && entry.writers() >= 0;
  bool amounts =
      IsAmount(entry.context_tokens()) && IsAmount(entry.reading_ms()) && IsAmount(entry.read_ms());
  if (!counts || !amounts) return false;
  if (entry.streams() == nullptr) return true;
  return std::all_of(
      entry.streams()->begin(), entry.streams()->end(), [](const fb::PauseClassEntry* one) {
        return IsAmount(one->pause_ms()) && one->streams() > 0 && IsAmount(one->context_tokens());
      });
}

// Nearly all digests carry no news; these need no bytes for it.
template <typename Struct>
flatbuffers::Offset<flatbuffers::Vector<const Struct*>> VectorOrNone(
    flatbuffers::FlatBufferBuilder* builder, const std::vector<Struct>& entries) {
  if (entries.empty()) return 0;
  return builder->CreateVectorOfStructs(entries);
}

flatbuffers::Optional<uint64_t> ToPacked(std::optional<uint64_t> value) {
  return value ? flatbuffers::Optional<uint64_t>(*value) : flatbuffers::nullopt;
}

flatbuffers::Optional<double> ToPacked(std::optional<double> value) {
  return value ? flatbuffers::Optional<double>(*value) : flatbuffers::nullopt;
}

using PackedNotices =
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::EngineNoticeEntry>>>;

PackedNotices PackNotices(flatbuffers::FlatBufferBuilder* builder,
                          const std::map<std::string, NoticeReport>& notices) {
  if (notices.empty()) return 0;
  std::vector<flatbuffers::Offset<fb::EngineNoticeEntry>> entries;
  for (const auto& [engine, word] : notices) {
    flatbuffers::Offset<fb::EngineLimit> limit;
    if (word.limit) {
      limit = fb::CreateEngineLimit(*builder, ToPacked(word.limit->per_s),
                                    static_cast<uint64_t>(word.limit->age.count()));
    }
    entries.push_back(
        fb::CreateEngineNoticeEntry(*builder, builder->CreateString(engine), limit, word.leaving));
  }
  return builder->CreateVector(entries);
}

// Nothing where it holds a limit that no engine can have named.
std::optional<LimitReport> ReadLimit(const fb::EngineLimit& packed) {
  LimitReport limit;
  limit.age = Duration(static_cast<int64_t>(std::min(packed.age_us(), kMostAgeUs)));
  if (packed.per_s()) limit.per_s = *packed.per_s();
  if (limit.per_s && !IsAmount(*limit.per_s)) return std::nullopt;
  return limit;
}

std::map<std::string, NoticeReport> ReadNotices(const fb::LoadDigest& packed) {
  std::map<std::string, NoticeReport> notices;
  if (packed.notices() == nullptr) return notices;
  for (const fb::EngineNoticeEntry* entry : *packed.notices()) {
    if (entry->engine() == nullptr) continue;
    NoticeReport word;
    if (entry->limit() != nullptr) word.limit = ReadLimit(*entry->limit());
    word.leaving = entry->leaving();
    if (word != NoticeReport{}) notices[entry->engine()->str()] = word;
  }
  return notices;
}

CrashGossip ReadNews(const fb::LoadDigest& packed) {
  CrashGossip news;
  if (packed.crashes() != nullptr) {
    for (const fb::CrashEntry* entry : *packed.crashes()) {
      news.crashes.push_back({entry->content(), entry->engine()});
    }
  }
  if (packed.answered() != nullptr) {
    news.answered.assign(packed.answered()->begin(), packed.answered()->end());
  }
  if (packed.quarantined() != nullptr) {
    for (const fb::QuarantineNews* entry : *packed.quarantined()) {
      uint64_t left_ms = std::min(entry->left_ms(), kMostQuarantineMs);
      news.quarantined.push_back({entry->content(), milliseconds(left_ms)});
    }
  }
  return news;
}

}  // namespace

std::string EncodeDigest(const LoadDigest& digest) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::EngineLoadEntry>> entries;
  for (const auto& [engine, load] : digest.loads) {
    std::vector<fb::PauseClassEntry> streams;
    for (const PauseClass& one : load.streams) {
      streams.emplace_back(static_cast<float>(one.pause_ms), one.streams,
                           static_cast<float>(one.context_tokens));
    }
    entries.push_back(fb::CreateEngineLoadEntry(
        builder, builder.CreateString(engine), load.requests, load.writers,
        static_cast<float>(load.context_tokens), static_cast<float>(load.reading_ms),
        static_cast<float>(load.read_ms), builder.CreateVectorOfStructs(streams)));
  }
  flatbuffers::Offset<fb::FreshnessNote> freshness;
  if (digest.freshness) {
    const FreshnessNote& note = *digest.freshness;
    freshness = fb::CreateFreshnessNote(
        builder, note.round, note.config_version, static_cast<uint64_t>(note.proved_ago.count()),
        note.echoed_round, static_cast<uint64_t>(note.echo_held.count()), note.echoed_incarnation);
  }
  std::vector<flatbuffers::Offset<flatbuffers::String>> set_aside;
  for (const std::string& engine : digest.set_aside) {
    set_aside.push_back(builder.CreateString(engine));
  }
  const CrashGossip& news = digest.crash_gossip;
  std::vector<fb::CrashEntry> crashes;
  for (const CrashReport& crash : news.crashes) crashes.emplace_back(crash.content, crash.engine);
  std::vector<fb::QuarantineNews> quarantined;
  for (const QuarantineReport& word : news.quarantined) {
    quarantined.emplace_back(word.content, ToMillis(word.left));
  }
  builder.Finish(fb::CreateLoadDigest(
      builder, builder.CreateString(digest.box), digest.incarnation, digest.sequence,
      builder.CreateVector(entries), freshness, builder.CreateVector(set_aside),
      digest.engines_copied.fingerprint, digest.engines_read_to, digest.is_offer,
      VectorOrNone(&builder, crashes),
      news.answered.empty() ? 0 : builder.CreateVector(news.answered),
      VectorOrNone(&builder, quarantined), ToPacked(digest.store_epoch), digest.epoch_is_settled,
      digest.engines_copied.revision, PackNotices(&builder, digest.notices)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<LoadDigest> DecodeDigest(std::string_view datagram) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(datagram.data());
  flatbuffers::Verifier verifier(bytes, datagram.size());
  if (!verifier.VerifyBuffer<fb::LoadDigest>(nullptr)) return std::nullopt;
  const auto* packed = flatbuffers::GetRoot<fb::LoadDigest>(bytes);
  if (packed->box() == nullptr || packed->engines() == nullptr) return std::nullopt;
  LoadDigest digest;
  digest.box = packed->box()->str();
  digest.incarnation = packed->incarnation();
  digest.sequence = packed->sequence();
  digest.engines_copied = {packed->engines_copied_revision(), packed->engines_copied()};
  digest.engines_read_to = packed->engines_read_to();
  if (packed->store_epoch()) digest.store_epoch = *packed->store_epoch();
  digest.epoch_is_settled = packed->epoch_is_settled();
  digest.is_offer = packed->is_offer();
  digest.crash_gossip = ReadNews(*packed);
  digest.notices = ReadNotices(*packed);
  if (const fb::FreshnessNote* note = packed->freshness()) {
    FreshnessNote told;
    told.round = note->round();
    told.config_version = note->config_version();
    told.proved_ago = Duration(note->proved_ago_us());
    told.echoed_round = note->echoed_round();
    told.echo_held = Duration(note->echo_held_us());
    told.echoed_incarnation = note->echoed_incarnation();
    digest.freshness = told;
  }
  if (packed->set_aside() != nullptr) {
    for (const flatbuffers::String* engine : *packed->set_aside()) {
      digest.set_aside.insert(engine->str());
    }
  }
  for (const fb::EngineLoadEntry* entry : *packed->engines()) {
    if (entry->engine() == nullptr || !IsSane(*entry)) return std::nullopt;
    EngineLoad load;
    load.requests = entry->requests();
    load.writers = entry->writers();
    load.context_tokens = entry->context_tokens();
    load.reading_ms = entry->reading_ms();
    load.read_ms = entry->read_ms();
    if (entry->streams() != nullptr) {
      for (const fb::PauseClassEntry* one : *entry->streams()) {
        load.streams.push_back({one->pause_ms(), one->streams(), one->context_tokens()});
      }
    }
    digest.loads[entry->engine()->str()] = load;
  }
  return digest;
}

}  // namespace gullward
