// Encoding and decoding with FlatBuffers; the schema is gullward.fbs.

#include "serving/gateway_entry.h"

#include "wire/gullward_generated.h"

namespace gullward {

std::string EncodeGatewayEntry(const Peer& peer) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateGatewayEntry(builder, builder.CreateString(peer.address.ToString()),
                                        builder.CreateString(peer.data_centre)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<Peer> DecodeGatewayEntry(const std::string& box, std::string_view value) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(value.data());
  flatbuffers::Verifier verifier(bytes, value.size());
  if (!verifier.VerifyBuffer<fb::GatewayEntry>(nullptr)) return std::nullopt;
  const auto* packed = flatbuffers::GetRoot<fb::GatewayEntry>(bytes);
  if (packed->address() == nullptr || packed->data_centre() == nullptr) return std::nullopt;
  absl::StatusOr<SocketAddress> address = SocketAddress::ParseServer(packed->address()->str());
  if (!address.ok()) return std::nullopt;
  return Peer{box, *address, packed->data_centre()->str()};
}

}  // namespace gullward
