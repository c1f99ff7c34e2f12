// Simulates engines, callers, datagrams and faults around real Fleets.

#include "trial/limit_trial.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serving/fleet.h"
#include "serving/load_digest.h"
#include "serving/peer_directory.h"
#include "serving/peer_liveness.h"
#include "trial/event_queue.h"

namespace gullward {
namespace {

constexpr char kService[] = "models";
const Time kStart = Time{} + seconds(1000);
// As in gateway/load_exchange.h: the period at which changes are sent, the ticks in a round, and
// the rounds after which all notices are sent.
constexpr Duration kTick = milliseconds(100);
constexpr int kTicksInRound = 5;
constexpr int kNoticeRounds = 4;
// Time until a gateway that starts has read the entries of its peers, and longest time until a
// peer has read the new gateway's entry.
constexpr Duration kPeersReadDelay = milliseconds(300);
constexpr Duration kMaxAnnounceDelay = seconds(2);
// The users' bound applies from kBoundAppliesAfter after an engine first stated its limit, to every
// window of kWindow.  It covers a gateway from kLimitKnownAfter after the gateway has forwarded
// an answer that states the limit.
constexpr Duration kBoundAppliesAfter = seconds(3);
constexpr Duration kWindow = seconds(4);
constexpr Duration kLimitKnownAfter = milliseconds(500);

double Allowed(double limit_per_s) { return 1.5 * limit_per_s * ToSeconds(kWindow) + 5; }

struct Gateway {
  std::string box;
  std::string data_centre;
  std::unique_ptr<Fleet> fleet;
  PeerDirectory peers;
  PeerLiveness liveness;
  // Whether `peers` has changed since it was last passed to `fleet`.
  bool peers_changed = false;
  int ticks = 0;
  // Incremented at each start and kill.  Work that an earlier incarnation began is dropped.
  uint64_t incarnation = 0;
  bool is_up = false;
  bool is_partitioned = false;
  bool is_suspended = false;
  Time fault_ended{};
  // Datagrams that arrived while the gateway was suspended.
  std::vector<LoadDigest> queued;
  // For each engine, when this incarnation first forwarded an answer that stated the limit.
  std::map<size_t, Time> limit_known_since;
};

struct Arrival {
  Time at;
  size_t gateway;
};

class LimitSimulation {
 public:
  explicit LimitSimulation(const LimitTrialOptions& trial_options)
      : options(trial_options), random(trial_options.seed), events(kStart) {
    this->service = {kService, "/healthz", 0, true, {}};
    this->service.speed.slots = 16;
    this->service.speed.memory_tokens = 450'000;
    this->service.speed.steps_per_pass = 46;
    this->service.speed.step_ms = 0.925;
    this->limited = static_cast<size_t>(this->options.limited_share *
                                        static_cast<double>(this->options.engines));
    this->arrivals.resize(this->options.engines);
    for (size_t i = 0; i < this->options.gateways; ++i) {
      this->gateways.push_back(std::make_unique<Gateway>());
      this->gateways.back()->box = absl::StrCat("box-", i);
      this->gateways.back()->data_centre = this->DataCentreOf(i);
    }
  }

  LimitTrialResult Play() {
    size_t listed_count = this->options.gateways - this->options.added;
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      if (i < listed_count) {
        this->StartListed(i);
      } else {
        this->events.At(kStart + this->options.limited_from + seconds(2), [this, i] {
          this->Start(i);
          this->Announce(i);
        });
      }
      this->ScheduleArrival(i);
      this->ScheduleTick(i);
    }
    this->Repeat(this->options.kill_interval, [this] { this->Kill(this->NextFaultTarget()); });
    this->Repeat(this->options.kill_all_interval, [this] {
      for (size_t i = 0; i < this->gateways.size(); ++i) this->Kill(i);
    });
    this->Repeat(this->options.partition_interval,
                 [this] { this->Partition(this->NextFaultTarget()); });
    this->Repeat(this->options.suspend_interval,
                 [this] { this->Suspend(this->NextFaultTarget()); });
    this->events.RunUntil(kStart + this->options.duration);
    return this->Result();
  }

 private:
  Time now() const { return this->events.now(); }
  std::string DataCentreOf(size_t number) const {
    return absl::StrCat("hall-", number % this->options.data_centres);
  }
  static std::string EngineName(size_t engine) { return absl::StrCat("e-", engine); }

  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

