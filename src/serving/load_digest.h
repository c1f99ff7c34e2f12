// The datagram in which a gateway sends other gateways its work on engines.
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
#include <vector>

#include "overload/engine_pace.h"
#include "overload/return_book.h"
#include "overload/work_tally.h"
#include "serving/copy_schedule.h"
#include "serving/crash_gossip.h"
#include "serving/engine_load.h"
#include "serving/engine_notice.h"
#include "serving/peer_freshness.h"

namespace gullward {

struct LoadDigest {
  static constexpr size_t kMaxWorkEntries = 64;

  // The sender and its incarnation.
  std::string box;
  uint64_t incarnation = 0;
  // Increases with each datagram of one incarnation, so that a receiver can ignore datagrams
  // that arrive late or twice.
  uint64_t sequence = 0;
  // The load on each engine, by engine incarnation.
  std::map<std::string, EngineLoad> loads;
  // Whether the sender's configuration is current (serving/peer_freshness.h).  The note differs
  // for each receiver, so it is set only in a datagram that goes to a single peer.
  std::optional<FreshnessNote> freshness;
  // Incarnations of engines that the sender has set aside (serving/peer_suspicion.h).
  std::set<std::string> set_aside;
  // The latest version of the copy of the engine list that the sender has recorded
  // (gateway/engine_list_copy.h).
  CopyVersion engines_copied;
  // The offset after the last change of the operator's topic that the sender has read, and of the
  // engine list.
  uint64_t operator_read_to = 0;
  uint64_t engines_read_to = 0;
  // The store's epoch to which these offsets belong, and whether it is settled
  // (serving/store_epoch.h).  Empty if the store reports no epoch.
  std::optional<uint64_t> store_epoch;
  bool epoch_is_settled = false;
  // If true, `loads` holds the engines that the sender offers to gateways of other cells, with
  // the load of all gateways on them (serving/spill.h).  If false, `loads` holds only the
  // sender's own load.
  bool is_offer = false;
  // Notices that engines have sent, by engine incarnation (serving/engine_notices.h).
  std::map<std::string, NoticeReport> notices;
  // Paces that the sender has measured, by engine incarnation (overload/engine_pace.h).
  std::map<std::string, PaceReport> paces;
  // Crash reports that the receiver passes on (serving/crash_gossip.h).
  CrashGossip crash_gossip;
  // Promises to refused callers, and that they were kept.
  std::vector<ReturnPromise> return_promises;
  // The work that the sender's callers have lately asked (overload/work_tally.h).  Invalid sums are
  // dropped, and so are entries beyond kMaxWorkEntries.
  std::map<WorkKey, WorkSums> work;

  bool operator==(const LoadDigest&) const = default;
};

std::string EncodeDigest(const LoadDigest& digest);

// Empty if `datagram` is not a valid digest or holds a load that is out of range.
std::optional<LoadDigest> DecodeDigest(std::string_view datagram);

}  // namespace gullward

#endif  // GULLWARD_SERVING_LOAD_DIGEST_H_
