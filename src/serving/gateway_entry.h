// The record with which a gateway announces itself to its peers, in a topic that all gateways
// follow.  The record's key is the gateway's box.
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

// Empty if `value` is not a valid entry or its address is invalid.
std::optional<Peer> DecodeGatewayEntry(const std::string& box, std::string_view value);

}  // namespace gullward

#endif  // GULLWARD_SERVING_GATEWAY_ENTRY_H_