  bool IsLimited(size_t engine) const {
    return engine < this->limited && this->now() >= kStart + this->options.limited_from &&
           this->now() < kStart + this->options.limited_until;
  }

  void Repeat(Duration interval, const std::function<void()>& task) {
    if (interval.count() == 0) return;
    this->events.After(interval, [this, interval, task] {
      task();
      this->Repeat(interval, task);
    });
  }

  // ------------------------------------------------------------ gateways

  // Starts a new incarnation, which has the list of engines and no other state.
  void Start(size_t number) {
    Gateway& gateway = *this->gateways[number];
    Mechanisms mechanisms;
    mechanisms.engine_notices = this->options.engine_notices;
    gateway.fleet =
        std::make_unique<Fleet>(RetryBounds{}, gateway.box, gateway.data_centre, mechanisms);
    for (size_t i = 0; i < this->options.engines; ++i) {
      gateway.fleet->directory().Update(
          {EngineName(i), kService, {"10.0.0.1", 80}, this->DataCentreOf(i), 16, false, 0});
    }
    gateway.peers = PeerDirectory{};
    gateway.peers_changed = false;
    gateway.liveness = PeerLiveness{};
    gateway.queued.clear();
    // A restarted gateway is not counted against the bound until it receives the limit again.
    gateway.limit_known_since.clear();
    gateway.incarnation += 1;
    gateway.is_up = true;
    this->events.After(kPeersReadDelay, [this, number, incarnation = gateway.incarnation] {
      if (this->gateways[number]->incarnation == incarnation) this->ReadPeers(number);
    });
  }

  void StartListed(size_t number) {
    this->Start(number);
    this->listed.insert(number);
  }

  void ReadPeers(size_t number) {
    for (size_t other : this->listed) this->ReadPeer(number, other);
    this->gateways[number]->peers_changed = true;
  }

  void ReadPeer(size_t number, size_t other) {
    Gateway& gateway = *this->gateways[number];
    const Gateway& peer = *this->gateways[other];
    if (other == number || !gateway.is_up) return;
    gateway.peers.Update({peer.box, {"10.0.0.2", 90}, peer.data_centre});
    gateway.peers_changed = true;
  }

  // The peers read the entry of the new gateway after random delays.
  void Announce(size_t number) {
    this->listed.insert(number);
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      if (i == number) continue;
      this->events.After(FromSeconds(this->RandomFraction() * ToSeconds(kMaxAnnounceDelay)),
                         [this, i, number] { this->ReadPeer(i, number); });
    }
  }

  size_t NextFaultTarget() { return this->next_fault_target++ % this->gateways.size(); }

  void EndFaultLater(size_t number, const std::function<void(Gateway*)>& repair) {
    this->events.After(this->options.fault_duration, [this, number, repair] {
      Gateway& gateway = *this->gateways[number];
      repair(&gateway);
      gateway.fault_ended = this->now();
    });
  }

  void Kill(size_t number) {
    Gateway& gateway = *this->gateways[number];
    if (!gateway.is_up) return;
    gateway.is_up = false;
    gateway.incarnation += 1;
    this->EndFaultLater(number, [this, number](Gateway*) { this->Start(number); });
  }

  void Partition(size_t number) {
    this->gateways[number]->is_partitioned = true;
    this->EndFaultLater(number, [](Gateway* gateway) { gateway->is_partitioned = false; });
  }

  void Suspend(size_t number) {
    this->gateways[number]->is_suspended = true;
    this->EndFaultLater(number, [](Gateway* gateway) { gateway->is_suspended = false; });
  }

  bool IsExcluded(const Gateway& gateway) const {
    bool has_fault = !gateway.is_up || gateway.is_partitioned || gateway.is_suspended;
    bool was_in_fault_lately = gateway.fault_ended != Time{} &&
                               this->now() - gateway.fault_ended < this->options.excluded_for;
    return has_fault || was_in_fault_lately;
  }

  // ------------------------------------------------------------ requests

  void ScheduleArrival(size_t number) {
    std::exponential_distribution<double> delay(this->options.requests_per_s);
    this->events.After(FromSeconds(delay(this->random)), [this, number] {
      Gateway& gateway = *this->gateways[number];
      if (gateway.is_up && !gateway.is_suspended) this->Send(number);
      this->ScheduleArrival(number);
    });
  }

