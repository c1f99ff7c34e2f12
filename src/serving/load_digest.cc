// Encoding and decoding with FlatBuffers; the schema is gullward.fbs.

#include "serving/load_digest.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "overload/ranks.h"
#include "wire/gullward_generated.h"

namespace gullward {
namespace {

// Exceeds every quarantine that the settings allow.  A larger value is invalid, and clamping it
// prevents an overflow.
constexpr uint64_t kMaxQuarantineMs = 7ull * 86400 * 1000;

// One day.  A larger age is reduced to this: such an old limit is no longer relevant.
constexpr uint64_t kMaxAgeUs = 86'400'000'000;

bool IsFiniteNonNegative(double value) { return std::isfinite(value) && value >= 0; }

// Whether all values are in range.  A NaN would make every cost that is computed from it compare
// false with all others.
bool IsValidLoad(const fb::EngineLoadEntry& entry) {
  bool are_counts_valid = entry.requests() >= 0 && entry.writers() >= 0;
  bool are_amounts_valid = IsFiniteNonNegative(entry.context_tokens()) &&
                           IsFiniteNonNegative(entry.reading_ms()) &&
                           IsFiniteNonNegative(entry.read_ms());
  if (!are_counts_valid || !are_amounts_valid) return false;
  if (entry.streams() == nullptr) return true;
  return std::all_of(
      entry.streams()->begin(), entry.streams()->end(), [](const fb::PauseClassEntry* pause_class) {
        return IsFiniteNonNegative(pause_class->pause_ms()) && pause_class->streams() > 0 &&
               IsFiniteNonNegative(pause_class->context_tokens());
      });
}

// Leaves an empty vector out: most digests carry no gossip.
template <typename Struct>
flatbuffers::Offset<flatbuffers::Vector<const Struct*>> VectorOrNull(
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

flatbuffers::Optional<uint64_t> PackAge(std::optional<Duration> age) {
  return age ? flatbuffers::Optional<uint64_t>(static_cast<uint64_t>(age->count()))
             : flatbuffers::nullopt;
}

// Empty if the age is too large.
std::optional<Duration> ReadAge(std::optional<uint64_t> us) {
  if (!us || *us > kMaxAgeUs) return std::nullopt;
  return Duration(static_cast<int64_t>(*us));
}

using NoticeOffset =
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::EngineNoticeEntry>>>;

NoticeOffset PackNotices(flatbuffers::FlatBufferBuilder* builder,
                         const std::map<std::string, NoticeReport>& notices) {
  if (notices.empty()) return 0;
  std::vector<flatbuffers::Offset<fb::EngineNoticeEntry>> entries;
  for (const auto& [engine, report] : notices) {
    flatbuffers::Offset<fb::EngineLimit> limit;
    if (report.limit) {
      limit = fb::CreateEngineLimit(*builder, ToPacked(report.limit->per_s),
                                    static_cast<uint64_t>(report.limit->age.count()));
    }
    entries.push_back(fb::CreateEngineNoticeEntry(*builder, builder->CreateString(engine), limit,
                                                  report.leaving));
  }
  return builder->CreateVector(entries);
}

// Empty if the limit's rate is negative or not finite.
std::optional<LimitReport> ReadLimit(const fb::EngineLimit& packed) {
  LimitReport limit;
  limit.age = Duration(static_cast<int64_t>(std::min(packed.age_us(), kMaxAgeUs)));
  if (packed.per_s()) limit.per_s = *packed.per_s();
  if (limit.per_s && !IsFiniteNonNegative(*limit.per_s)) return std::nullopt;
  return limit;
}

std::map<std::string, NoticeReport> ReadNotices(const fb::LoadDigest& packed) {
  std::map<std::string, NoticeReport> notices;
  if (packed.notices() == nullptr) return notices;
  for (const fb::EngineNoticeEntry* entry : *packed.notices()) {
    if (entry->engine() == nullptr) continue;
    NoticeReport report;
    if (entry->limit() != nullptr) report.limit = ReadLimit(*entry->limit());
    report.leaving = entry->leaving();
    if (report != NoticeReport{}) notices[entry->engine()->str()] = report;
  }
  return notices;
}

using StreamRanks = flatbuffers::Vector<uint8_t>;

// Absent where all ranks are equal.
flatbuffers::Offset<StreamRanks> PackStreamRanks(flatbuffers::FlatBufferBuilder* builder,
                                                 const std::vector<PauseClass>& streams) {
  std::vector<uint8_t> ranks;
  for (const PauseClass& pause_class : streams) {
    ranks.push_back(static_cast<uint8_t>(pause_class.rank_steps));
  }
  bool differ = std::any_of(ranks.begin(), ranks.end(), [](uint8_t rank) { return rank != 0; });
  return differ ? builder->CreateVector(ranks) : 0;
}

// Streams without a valid rank count as the most urgent.
void ReadStreamRanks(const StreamRanks* ranks, std::vector<PauseClass>* streams) {
  if (ranks == nullptr || ranks->size() != streams->size()) return;
  if (!std::all_of(ranks->begin(), ranks->end(), [](uint8_t rank) { return IsRank(rank); })) return;
  for (size_t i = 0; i < streams->size(); ++i) {
    (*streams)[i].rank_steps = ranks->Get(static_cast<flatbuffers::uoffset_t>(i));
  }
}

using PacesOffset =
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::EnginePaceEntry>>>;

PacesOffset PackPaces(flatbuffers::FlatBufferBuilder* builder,
                      const std::map<std::string, PaceReport>& paces) {
  if (paces.empty()) return 0;
  std::vector<flatbuffers::Offset<fb::EnginePaceEntry>> entries;
  for (const auto& [engine, report] : paces) {
    entries.push_back(fb::CreateEnginePaceEntry(*builder, builder->CreateString(engine),
                                                report.pace,
                                                static_cast<uint64_t>(report.age.count())));
  }
  return builder->CreateVector(entries);
}

using WorkOffset =
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::WorkTallyEntry>>>;

WorkOffset PackWork(flatbuffers::FlatBufferBuilder* builder,
                    const std::map<WorkKey, WorkSums>& work) {
  if (work.empty()) return 0;
  std::vector<flatbuffers::Offset<fb::WorkTallyEntry>> entries;
  for (const auto& [key, sums] : work) {
    entries.push_back(fb::CreateWorkTallyEntry(*builder, builder->CreateString(key.service),
                                               builder->CreateString(key.route), sums.asked,
                                               sums.refused, sums.engine_seconds, sums.value));
  }
  return builder->CreateVector(entries);
}

std::map<std::string, PaceReport> ReadPaces(const fb::LoadDigest& packed) {
  std::map<std::string, PaceReport> paces;
  if (packed.paces() == nullptr) return paces;
  for (const fb::EnginePaceEntry* entry : *packed.paces()) {
    if (entry->engine() == nullptr || entry->age_us() > kMaxAgeUs) continue;
    PaceReport report{entry->pace(), Duration(static_cast<int64_t>(entry->age_us()))};
    if (IsValid(report)) paces[entry->engine()->str()] = report;
  }
  return paces;
}

bool IsEmpty(const flatbuffers::String* text) { return text == nullptr || text->size() == 0; }

std::map<WorkKey, WorkSums> ReadWork(const fb::LoadDigest& packed) {
  std::map<WorkKey, WorkSums> work;
  if (packed.tallies() == nullptr) return work;
  for (const fb::WorkTallyEntry* entry : *packed.tallies()) {
    if (work.size() >= LoadDigest::kMaxWorkEntries) break;
    WorkSums sums{entry->asked(), entry->refused(), entry->engine_seconds(), entry->value()};
    if (IsEmpty(entry->service()) || IsEmpty(entry->route()) || !IsValidWork(sums)) continue;
    work[{entry->service()->str(), entry->route()->str()}] = sums;
  }
  return work;
}

using PackedHashes = flatbuffers::Vector<uint64_t>;
using PackedCrashes = flatbuffers::Vector<const fb::CrashEntry*>;
using PackedQuarantines = flatbuffers::Vector<const fb::QuarantineNews*>;

Suspect SuspectFrom(SuspectKind kind, uint64_t hash) {
  return kind == SuspectKind::kPart ? Suspect::OfPart(hash) : Suspect(hash);
}

flatbuffers::Offset<PackedHashes> PackHashes(flatbuffers::FlatBufferBuilder* builder,
                                             const std::vector<Suspect>& suspects,
                                             SuspectKind kind) {
  std::vector<uint64_t> hashes;
  for (const Suspect& suspect : suspects) {
    if (suspect.kind == kind) hashes.push_back(suspect.hash);
  }
  return hashes.empty() ? 0 : builder->CreateVector(hashes);
}

flatbuffers::Offset<PackedCrashes> PackCrashes(flatbuffers::FlatBufferBuilder* builder,
                                               const std::vector<CrashReport>& reports,
                                               SuspectKind kind) {
  std::vector<fb::CrashEntry> entries;
  for (const CrashReport& report : reports) {
    if (report.suspect.kind == kind) entries.emplace_back(report.suspect.hash, report.engine);
  }
  return VectorOrNull(builder, entries);
}

flatbuffers::Offset<PackedQuarantines> PackQuarantines(flatbuffers::FlatBufferBuilder* builder,
                                                       const std::vector<QuarantineReport>& reports,
                                                       SuspectKind kind) {
  std::vector<fb::QuarantineNews> entries;
  for (const QuarantineReport& report : reports) {
    if (report.suspect.kind == kind) {
      entries.emplace_back(report.suspect.hash, ToMillis(report.left));
    }
  }
  return VectorOrNull(builder, entries);
}

void ReadHashes(const PackedHashes* packed, SuspectKind kind, std::vector<Suspect>* suspects) {
  if (packed == nullptr) return;
  for (uint64_t hash : *packed) suspects->push_back(SuspectFrom(kind, hash));
}

void ReadCrashes(const PackedCrashes* packed, SuspectKind kind, std::vector<CrashReport>* reports) {
  if (packed == nullptr) return;
  for (const fb::CrashEntry* entry : *packed) {
    reports->push_back({SuspectFrom(kind, entry->content()), entry->engine()});
  }
}

void ReadQuarantines(const PackedQuarantines* packed, SuspectKind kind,
                     std::vector<QuarantineReport>* reports) {
  if (packed == nullptr) return;
  for (const fb::QuarantineNews* entry : *packed) {
    uint64_t left_ms = std::min(entry->left_ms(), kMaxQuarantineMs);
    reports->push_back({SuspectFrom(kind, entry->content()), milliseconds(left_ms)});
  }
}

CrashGossip ReadCrashGossip(const fb::LoadDigest& packed) {
  CrashGossip gossip;
  ReadCrashes(packed.crashes(), SuspectKind::kContent, &gossip.crashes);
  ReadCrashes(packed.part_crashes(), SuspectKind::kPart, &gossip.crashes);
  ReadHashes(packed.answered(), SuspectKind::kContent, &gossip.answered);
  ReadHashes(packed.parts_answered(), SuspectKind::kPart, &gossip.answered);
  ReadHashes(packed.answered_before(), SuspectKind::kContent, &gossip.answered_before);
  ReadHashes(packed.parts_answered_before(), SuspectKind::kPart, &gossip.answered_before);
  ReadQuarantines(packed.quarantined(), SuspectKind::kContent, &gossip.quarantined);
  ReadQuarantines(packed.parts_quarantined(), SuspectKind::kPart, &gossip.quarantined);
  return gossip;
}

using PromiseOffset =
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::ReturnPromiseEntry>>>;

PromiseOffset PackPromises(flatbuffers::FlatBufferBuilder* builder,
                           const std::vector<ReturnPromise>& promises) {
  if (promises.empty()) return 0;
  std::vector<flatbuffers::Offset<fb::ReturnPromiseEntry>> entries;
  for (const ReturnPromise& promise : promises) {
    int64_t due_ms = std::chrono::duration_cast<milliseconds>(promise.due_in).count();
    entries.push_back(fb::CreateReturnPromiseEntry(
        *builder, promise.content, builder->CreateString(promise.service), due_ms,
        promise.engine_seconds, static_cast<uint8_t>(promise.rank_steps), promise.is_kept));
  }
  return builder->CreateVector(entries);
}

// Leaves out promises with values out of range.
std::vector<ReturnPromise> ReadPromises(const fb::LoadDigest& packed) {
  std::vector<ReturnPromise> promises;
  if (packed.return_promises() == nullptr) return promises;
  constexpr int64_t kMaxDueMs =
      std::chrono::duration_cast<milliseconds>(ReturnBook::kMaxDue).count();
  for (const fb::ReturnPromiseEntry* entry : *packed.return_promises()) {
    bool fits = entry->due_ms() >= -kMaxDueMs && entry->due_ms() <= kMaxDueMs;
    if (!fits || entry->service() == nullptr) continue;
    ReturnPromise promise{entry->content(),        entry->service()->str(),
                          entry->rank(),           milliseconds(entry->due_ms()),
                          entry->engine_seconds(), entry->is_kept()};
    if (ReturnBook::IsValid(promise)) promises.push_back(std::move(promise));
  }
  return promises;
}

}  // namespace

std::string EncodeDigest(const LoadDigest& digest) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::EngineLoadEntry>> entries;
  for (const auto& [engine, load] : digest.loads) {
    std::vector<fb::PauseClassEntry> streams;
    for (const PauseClass& pause_class : load.streams) {
      streams.emplace_back(static_cast<float>(pause_class.pause_ms), pause_class.streams,
                           static_cast<float>(pause_class.context_tokens));
    }
    entries.push_back(fb::CreateEngineLoadEntry(
        builder, builder.CreateString(engine), load.requests, load.writers,
        static_cast<float>(load.context_tokens), static_cast<float>(load.reading_ms),
        static_cast<float>(load.read_ms), builder.CreateVectorOfStructs(streams),
        PackStreamRanks(&builder, load.streams)));
  }
  flatbuffers::Offset<fb::FreshnessNote> freshness;
  if (digest.freshness) {
    const FreshnessNote& note = *digest.freshness;
    freshness = fb::CreateFreshnessNote(
        builder, note.round, note.config_version, static_cast<uint64_t>(note.proved_ago.count()),
        note.echoed_round, static_cast<uint64_t>(note.echo_held.count()), note.echoed_incarnation,
        PackAge(note.topic_proved_ago), PackAge(note.engines_proved_ago));
  }
  std::vector<flatbuffers::Offset<flatbuffers::String>> set_aside;
  for (const std::string& engine : digest.set_aside) {
    set_aside.push_back(builder.CreateString(engine));
  }
  const CrashGossip& gossip = digest.crash_gossip;
  constexpr SuspectKind kContent = SuspectKind::kContent;
  constexpr SuspectKind kPart = SuspectKind::kPart;
  builder.Finish(fb::CreateLoadDigest(
      builder, builder.CreateString(digest.box), digest.incarnation, digest.sequence,
      builder.CreateVector(entries), freshness, builder.CreateVector(set_aside),
      digest.engines_copied.fingerprint, digest.engines_read_to, digest.is_offer,
      PackCrashes(&builder, gossip.crashes, kContent),
      PackHashes(&builder, gossip.answered, kContent),
      PackQuarantines(&builder, gossip.quarantined, kContent), ToPacked(digest.store_epoch),
      digest.epoch_is_settled, digest.engines_copied.revision,
      PackNotices(&builder, digest.notices), digest.operator_read_to,
      PackHashes(&builder, gossip.answered_before, kContent), PackPaces(&builder, digest.paces),
      PackWork(&builder, digest.work), PackPromises(&builder, digest.return_promises),
      PackCrashes(&builder, gossip.crashes, kPart), PackHashes(&builder, gossip.answered, kPart),
      PackQuarantines(&builder, gossip.quarantined, kPart),
      PackHashes(&builder, gossip.answered_before, kPart)));
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
  digest.operator_read_to = packed->operator_read_to();
  if (packed->store_epoch()) digest.store_epoch = *packed->store_epoch();
  digest.epoch_is_settled = packed->epoch_is_settled();
  digest.is_offer = packed->is_offer();
  digest.crash_gossip = ReadCrashGossip(*packed);
  digest.notices = ReadNotices(*packed);
  digest.paces = ReadPaces(*packed);
  digest.return_promises = ReadPromises(*packed);
  digest.work = ReadWork(*packed);
  if (const fb::FreshnessNote* note = packed->freshness()) {
    FreshnessNote received;
    received.round = note->round();
    received.config_version = note->config_version();
    received.proved_ago = Duration(note->proved_ago_us());
    received.echoed_round = note->echoed_round();
    received.echo_held = Duration(note->echo_held_us());
    received.echoed_incarnation = note->echoed_incarnation();
    received.topic_proved_ago = ReadAge(note->topic_proved_ago_us());
    received.engines_proved_ago = ReadAge(note->engines_proved_ago_us());
    digest.freshness = received;
  }
  if (packed->set_aside() != nullptr) {
    for (const flatbuffers::String* engine : *packed->set_aside()) {
      digest.set_aside.insert(engine->str());
    }
  }
  for (const fb::EngineLoadEntry* entry : *packed->engines()) {
    if (entry->engine() == nullptr || !IsValidLoad(*entry)) return std::nullopt;
    EngineLoad load;
    load.requests = entry->requests();
    load.writers = entry->writers();
    load.context_tokens = entry->context_tokens();
    load.reading_ms = entry->reading_ms();
    load.read_ms = entry->read_ms();
    if (entry->streams() != nullptr) {
      for (const fb::PauseClassEntry* pause_class : *entry->streams()) {
        load.streams.push_back(
            {pause_class->pause_ms(), pause_class->streams(), pause_class->context_tokens()});
      }
      ReadStreamRanks(entry->stream_ranks(), &load.streams);
    }
    digest.loads[entry->engine()->str()] = load;
  }
  return digest;
}

}  // namespace gullward
