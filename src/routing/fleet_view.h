// An entry's view of the fleet: the last load report of each endpoint box plus the entry's own
// dispatches since that report.
//
// Load reports lag behind.  If entries used them alone, all entries would send their requests to
// the engine that was idle a second ago and overload it.  So each report states, for each entry,
// the last dispatch that it counts, and the entry adds its own later dispatches to the reported
// load.  A dispatch no longer counts once a report includes it or its prefill is known to have
// ended.
//
//   FleetView fleet(own_incarnation);
//   fleet.OnHeartbeat("box-3", heartbeat, now);
//   uint64_t number = fleet.RecordDispatch(engine, priority, seconds, tokens);
//   fleet.RecordPrefillEnd(engine, number);
//   std::vector<EngineView> views = fleet.Candidates(model, prefixes, now, false);
//
// A box is leaving if its own heartbeat, the platform's list or the configuration says so, and
// gets no new work.  A heartbeat that says so holds until the box reports another incarnation.

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

// A box whose last heartbeat is this old gets no new work.
inline constexpr Duration kHeartbeatTimeout = seconds(3);

// Upper bound of the prefix hashes kept for the whole fleet.
inline constexpr size_t kMaxPrefixes = 200'000;

// How long a disconnected box is kept after its last heartbeat.
inline constexpr Duration kForgetBoxAfter = std::chrono::minutes(10);

// How long an engine is left out after its first failure, and at most.
inline constexpr Duration kFirstPenalty = seconds(1);
inline constexpr Duration kMaxPenalty = seconds(30);

// Names an engine by its box and its index on the box.
struct EngineRef {
  std::string box;
  uint32_t engine = 0;

  auto operator<=>(const EngineRef&) const = default;
};

// One engine as the routing policies see it.
struct EngineView {
  EngineRef ref;
  uint64_t total_tokens = 0;
  // Tokens of free memory: the reported ones less those of later own dispatches.
  uint64_t free_tokens = 0;
  // Seconds of prefill not yet done, by priority, including later own dispatches.
  std::vector<double> backlog_seconds;
  // Requests in flight, including later own dispatches.
  uint32_t outstanding = 0;
  // Long prompts on the engine.
  uint32_t long_running = 0;
  PrefillSpeed speed;
  // Prompt tokens of the request that the engine's cache probably holds.
  uint64_t cached_tokens = 0;

  // Seconds of prefill of equal or higher priority.
  double WaitSeconds(uint32_t priority) const;
  // Whether prefill of lower priority is left to do.
  bool HasLowerPriorityPrefill(uint32_t priority) const;
};

class FleetView {
 public:
  explicit FleetView(uint64_t own_incarnation);

  void OnHeartbeat(const std::string& box, const EndpointHeartbeat& heartbeat, Time now);

  // The connection to a box is lost: the box is unusable until its next heartbeat.
  void OnBoxLost(const std::string& box);

  // Removes disconnected boxes whose last heartbeat is kForgetBoxAfter old.  Boxes are replaced all
  // the time, and a new box may have a new name, so the map would grow without limit.
  void Prune(Time now);

  // Sets the boxes that are leaving according to the platform's list or the configuration.
  void SetLeaving(const std::set<std::string>& boxes);

  // Records work sent to an engine and returns its number, which the offer carries.  Each box has
  // its own sequence of numbers.
  uint64_t RecordDispatch(const EngineRef& ref, uint32_t priority, double prefill_seconds,
                          uint64_t tokens);

  // Records that the prefill of a dispatch has ended: its first token has arrived, or the attempt
  // is over.
  void RecordPrefillEnd(const EngineRef& ref, uint64_t dispatch);

  // Records that an attempt failed on this engine.  The engine is left out for a time that doubles
  // with each failure up to kMaxPenalty, so that a failing engine is readmitted gradually.  A
  // success ends the penalty.
  void RecordFailure(const EngineRef& ref, Time now);
  void RecordSuccess(const EngineRef& ref);

  // Records that an engine has just computed a prompt with these prefixes.
  void RecordPrefixes(const EngineRef& ref, const std::vector<CacheHint>& prefixes);

  // Returns the engines that may get a request for this model now, with cached_tokens set from
  // the prompt's prefixes.  With `include_penalised`, includes engines that are left out because
  // of their failures.
  std::vector<EngineView> Candidates(const std::string& model,
                                     const std::vector<CacheHint>& prefixes, Time now,
                                     bool include_penalised) const;

  // Returns the boxes that may get a call to this plain service now.
  std::vector<std::string> ServiceBoxes(const std::string& service, Time now) const;

  // Whether any engine of the fleet serves the model, even if it is not usable now.
  bool HasModel(const std::string& model) const;

  // State of one box, for status pages.
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
    Time last_heartbeat;
    bool connected = false;
    // Whether a heartbeat of this incarnation has said that the box is leaving.
    bool leaving = false;
    uint64_t next_dispatch = 1;
    // Own dispatches that the last report does not include.
    std::deque<Dispatch> own;
    std::map<uint32_t, Penalty> penalties;
  };

  bool Usable(const std::string& name, const Box& box, Time now) const;
  EngineView ViewOf(const std::string& name, const Box& box, const EngineLoad& load) const;
  void RememberPrefix(const CacheHint& hint, const EngineRef& ref);

  uint64_t incarnation;
  std::map<std::string, Box> boxes;
  std::set<std::string> leaving_boxes;
  // The engines that probably hold a prefix, most recent first.
  struct PrefixLocations {
    uint64_t tokens = 0;
    std::vector<EngineRef> engines;
  };
  std::unordered_map<uint64_t, PrefixLocations> prefixes;
  // Prefix hashes in the order of insertion; the oldest is removed first.
  std::deque<uint64_t> prefix_order;
};

}  // namespace gullward

#endif  // GULLWARD_ROUTING_FLEET_VIEW_H_