  void Send(size_t number) {
    Gateway& gateway = *this->gateways[number];
    Demand demand;
    demand.prompt_tokens = 5000;
    demand.pause_ms = 250;
    this->result.requests += 1;
    std::optional<FleetChoice> choice =
        gateway.fleet->Choose(this->service, demand, /*tried=*/{}, this->now());
    if (!choice) {
      this->result.refused += 1;
      return;
    }
    gateway.fleet->NoteSent(choice->engine, this->now());
    size_t engine = std::stoul(choice->engine.id.substr(2));
    this->NoteArrival(number, engine);
    uint64_t work = ++this->work_count;
    WorkPart part{choice->engine.Incarnation(), demand.prompt_tokens,
                  choice->placement.part_reading_ms, true, demand.pause_ms};
    gateway.fleet->loads().Begin(work, {part}, this->now());
    EngineNotice notice;
    notice.is_own_success = true;
    if (this->IsLimited(engine)) notice.limit_per_s = this->options.limit_per_s;
    this->events.After(this->options.work, [this, number, engine, work, notice, sent = this->now(),
                                            incarnation = gateway.incarnation] {
      this->OnAnswer(number, incarnation, engine, work, notice, sent);
    });
  }

  void OnAnswer(size_t number, uint64_t incarnation, size_t engine, uint64_t work,
                const EngineNotice& notice, Time sent) {
    Gateway& gateway = *this->gateways[number];
    if (gateway.incarnation != incarnation || !gateway.is_up) return;
    gateway.fleet->loads().End(work);
    gateway.fleet->notices().Receive(EngineName(engine), notice, sent, this->now());
    if (notice.limit_per_s) gateway.limit_known_since.try_emplace(engine, this->now());
  }

  void NoteArrival(size_t number, size_t engine) {
    if (!this->IsLimited(engine)) return;
    if (this->now() < kStart + this->options.limited_from + kBoundAppliesAfter) return;
    this->limited_arrivals += 1;
    const Gateway& gateway = *this->gateways[number];
    auto known_since = gateway.limit_known_since.find(engine);
    bool counts = known_since != gateway.limit_known_since.end() &&
                  this->now() - known_since->second >= kLimitKnownAfter;
    if (counts && !this->IsExcluded(gateway)) this->arrivals[engine].push_back(this->now());
  }

  // ----------------------------------------------------------- datagrams

  void ScheduleTick(size_t number) {
    std::uniform_real_distribution<double> jitter(0.9, 1.1);
    this->events.After(FromSeconds(ToSeconds(kTick) * jitter(this->random)), [this, number] {
      Gateway& gateway = *this->gateways[number];
      if (gateway.is_up && !gateway.is_suspended) this->Tick(&gateway);
      this->ScheduleTick(number);
    });
  }

  void Tick(Gateway* gateway) {
    for (const LoadDigest& digest : std::exchange(gateway->queued, {})) {
      this->Receive(gateway, digest);
    }
    if (std::exchange(gateway->peers_changed, false)) {
      gateway->fleet->SetGateways(gateway->peers.Names());
    }
    bool round = ++gateway->ticks % kTicksInRound == 0;
    if (round) this->BeginRound(gateway);
    LoadDigest digest;
    digest.box = gateway->box;
    bool all = gateway->ticks % (kNoticeRounds * kTicksInRound) == 0;
    digest.notices = gateway->fleet->NoticesToSend(all, this->now());
    if (!round && digest.notices.empty()) return;
    this->SendToCell(gateway, digest);
    this->NoteLifted(*gateway);
  }

  void BeginRound(Gateway* gateway) {
    gateway->peers.BeginRound();
    gateway->fleet->ForgetUnlisted(this->now());
    const WorkPlan& plan = gateway->fleet->plan(this->now());
    const ServicePlan& own_plan = plan.ForService(kService);
    std::vector<std::string> boxes;
    for (const Peer* peer :
         gateway->peers.MembersOf(kService, own_plan.cells, own_plan.home, plan.revision())) {
      boxes.push_back(peer->box);
    }
    gateway->fleet->SetSilentGateways(gateway->liveness.SilentPeers(boxes, this->now()));
  }

