// What one entry knows of the fleet, and how it counts what it has sent itself.
//
// Load reports lag.  If every entry believed them as they are, all would send
// to the engine that looked idle a second ago, and herd.  So each report says,
// per entry, the last dispatch that it counts; this entry adds its own later
// dispatches to it, and no other.  A dispatch leaves the sum when a report
// includes it, or when its prefill is known to be over.
//
//   FleetView fleet(own_incarnation);
//   fleet.OnHeartbeat("box-3", heartbeat, now);
//   uint64_t number = fleet.RecordDispatch(engine, priority, seconds, tokens);
//   fleet.RecordPrefillEnd(engine, number);
//   std::vector<EngineView> views = fleet.Candidates(model, now);
//
// Leaving sticks: once a box has been heard to leave, by its own word, by the
// platform's list or by the configuration, it gets nothing new until it comes
// back under another incarnation.

#ifndef GULLWARD_ROUTING_FLEET_VIEW_H_
#define GULLWARD_ROUTING_FLEET_VIEW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/prefill_speed.h"
#include "wire/messages.h"

namespace gullward {

// An endpoint box that has not been heard of for so long gets no new work.
inline constexpr Duration kHeartbeatTimeout = seconds(3);

// Prefix hashes that are remembered for the whole fleet.
inline constexpr size_t kMaxPrefixes = 200'000;

// How long a box that is gone is remembered.
inline constexpr Duration kForgetBoxAfter = std::chrono::minutes(10);

// How long a failed engine is left out at first, and at most.
inline constexpr Duration kFirstPenalty = seconds(1);
inline constexpr Duration kMaxPenalty = seconds(30);

struct EngineRef {
  std::string box;
  uint32_t engine = 0;

  auto operator<=>(const EngineRef&) const = default;
};

// One engine as the choice of endpoint sees it.
struct EngineView {
  EngineRef ref;
  uint64_t total_tokens = 0;
  // Reported free memory less what was dispatched since.
  uint64_t free_tokens = 0;
  // Prefill seconds still to do, by priority, own dispatches included.
  std::vector<double> backlog_seconds;
  uint32_t outstanding = 0;
  uint32_t long_running = 0;
  PrefillSpeed speed;
  // Prompt tokens of the request at hand that its cache is thought to hold.
  uint64_t cached_tokens = 0;

  // Seconds of work of equal or higher priority.
  double WaitSeconds(uint32_t priority) const;
  // Whether there is prefill of lower priority.
  bool HasLowerPriorityPrefill(uint32_t priority) const;
};

class FleetView {
 public:
  explicit FleetView(uint64_t own_incarnation);

  void OnHeartbeat(const std::string& box, const EndpointHeartbeat& heartbeat, Time now);

  // The connection to a box is lost; it is out until its next heartbeat.
  void OnBoxLost(const std::string& box);

  // Forgets boxes that have been gone for kForgetBoxAfter: boxes are replaced all
  // day, and a new one may have a new name.
  void Prune(Time now);

  // A box is leaving, as the platform's list or the configuration says.
  void SetLeaving(const std::set<std::string>& boxes);

  // Notes work sent to an engine and gives it the number that goes with the
  // offer.  Numbers count per box.
  uint64_t RecordDispatch(const EngineRef& ref, uint32_t priority, double prefill_seconds,
                          uint64_t tokens);

  // Notes that a dispatch's prefill is over, by its first token or its end.
  void RecordPrefillEnd(const EngineRef& ref, uint64_t dispatch);

  // An attempt broke on this engine: it is left out for a while that doubles
  // with each failure in a row, so it is let back in gradually.
  void RecordFailure(const EngineRef& ref, Time now);
  void RecordSuccess(const EngineRef& ref);

  // Notes that an engine has just computed a prompt with these prefixes.
  void RecordPrefixes(const EngineRef& ref, const std::vector<CacheHint>& prefixes);

  // The engines that may be given a request for this model now; cached_tokens is
  // filled in from the prompt's prefixes.  With `include_penalised`, also those
  // left out for their failures.
  std::vector<EngineView> Candidates(const std::string& model,
                                     const std::vector<CacheHint>& prefixes, Time now,
                                     bool include_penalised) const;

  // Boxes in front of a plain service that may be given a call now.
  std::vector<std::string> ServiceBoxes(const std::string& service, Time now) const;

  // Whether any engine of the fleet, usable now or not, serves the model.
  bool HasModel(const std::string& model) const;

  // For dumps.
  struct BoxInfo {
    std::string box;
    uint64_t incarnation = 0;
    int64_t config_offset = -1;
    bool usable = false;
    bool leaving = false;
    size_t own_dispatches = 0;
    std::vector<EngineLoad> engines;
  };
  std::vector<BoxInfo> Describe(Time now) const;
  size_t prefixes_known() const { return this->prefixes.size(); }

 private:
  struct Dispatch {
    uint64_t number;
    uint32_t engine;
    uint32_t priority;
    double prefill_seconds;
    uint64_t tokens;
  };

  struct Penalty {
    Time until;
    Duration next = kFirstPenalty;
  };

  struct Box {
    EndpointHeartbeat report;
    Time heard;
    bool connected = false;
    // Its own word, which sticks for the incarnation.
    bool leaving = false;
    uint64_t next_dispatch = 1;
    std::deque<Dispatch> own;
    std::map<uint32_t, Penalty> penalties;
  };

  bool Usable(const std::string& name, const Box& box, Time now) const;
  EngineView ViewOf(const std::string& name, const Box& box, const EngineLoad& load) const;
  void RememberPrefix(const CacheHint& hint, const EngineRef& ref);

  uint64_t incarnation;
  std::map<std::string, Box> boxes;
  std::set<std::string> leaving_boxes;
  struct PrefixPlaces {
    uint64_t tokens = 0;
    std::vector<EngineRef> engines;
  };
  std::unordered_map<uint64_t, PrefixPlaces> prefixes;
  std::deque<uint64_t> prefix_order;
};

}  // namespace gullward

#endif  // GULLWARD_ROUTING_FLEET_VIEW_H_
