// Encoding and decoding with FlatBuffers; the schema is gullward.fbs.

#include "serving/engine_list.h"

#include "wire/gullward_generated.h"

namespace gullward {
namespace {

std::string StringOrEmpty(const flatbuffers::String* text) {
  return text == nullptr ? "" : text->str();
}

}  // namespace

std::string EncodeEngineList(const std::vector<EngineRecord>& engines) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::EngineEntry>> entries;
  for (const EngineRecord& engine : engines) {
    entries.push_back(fb::CreateEngineEntry(
        builder, builder.CreateString(engine.id), builder.CreateString(engine.service),
        builder.CreateString(engine.address.ToString()), builder.CreateString(engine.data_centre),
        engine.slots, engine.draining, engine.started_at_ms));
  }
  builder.Finish(fb::CreateEngineListPart(builder, builder.CreateVector(entries)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<std::vector<EngineRecord>> DecodeEngineList(std::string_view value) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(value.data());
  flatbuffers::Verifier verifier(bytes, value.size());
  if (!verifier.VerifyBuffer<fb::EngineListPart>(nullptr)) return std::nullopt;
  const auto* packed = flatbuffers::GetRoot<fb::EngineListPart>(bytes);
  if (packed->engines() == nullptr) return std::nullopt;
  std::vector<EngineRecord> engines;
  for (const fb::EngineEntry* entry : *packed->engines()) {
    absl::StatusOr<SocketAddress> address =
        SocketAddress::ParseServer(StringOrEmpty(entry->address()));
    bool is_engine = address.ok() && entry->slots() > 0;
    if (!is_engine) return std::nullopt;
    engines.push_back({StringOrEmpty(entry->id()), StringOrEmpty(entry->service()), *address,
                       StringOrEmpty(entry->data_centre()), entry->slots(), entry->draining(),
                       entry->born()});
  }
  return engines;
}

}  // namespace gullward