  void SendToCell(Gateway* gateway, const LoadDigest& digest) {
    const WorkPlan& plan = gateway->fleet->plan(this->now());
    const ServicePlan& own_plan = plan.ForService(kService);
    std::vector<const Peer*> members =
        gateway->peers.MembersForRound(kService, own_plan.cells, own_plan.home, plan.revision());
    bool in_force = this->now() >= kStart + this->options.limited_from &&
                    this->now() < kStart + this->options.limited_until;
    if (in_force && !digest.notices.empty()) {
      LoadDigest without = digest;
      without.notices.clear();
      this->datagrams += members.size();
      this->bytes += members.size() * (EncodeDigest(digest).size() - EncodeDigest(without).size());
    }
    std::vector<size_t> receivers;
    for (const Peer* peer : members) {
      if (this->RandomFraction() >= this->options.datagram_loss) {
        receivers.push_back(std::stoul(peer->box.substr(4)));
      }
    }
    if (gateway->is_partitioned) return;
    this->events.After(this->options.datagram_delay, [this, digest, receivers] {
      for (size_t number : receivers) this->Deliver(this->gateways[number].get(), digest);
    });
  }

  void Deliver(Gateway* gateway, const LoadDigest& digest) {
    if (!gateway->is_up || gateway->is_partitioned) return;
    if (gateway->is_suspended) {
      gateway->queued.push_back(digest);
      return;
    }
    this->Receive(gateway, digest);
  }

  void Receive(Gateway* gateway, const LoadDigest& digest) {
    gateway->liveness.OnDatagram(digest.box, this->now());
    for (const auto& [engine, word] : digest.notices) {
      gateway->fleet->notices().ReceiveReport(engine, word, this->now());
    }
  }

  // --------------------------------------------------------------- result

  void NoteLifted(const Gateway& gateway) {
    if (this->now() < kStart + this->options.limited_until) return;
    if (gateway.fleet->notices().limited() > 0) this->last_limited_at = this->now();
  }

  double MaxOfAllowed() const {
    size_t max_count = 0;
    for (const std::vector<Time>& times : this->arrivals) {
      size_t end = 0;
      for (size_t begin = 0; begin < times.size(); ++begin) {
        while (end < times.size() && times[end] - times[begin] < kWindow) ++end;
        max_count = std::max(max_count, end - begin);
      }
    }
    return static_cast<double>(max_count) / Allowed(this->options.limit_per_s);
  }

  LimitTrialResult Result() {
    Duration bound_duration =
        this->options.limited_until - this->options.limited_from - kBoundAppliesAfter;
    double allowed_requests =
        static_cast<double>(this->limited) * this->options.limit_per_s * ToSeconds(bound_duration);
    this->result.max_of_allowed = this->MaxOfAllowed();
    this->result.limit_used = static_cast<double>(this->limited_arrivals) / allowed_requests;
    double gateway_seconds = static_cast<double>(this->gateways.size()) *
                             ToSeconds(this->options.limited_until - this->options.limited_from);
    this->result.datagrams_per_s = static_cast<double>(this->datagrams) / gateway_seconds;
    this->result.bytes_per_s = static_cast<double>(this->bytes) / gateway_seconds;
    this->result.lifted_after_ms = this->LiftedAfterMs();
    return this->result;
  }

  double LiftedAfterMs() const {
    for (const auto& gateway : this->gateways) {
      if (gateway->is_up && gateway->fleet->notices().limited() > 0) return -1;
    }
    Time lifted = kStart + this->options.limited_until;
    return ToSeconds(std::max(this->last_limited_at, lifted) - lifted) * 1000;
  }

  LimitTrialOptions options;
  std::mt19937_64 random;
  EventQueue events;
  Service service;
  std::vector<std::unique_ptr<Gateway>> gateways;
  // Gateways with an entry in the topic of gateways.
  std::set<size_t> listed;
  // The number of engines that state a limit: the first ones by index.
  size_t limited = 0;
  uint64_t work_count = 0;
  size_t next_fault_target = 0;
  // For each engine, the arrivals that count for the users' bound.
  std::vector<std::vector<Time>> arrivals;
  uint64_t limited_arrivals = 0;
  size_t datagrams = 0;
  size_t bytes = 0;
  Time last_limited_at{};
  LimitTrialResult result;
};

}  // namespace

LimitTrialResult PlayLimits(const LimitTrialOptions& options) {
  return LimitSimulation(options).Play();
}

}  // namespace gullward
