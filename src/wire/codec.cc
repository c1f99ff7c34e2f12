// Each message has a Pack and an Unpack function.  They stand side by side, so that a field
// that one of them omits is easy to notice.  The round-trip test in
// wire/testing/codec_test.cc sets every field of every message to a distinct value.

#include "wire/codec.h"

#include <utility>

#include "absl/status/status.h"
#include "wire/gullward_generated.h"

namespace gullward {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

template <typename T>
using OffsetVector = std::vector<Offset<T>>;

// ------------------------------------------------------------- shared fields

fb::RequestId PackId(const RequestId& id) { return fb::RequestId(id.incarnation, id.sequence); }

RequestId UnpackId(const fb::RequestId* id) {
  if (id == nullptr) return {};
  return {id->incarnation(), id->sequence()};
}

std::string UnpackString(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

std::string UnpackBytes(const flatbuffers::Vector<uint8_t>* bytes) {
  if (bytes == nullptr) return {};
  return std::string(reinterpret_cast<const char*>(bytes->data()), bytes->size());
}

Offset<flatbuffers::Vector<uint8_t>> PackBytes(FlatBufferBuilder& builder,
                                               const std::string& bytes) {
  return builder.CreateVector(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
}

Offset<flatbuffers::Vector<const fb::CacheHint*>> PackHints(FlatBufferBuilder& builder,
                                                            const std::vector<CacheHint>& hints) {
  std::vector<fb::CacheHint> packed;
  packed.reserve(hints.size());
  for (const CacheHint& hint : hints) packed.emplace_back(hint.prefix_hash, hint.tokens);
  return builder.CreateVectorOfStructs(packed);
}

std::vector<CacheHint> UnpackHints(const flatbuffers::Vector<const fb::CacheHint*>* hints) {
  std::vector<CacheHint> unpacked;
  if (hints == nullptr) return unpacked;
  unpacked.reserve(hints->size());
  for (const fb::CacheHint* hint : *hints) {
    unpacked.push_back({hint->prefix_hash(), hint->tokens()});
  }
  return unpacked;
}

Offset<fb::KvContext> PackContext(FlatBufferBuilder& builder, const KvContext& context) {
  auto address = builder.CreateString(context.address);
  auto allocation = builder.CreateString(context.allocation);
  return fb::CreateKvContext(builder, address, allocation, context.tokens);
}

KvContext UnpackContext(const fb::KvContext* context) {
  if (context == nullptr) return {};
  return {UnpackString(context->address()), UnpackString(context->allocation()), context->tokens()};
}

// ------------------------------------------------------------------- messages

Offset<void> Pack(FlatBufferBuilder& builder, const Hello& m) {
  auto box = builder.CreateString(m.box);
  auto zone = builder.CreateString(m.zone);
  return fb::CreateHello(builder, box, zone, m.incarnation, m.protocol).Union();
}

Message Unpack(const fb::Hello& m) {
  return Hello{UnpackString(m.box()), UnpackString(m.zone()), m.incarnation(), m.protocol()};
}

Offset<void> Pack(FlatBufferBuilder& builder, const EntryHeartbeat& m) {
  return fb::CreateEntryHeartbeat(builder, m.incarnation, m.sequence, m.config_offset).Union();
}

Message Unpack(const fb::EntryHeartbeat& m) {
  return EntryHeartbeat{m.incarnation(), m.sequence(), m.config_offset()};
}

Offset<fb::EngineLoad> PackLoad(FlatBufferBuilder& builder, const EngineLoad& load) {
  auto name = builder.CreateString(load.name);
  auto model = builder.CreateString(load.model);
  auto backlog = builder.CreateVector(load.backlog_ms);
  auto cached = PackHints(builder, load.cached);
  return fb::CreateEngineLoad(builder, load.engine, name, model, load.up, load.total_tokens,
                              load.free_tokens, backlog, load.running, load.seconds_per_token,
                              load.seconds_per_token_pair, load.long_running, cached);
}

EngineLoad UnpackLoad(const fb::EngineLoad& load) {
  std::vector<double> backlog;
  if (load.backlog_ms() != nullptr) {
    backlog.assign(load.backlog_ms()->begin(), load.backlog_ms()->end());
  }
  return {load.engine(),
          UnpackString(load.name()),
          UnpackString(load.model()),
          load.up(),
          load.total_tokens(),
          load.free_tokens(),
          std::move(backlog),
          load.running(),
          load.seconds_per_token(),
          load.seconds_per_token_pair(),
          load.long_running(),
          UnpackHints(load.cached())};
}

Offset<void> Pack(FlatBufferBuilder& builder, const EndpointHeartbeat& m) {
  OffsetVector<fb::EngineLoad> loads;
  loads.reserve(m.engines.size());
  for (const EngineLoad& load : m.engines) loads.push_back(PackLoad(builder, load));
  std::vector<fb::IncludedDispatch> included;
  included.reserve(m.included.size());
  for (const IncludedDispatch& d : m.included) included.emplace_back(d.incarnation, d.sequence);
  auto service = builder.CreateString(m.service);
  auto engines = builder.CreateVector(loads);
  auto dispatches = builder.CreateVectorOfStructs(included);
  return fb::CreateEndpointHeartbeat(builder, m.incarnation, m.config_offset, m.leaving, service,
                                     engines, dispatches)
      .Union();
}

Message Unpack(const fb::EndpointHeartbeat& m) {
  EndpointHeartbeat heartbeat;
  heartbeat.incarnation = m.incarnation();
  heartbeat.config_offset = m.config_offset();
  heartbeat.leaving = m.leaving();
  heartbeat.service = UnpackString(m.service());
  if (m.engines() != nullptr) {
    for (const fb::EngineLoad* load : *m.engines()) heartbeat.engines.push_back(UnpackLoad(*load));
  }
  if (m.included() != nullptr) {
    for (const fb::IncludedDispatch* d : *m.included()) {
      heartbeat.included.push_back({d->incarnation(), d->sequence()});
    }
  }
  return heartbeat;
}

Offset<void> Pack(FlatBufferBuilder& builder, const Reserve& m) {
  fb::RequestId id = PackId(m.id.request);
  return fb::CreateReserve(builder, &id, m.id.attempt, m.engine, m.tokens, m.value, m.age_ms,
                           m.deadline_ms)
      .Union();
}

Message Unpack(const fb::Reserve& m) {
  return Reserve{{UnpackId(m.request()), m.attempt()},
                 m.engine(),
                 m.tokens(),
                 m.value(),
                 m.age_ms(),
                 m.deadline_ms()};
}

Offset<void> Pack(FlatBufferBuilder& builder, const Reserved& m) {
  fb::RequestId id = PackId(m.id.request);
  return fb::CreateReserved(builder, &id, m.id.attempt, m.engine).Union();
}

Message Unpack(const fb::Reserved& m) {
  return Reserved{{UnpackId(m.request()), m.attempt()}, m.engine()};
}

Offset<void> Pack(FlatBufferBuilder& builder, const Offer& m) {
  fb::RequestId id = PackId(m.id.request);
  OffsetVector<fb::KvContext> contexts;
  contexts.reserve(m.context.size());
  for (const KvContext& context : m.context) contexts.push_back(PackContext(builder, context));
  auto model = builder.CreateString(m.model);
  auto prompt = builder.CreateString(m.prompt);
  auto prefixes = PackHints(builder, m.prefixes);
  auto context = builder.CreateVector(contexts);
  auto service = builder.CreateString(m.service);
  auto method = builder.CreateString(m.method);
  auto path = builder.CreateString(m.path);
  auto content_type = builder.CreateString(m.content_type);
  auto sampling = builder.CreateString(m.sampling);
  return fb::CreateOffer(builder, &id, m.id.attempt, m.dispatch, m.engine, model, prompt,
                         m.prompt_tokens, prefixes, m.max_tokens, m.priority, m.value,
                         m.deadline_ms, m.repeatable, m.piece, m.pieces, context, m.config_offset,
                         service, method, path, content_type, sampling)
      .Union();
}

Message Unpack(const fb::Offer& m) {
  Offer offer;
  offer.id = {UnpackId(m.request()), m.attempt()};
  offer.dispatch = m.dispatch();
  offer.engine = m.engine();
  offer.model = UnpackString(m.model());
  offer.prompt = UnpackString(m.prompt());
  offer.prompt_tokens = m.prompt_tokens();
  offer.prefixes = UnpackHints(m.prefixes());
  offer.max_tokens = m.max_tokens();
  offer.priority = m.priority();
  offer.value = m.value();
  offer.deadline_ms = m.deadline_ms();
  offer.repeatable = m.repeatable();
  offer.piece = m.piece();
  offer.pieces = m.pieces();
  if (m.context() != nullptr) {
    for (const fb::KvContext* context : *m.context()) {
      offer.context.push_back(UnpackContext(context));
    }
  }
  offer.config_offset = m.config_offset();
  offer.service = UnpackString(m.service());
  offer.method = UnpackString(m.method());
  offer.path = UnpackString(m.path());
  offer.content_type = UnpackString(m.content_type());
  offer.sampling = UnpackString(m.sampling());
  return offer;
}

Offset<void> Pack(FlatBufferBuilder& builder, const Accepted& m) {
  fb::RequestId id = PackId(m.id.request);
  return fb::CreateAccepted(builder, &id, m.id.attempt).Union();
}

Message Unpack(const fb::Accepted& m) { return Accepted{{UnpackId(m.request()), m.attempt()}}; }

Offset<void> Pack(FlatBufferBuilder& builder, const Refused& m) {
  fb::RequestId id = PackId(m.id.request);
  return fb::CreateRefused(builder, &id, m.id.attempt, m.engine, static_cast<uint32_t>(m.code),
                           m.retry_after_ms)
      .Union();
}

Message Unpack(const fb::Refused& m) {
  return Refused{{UnpackId(m.request()), m.attempt()},
                 m.engine(),
                 Info(static_cast<ResultCode>(m.code())).code,
                 m.retry_after_ms()};
}

Offset<void> Pack(FlatBufferBuilder& builder, const Chunk& m) {
  fb::RequestId id = PackId(m.id.request);
  auto text = builder.CreateString(m.text);
  return fb::CreateChunk(builder, &id, m.id.attempt, m.index, text, m.tokens).Union();
}

Message Unpack(const fb::Chunk& m) {
  return Chunk{{UnpackId(m.request()), m.attempt()}, m.index(), UnpackString(m.text()), m.tokens()};
}

Offset<void> Pack(FlatBufferBuilder& builder, const Done& m) {
  fb::RequestId id = PackId(m.id.request);
  auto finish_reason = builder.CreateString(m.finish_reason);
  auto kept = PackContext(builder, m.kept);
  auto content_type = builder.CreateString(m.content_type);
  return fb::CreateDone(builder, &id, m.id.attempt, m.chunks, finish_reason, m.prompt_tokens,
                        m.cached_tokens, m.completion_tokens, m.piece, kept, m.status, content_type)
      .Union();
}

Message Unpack(const fb::Done& m) {
  Done done;
  done.id = {UnpackId(m.request()), m.attempt()};
  done.chunks = m.chunks();
  done.finish_reason = UnpackString(m.finish_reason());
  done.prompt_tokens = m.prompt_tokens();
  done.cached_tokens = m.cached_tokens();
  done.completion_tokens = m.completion_tokens();
  done.piece = m.piece();
  done.kept = UnpackContext(m.kept());
  done.status = m.status();
  done.content_type = UnpackString(m.content_type());
  return done;
}

Offset<void> Pack(FlatBufferBuilder& builder, const Failed& m) {
  fb::RequestId id = PackId(m.id.request);
  return fb::CreateFailed(builder, &id, m.id.attempt, static_cast<uint32_t>(m.code),
                          static_cast<fb::Ran>(m.ran))
      .Union();
}

Message Unpack(const fb::Failed& m) {
  Ran ran = Ran::kUnknown;
  if (m.ran() == fb::Ran::No) ran = Ran::kNo;
  if (m.ran() == fb::Ran::Yes) ran = Ran::kYes;
  return Failed{
      {UnpackId(m.request()), m.attempt()}, Info(static_cast<ResultCode>(m.code())).code, ran};
}

Offset<void> Pack(FlatBufferBuilder& builder, const Cancel& m) {
  fb::RequestId id = PackId(m.id.request);
  return fb::CreateCancel(builder, &id, m.id.attempt).Union();
}

Message Unpack(const fb::Cancel& m) { return Cancel{{UnpackId(m.request()), m.attempt()}}; }

Offset<void> Pack(FlatBufferBuilder& builder, const ConfigFetch& m) {
  return fb::CreateConfigFetch(builder, m.after).Union();
}

Message Unpack(const fb::ConfigFetch& m) { return ConfigFetch{m.after()}; }

Offset<void> Pack(FlatBufferBuilder& builder, const ConfigRecords& m) {
  OffsetVector<fb::OffsetRecord> packed;
  packed.reserve(m.records.size());
  for (const OffsetRecord& record : m.records) {
    auto body = PackBytes(builder, record.body);
    packed.push_back(fb::CreateOffsetRecord(builder, record.offset, body));
  }
  auto records = builder.CreateVector(packed);
  return fb::CreateConfigRecords(builder, records).Union();
}

Message Unpack(const fb::ConfigRecords& m) {
  ConfigRecords unpacked;
  if (m.records() == nullptr) return unpacked;
  for (const fb::OffsetRecord* record : *m.records()) {
    unpacked.records.push_back({record->offset(), UnpackBytes(record->body())});
  }
  return unpacked;
}

fb::Message KindOf(const Message& message) {
  // The values of the union start at 1 and follow the order of the variant's types.
  return static_cast<fb::Message>(message.index() + 1);
}

// ---------------------------------------------------------------- log records

Offset<void> Pack(FlatBufferBuilder&, const UnknownRecord&) { return {}; }

Offset<void> Pack(FlatBufferBuilder& builder, const ConfigChange& change) {
  OffsetVector<fb::ObjectChange> packed;
  packed.reserve(change.objects.size());
  for (const ObjectChange& object : change.objects) {
    auto kind = builder.CreateString(object.kind);
    auto name = builder.CreateString(object.name);
    auto body = builder.CreateString(object.body);
    packed.push_back(
        fb::CreateObjectChange(builder, kind, name, object.based_on, object.deleted, body));
  }
  auto objects = builder.CreateVector(packed);
  return fb::CreateConfigChange(builder, kLogSchema, change.id.writer, change.id.sequence, objects)
      .Union();
}

LogRecord Unpack(const fb::ConfigChange& record) {
  if (record.schema() != kLogSchema) return UnknownRecord{};
  ConfigChange change;
  change.id = {record.writer(), record.sequence()};
  if (record.objects() == nullptr) return change;
  for (const fb::ObjectChange* object : *record.objects()) {
    change.objects.push_back({UnpackString(object->kind()), UnpackString(object->name()),
                              object->based_on(), object->deleted(), UnpackString(object->body())});
  }
  return change;
}

Offset<void> Pack(FlatBufferBuilder& builder, const ConfigSnapshot& snapshot) {
  OffsetVector<fb::SnapshotObject> packed;
  packed.reserve(snapshot.objects.size());
  for (const SnapshotObject& object : snapshot.objects) {
    auto kind = builder.CreateString(object.kind);
    auto name = builder.CreateString(object.name);
    auto body = builder.CreateString(object.body);
    packed.push_back(fb::CreateSnapshotObject(builder, kind, name, object.version, body));
  }
  auto objects = builder.CreateVector(packed);
  return fb::CreateConfigSnapshot(builder, kLogSchema, snapshot.offset, objects).Union();
}

LogRecord Unpack(const fb::ConfigSnapshot& record) {
  if (record.schema() != kLogSchema) return UnknownRecord{};
  ConfigSnapshot snapshot;
  snapshot.offset = record.offset();
  if (record.objects() == nullptr) return snapshot;
  snapshot.objects.reserve(record.objects()->size());
  for (const fb::SnapshotObject* object : *record.objects()) {
    snapshot.objects.push_back({UnpackString(object->kind()), UnpackString(object->name()),
                                object->version(), UnpackString(object->body())});
  }
  return snapshot;
}

Offset<void> Pack(FlatBufferBuilder& builder, const ClaimBatch& batch) {
  OffsetVector<fb::ClaimRecord> packed;
  packed.reserve(batch.records.size());
  for (const ClaimRecord& record : batch.records) {
    fb::RequestId request = PackId(record.request);
    packed.push_back(fb::CreateClaimRecord(builder, static_cast<fb::ClaimKind>(record.kind),
                                           record.key_hash, &request));
  }
  auto records = builder.CreateVector(packed);
  return fb::CreateClaimBatch(builder, kLogSchema, batch.id.writer, batch.id.sequence, records)
      .Union();
}

LogRecord Unpack(const fb::ClaimBatch& record) {
  if (record.schema() != kLogSchema) return UnknownRecord{};
  ClaimBatch batch;
  batch.id = {record.writer(), record.sequence()};
  if (record.records() == nullptr) return batch;
  for (const fb::ClaimRecord* claim : *record.records()) {
    ClaimKind kind =
        claim->kind() == fb::ClaimKind::Release ? ClaimKind::kRelease : ClaimKind::kClaim;
    batch.records.push_back({kind, claim->key_hash(), UnpackId(claim->request())});
  }
  return batch;
}

std::string FinishedBytes(const FlatBufferBuilder& builder) {
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

// Prepends the length.  FlatBuffers' own size prefix is not used, because it takes part in
// the alignment: a buffer that was finished with the prefix cannot be read without it.
std::string WithLength(const FlatBufferBuilder& builder) {
  uint32_t size = builder.GetSize();
  std::string frame;
  frame.reserve(kFrameHeaderBytes + size);
  for (size_t i = 0; i < kFrameHeaderBytes; ++i) {
    frame += static_cast<char>((size >> (8 * i)) & 0xff);
  }
  frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
  return frame;
}

}  // namespace

std::string EncodeFrame(const Message& message) {
  FlatBufferBuilder builder(256);
  Offset<void> body = std::visit([&](const auto& m) { return Pack(builder, m); }, message);
  builder.Finish(fb::CreateFrame(builder, KindOf(message), body));
  return WithLength(builder);
}

absl::StatusOr<Message> DecodeMessage(std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  if (!verifier.VerifyBuffer<fb::Frame>(nullptr)) {
    return absl::InvalidArgumentError("frame fails verification");
  }
  const fb::Frame* frame = flatbuffers::GetRoot<fb::Frame>(bytes.data());
  if (frame->message() == nullptr) return absl::InvalidArgumentError("frame without a message");
  switch (frame->message_type()) {
    case fb::Message::Hello:
      return Unpack(*frame->message_as_Hello());
    case fb::Message::EntryHeartbeat:
      return Unpack(*frame->message_as_EntryHeartbeat());
    case fb::Message::EndpointHeartbeat:
      return Unpack(*frame->message_as_EndpointHeartbeat());
    case fb::Message::Reserve:
      return Unpack(*frame->message_as_Reserve());
    case fb::Message::Reserved:
      return Unpack(*frame->message_as_Reserved());
    case fb::Message::Offer:
      return Unpack(*frame->message_as_Offer());
    case fb::Message::Accepted:
      return Unpack(*frame->message_as_Accepted());
    case fb::Message::Refused:
      return Unpack(*frame->message_as_Refused());
    case fb::Message::Chunk:
      return Unpack(*frame->message_as_Chunk());
    case fb::Message::Done:
      return Unpack(*frame->message_as_Done());
    case fb::Message::Failed:
      return Unpack(*frame->message_as_Failed());
    case fb::Message::Cancel:
      return Unpack(*frame->message_as_Cancel());
    case fb::Message::ConfigFetch:
      return Unpack(*frame->message_as_ConfigFetch());
    case fb::Message::ConfigRecords:
      return Unpack(*frame->message_as_ConfigRecords());
    default:
      return absl::InvalidArgumentError("frame of an unknown kind");
  }
}

std::string EncodeRecord(const LogRecord& record) {
  FlatBufferBuilder builder(256);
  Offset<void> body = std::visit([&](const auto& r) { return Pack(builder, r); }, record);
  // The index of UnknownRecord is 0, as is the union's value NONE.
  auto kind = static_cast<fb::LogBody>(record.index());
  builder.Finish(fb::CreateLogRecord(builder, kind, body));
  return FinishedBytes(builder);
}

LogRecord DecodeRecord(std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  if (!verifier.VerifyBuffer<fb::LogRecord>(nullptr)) return UnknownRecord{};
  const fb::LogRecord* record = flatbuffers::GetRoot<fb::LogRecord>(bytes.data());
  if (record->body() == nullptr) return UnknownRecord{};
  switch (record->body_type()) {
    case fb::LogBody::ConfigChange:
      return Unpack(*record->body_as_ConfigChange());
    case fb::LogBody::ConfigSnapshot:
      return Unpack(*record->body_as_ConfigSnapshot());
    case fb::LogBody::ClaimBatch:
      return Unpack(*record->body_as_ClaimBatch());
    default:
      return UnknownRecord{};
  }
}

}  // namespace gullward
