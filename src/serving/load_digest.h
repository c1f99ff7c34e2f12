// The datagram by which gateways tell each other of their work on engines.
//
//   std::string datagram = EncodeDigest(digest);
//   std::optional<LoadDigest> digest = DecodeDigest(datagram);

#ifndef GULLWARD_SERVING_LOAD_DIGEST_H_
#define GULLWARD_SERVING_LOAD_DIGEST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "serving/copy_schedule.h"
#include "serving/crash_gossip.h"
#include "serving/engine_load.h"
#include "serving/engine_notice.h"
#include "serving/peer_freshness.h"

namespace gullward {

struct LoadDigest {
  // The sender, and which of its lives.
  std::string box;
  uint64_t incarnation = 0;
  // Rises with each datagram of one life.
  uint64_t sequence = 0;
  std::map<std::string, EngineLoad> loads;
  // Only in a datagram to one peer.
  std::optional<FreshnessNote> freshness;
  // Engines that the sender has set aside; serving/peer_suspicion.h.
  std::set<std::string> set_aside;
  // What the copy of the engines' list holds; gateway/engine_list_copy.h.
  CopyVersion engines_copied;
  // The offset after the last change of the engines' list that the sender has read.
  uint64_t engines_read_to = 0;
  // The store's epoch to which that offset belongs, nothing where the store tells none, and
  // whether the sender has seen it for long enough (serving/store_epoch.h).
  std::optional<uint64_t> store_epoch;
  bool epoch_is_settled = false;
  // Whether `loads` are engines on offer, with all work that the sender knows there
  // (serving/spill.h), instead of its own work.
  bool is_offer = false;
  // What engines have said of themselves (serving/engine_notices.h).
  std::map<std::string, NoticeReport> notices;
  // News that its receivers pass on (serving/crash_news.h).
  CrashGossip crash_gossip;

  bool operator==(const LoadDigest&) const = default;
};

std::string EncodeDigest(const LoadDigest& digest);

// Nothing if the bytes are no digest.
std::optional<LoadDigest> DecodeDigest(std::string_view datagram);

}  // namespace gullward

#endif  // GULLWARD_SERVING_LOAD_DIGEST_H_
