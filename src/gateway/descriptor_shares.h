// How the descriptors that a process may open are shared.
//
// Most are for requests: one for the caller's connection, and one for the connection to the engine
// that answers.  The pages for operators and for peers have shares of their own.  A reserve is left
// for listening sockets, the store and the log.  Without the shares, a crowd of connections at one
// port would leave no descriptor to serve anyone.

#ifndef GULLWARD_GATEWAY_DESCRIPTOR_SHARES_H_
#define GULLWARD_GATEWAY_DESCRIPTOR_SHARES_H_

#include <sys/resource.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace gullward {

// Connections that may be open at a time.
struct DescriptorShares {
  size_t callers = 0;
  size_t operators = 0;
  size_t peers = 0;

  bool operator==(const DescriptorShares&) const = default;
};

// The shares of a process that may open this many descriptors.
inline DescriptorShares ShareDescriptors(uint64_t descriptors) {
  constexpr uint64_t kReserve = 64;
  constexpr uint64_t kMinCallers = 16;
  constexpr uint64_t kMinPages = 8;
  constexpr uint64_t kMaxOperators = 64;
  // Each gateway is read by a few others.
  constexpr uint64_t kMaxPeers = 256;
  uint64_t pages = std::max(kMinPages, descriptors / 16);
  DescriptorShares shares;
  shares.operators = std::min(kMaxOperators, pages);
  shares.peers = std::min(kMaxPeers, pages);
  uint64_t others = kReserve + shares.operators + shares.peers;
  uint64_t for_requests = descriptors - std::min(descriptors, others);
  shares.callers = std::max(kMinCallers, for_requests / 2);
  return shares;
}

// The descriptors that this process may open: the smaller one of the system's limit and of
// `configured`, which is 0 if there is none.
inline uint64_t UsableDescriptors(uint64_t configured) {
  rlimit limit{};
  bool is_known = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  uint64_t system = is_known ? limit.rlim_cur : UINT64_MAX;
  return configured == 0 ? system : std::min(configured, system);
}

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_DESCRIPTOR_SHARES_H_
