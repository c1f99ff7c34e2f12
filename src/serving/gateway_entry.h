// How a gateway makes itself known to its peers, in a topic that all of them follow.
//
//   std::string value = EncodeGatewayEntry(peer);
//   std::optional<Peer> peer = DecodeGatewayEntry("box-2", value);

#ifndef GULLWARD_SERVING_GATEWAY_ENTRY_H_
#define GULLWARD_SERVING_GATEWAY_ENTRY_H_

#include <optional>
#include <string>
#include <string_view>

#include "serving/peer_directory.h"

namespace gullward {

std::string EncodeGatewayEntry(const Peer& peer);

// Nothing if the bytes are no entry, or its address is none.
std::optional<Peer> DecodeGatewayEntry(const std::string& box, std::string_view value);

}  // namespace gullward

#endif  // GULLWARD_SERVING_GATEWAY_ENTRY_H_
