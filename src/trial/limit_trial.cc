// Engines, callers, datagrams and trouble around real fleets.

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
// As in gateway/load_exchange.h: how often changes are told, and everything.
constexpr Duration kTick = milliseconds(100);
constexpr int kTicksInRound = 5;
constexpr int kNoticeRounds = 4;
// Until a gateway that starts has read who the others are, and they who it is.
constexpr Duration kKnowsOthersAfter = milliseconds(300);
constexpr Duration kKnownAfter = seconds(2);
// The users' bound: from so long after an engine named its limit, in any such time; a gateway
// counts as told from so long after it has passed on an answer.
constexpr Duration kBoundFrom = seconds(3);
constexpr Duration kWindow = seconds(4);
constexpr Duration kToldAfter = milliseconds(500);

double Allowed(double limit_per_s) { return 1.5 * limit_per_s * ToSeconds(kWindow) + 5; }

struct Gateway {
  std::string box;
  std::string data_centre;
  std::unique_ptr<Fleet> fleet;
  PeerDirectory peers;
  PeerLiveness liveness;
  // Since the fleet was last told of them.
  bool peers_changed = false;
  int ticks = 0;
  // Rises with each start; what was begun in an earlier life comes to nothing.
  uint64_t life = 0;
  bool is_up = false;
  bool is_cut = false;
  bool is_suspended = false;
  Time trouble_ended{};
  // Datagrams that came while it was suspended.
  std::vector<LoadDigest> waiting;
  // By engine, when this life first passed on an answer that named the limit.
  std::map<size_t, Time> told_at;
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
      this->gateways.back()->data_centre = this->Hall(i);
    }
  }

  LimitTrialResult Play() {
    size_t at_once = this->options.gateways - this->options.added;
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      if (i < at_once) {
        this->StartWithOthers(i);
      } else {
        this->events.At(kStart + this->options.need_from + seconds(2), [this, i] {
          this->Start(i);
          this->Announce(i);
        });
      }
      this->ArriveNext(i);
      this->TickNext(i);
    }
    this->Repeat(this->options.kill_every, [this] { this->Kill(this->NextInTrouble()); });
    this->Repeat(this->options.kill_all_every, [this] {
      for (size_t i = 0; i < this->gateways.size(); ++i) this->Kill(i);
    });
    this->Repeat(this->options.cut_every, [this] { this->CutOff(this->NextInTrouble()); });
    this->Repeat(this->options.suspend_every, [this] { this->Suspend(this->NextInTrouble()); });
    this->events.RunUntil(kStart + this->options.length);
    return this->Result();
  }

 private:
  Time now() const { return this->events.now(); }
  std::string Hall(size_t number) const {
    return absl::StrCat("hall-", number % this->options.data_centres);
  }
  static std::string EngineName(size_t engine) { return absl::StrCat("e-", engine); }

  double Draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

  bool InNeed(size_t engine) const {
    return engine < this->limited && this->now() >= kStart + this->options.need_from &&
           this->now() < kStart + this->options.need_to;
  }

  void Repeat(Duration every, const std::function<void()>& happen) {
    if (every.count() == 0) return;
    this->events.After(every, [this, every, happen] {
      happen();
      this->Repeat(every, happen);
    });
  }

  // ------------------------------------------------------------ gateways

  // A new life that knows the engines and nothing else.
  void Start(size_t number) {
    Gateway& gateway = *this->gateways[number];
    Mechanisms mechanisms;
    mechanisms.engine_notices = this->options.engine_notices;
    gateway.fleet =
        std::make_unique<Fleet>(RetryBounds{}, gateway.box, gateway.data_centre, mechanisms);
    for (size_t i = 0; i < this->options.engines; ++i) {
      gateway.fleet->directory().Update(
          {EngineName(i), kService, {"10.0.0.1", 80}, this->Hall(i), 16, false, 0});
    }
    gateway.peers = PeerDirectory{};
    gateway.peers_changed = false;
    gateway.liveness = PeerLiveness{};
    gateway.waiting.clear();
    // A restart excuses the machine until it is told again.
    gateway.told_at.clear();
    gateway.life += 1;
    gateway.is_up = true;
    this->events.After(kKnowsOthersAfter, [this, number, life = gateway.life] {
      if (this->gateways[number]->life == life) this->ReadOthers(number);
    });
  }

  void StartWithOthers(size_t number) {
    this->Start(number);
    this->known.insert(number);
  }

  void ReadOthers(size_t number) {
    for (size_t other : this->known) this->ReadOther(number, other);
    this->gateways[number]->peers_changed = true;
  }

  void ReadOther(size_t number, size_t other) {
    Gateway& gateway = *this->gateways[number];
    const Gateway& peer = *this->gateways[other];
    if (other == number || !gateway.is_up) return;
    gateway.peers.Update({peer.box, {"10.0.0.2", 90}, peer.data_centre});
    gateway.peers_changed = true;
  }

  // The others read of it at moments of their own.
  void Announce(size_t number) {
    this->known.insert(number);
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      if (i == number) continue;
      this->events.After(FromSeconds(this->Draw() * ToSeconds(kKnownAfter)),
                         [this, i, number] { this->ReadOther(i, number); });
    }
  }

  size_t NextInTrouble() { return this->in_trouble++ % this->gateways.size(); }

  void EndTrouble(size_t number, const std::function<void(Gateway*)>& mend) {
    this->events.After(this->options.trouble_for, [this, number, mend] {
      Gateway& gateway = *this->gateways[number];
      mend(&gateway);
      gateway.trouble_ended = this->now();
    });
  }

  void Kill(size_t number) {
    Gateway& gateway = *this->gateways[number];
    if (!gateway.is_up) return;
    gateway.is_up = false;
    gateway.life += 1;
    this->EndTrouble(number, [this, number](Gateway*) { this->Start(number); });
  }

  void CutOff(size_t number) {
    this->gateways[number]->is_cut = true;
    this->EndTrouble(number, [](Gateway* gateway) { gateway->is_cut = false; });
  }

  void Suspend(size_t number) {
    this->gateways[number]->is_suspended = true;
    this->EndTrouble(number, [](Gateway* gateway) { gateway->is_suspended = false; });
  }

  bool IsExcused(const Gateway& gateway) const {
    bool is_in_trouble = !gateway.is_up || gateway.is_cut || gateway.is_suspended;
    bool was_lately = gateway.trouble_ended != Time{} &&
                      this->now() - gateway.trouble_ended < this->options.excused_for;
    return is_in_trouble || was_lately;
  }

  // ------------------------------------------------------------ requests

  void ArriveNext(size_t number) {
    std::exponential_distribution<double> pause(this->options.requests_per_s);
    this->events.After(FromSeconds(pause(this->random)), [this, number] {
      Gateway& gateway = *this->gateways[number];
      if (gateway.is_up && !gateway.is_suspended) this->Send(number);
      this->ArriveNext(number);
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
    if (this->InNeed(engine)) notice.limit_per_s = this->options.limit_per_s;
    this->events.After(this->options.work, [this, number, engine, work, notice, sent = this->now(),
                                            life = gateway.life] {
      this->OnAnswer(number, life, engine, work, notice, sent);
    });
  }

  void OnAnswer(size_t number, uint64_t life, size_t engine, uint64_t work,
                const EngineNotice& notice, Time sent) {
    Gateway& gateway = *this->gateways[number];
    if (gateway.life != life || !gateway.is_up) return;
    gateway.fleet->loads().End(work);
    gateway.fleet->notices().Receive(EngineName(engine), notice, sent, this->now());
    if (notice.limit_per_s) gateway.told_at.try_emplace(engine, this->now());
  }

  void NoteArrival(size_t number, size_t engine) {
    if (!this->InNeed(engine)) return;
    if (this->now() < kStart + this->options.need_from + kBoundFrom) return;
    this->reached_limited += 1;
    const Gateway& gateway = *this->gateways[number];
    auto told = gateway.told_at.find(engine);
    bool counts = told != gateway.told_at.end() && this->now() - told->second >= kToldAfter;
    if (counts && !this->IsExcused(gateway)) this->arrivals[engine].push_back(this->now());
  }

  // ----------------------------------------------------------- datagrams

  void TickNext(size_t number) {
    std::uniform_real_distribution<double> jitter(0.9, 1.1);
    this->events.After(FromSeconds(ToSeconds(kTick) * jitter(this->random)), [this, number] {
      Gateway& gateway = *this->gateways[number];
      if (gateway.is_up && !gateway.is_suspended) this->Tick(&gateway);
      this->TickNext(number);
    });
  }

  void Tick(Gateway* gateway) {
    for (const LoadDigest& digest : std::exchange(gateway->waiting, {})) {
      this->Hear(gateway, digest);
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
    const ServicePlan& mine = plan.ForService(kService);
    std::vector<std::string> boxes;
    for (const Peer* peer :
         gateway->peers.MembersOf(kService, mine.cells, mine.home, plan.revision())) {
      boxes.push_back(peer->box);
    }
    gateway->fleet->SetSilentGateways(gateway->liveness.SilentPeers(boxes, this->now()));
  }

  void SendToCell(Gateway* gateway, const LoadDigest& digest) {
    const WorkPlan& plan = gateway->fleet->plan(this->now());
    const ServicePlan& mine = plan.ForService(kService);
    std::vector<const Peer*> members =
        gateway->peers.MembersForRound(kService, mine.cells, mine.home, plan.revision());
    bool in_need = this->now() >= kStart + this->options.need_from &&
                   this->now() < kStart + this->options.need_to;
    if (in_need && !digest.notices.empty()) {
      LoadDigest without = digest;
      without.notices.clear();
      this->datagrams += members.size();
      this->bytes += members.size() * (EncodeDigest(digest).size() - EncodeDigest(without).size());
    }
    std::vector<size_t> receivers;
    for (const Peer* peer : members) {
      if (this->Draw() >= this->options.datagrams_lost) {
        receivers.push_back(std::stoul(peer->box.substr(4)));
      }
    }
    if (gateway->is_cut) return;
    this->events.After(this->options.told_after, [this, digest, receivers] {
      for (size_t number : receivers) this->Deliver(this->gateways[number].get(), digest);
    });
  }

  void Deliver(Gateway* gateway, const LoadDigest& digest) {
    if (!gateway->is_up || gateway->is_cut) return;
    if (gateway->is_suspended) {
      gateway->waiting.push_back(digest);
      return;
    }
    this->Hear(gateway, digest);
  }

  void Hear(Gateway* gateway, const LoadDigest& digest) {
    gateway->liveness.OnDatagram(digest.box, this->now());
    for (const auto& [engine, word] : digest.notices) {
      gateway->fleet->notices().ReceiveReport(engine, word, this->now());
    }
  }

  // --------------------------------------------------------------- result

  void NoteLifted(const Gateway& gateway) {
    if (this->now() < kStart + this->options.need_to) return;
    if (gateway.fleet->notices().limited() > 0) this->last_believed = this->now();
  }

  double MostOfAllowed() const {
    size_t most = 0;
    for (const std::vector<Time>& times : this->arrivals) {
      size_t end = 0;
      for (size_t begin = 0; begin < times.size(); ++begin) {
        while (end < times.size() && times[end] - times[begin] < kWindow) ++end;
        most = std::max(most, end - begin);
      }
    }
    return static_cast<double>(most) / Allowed(this->options.limit_per_s);
  }

  LimitTrialResult Result() {
    Duration bound_for = this->options.need_to - this->options.need_from - kBoundFrom;
    double ready_to_take =
        static_cast<double>(this->limited) * this->options.limit_per_s * ToSeconds(bound_for);
    this->result.most_of_allowed = this->MostOfAllowed();
    this->result.limit_used = static_cast<double>(this->reached_limited) / ready_to_take;
    double gateway_seconds = static_cast<double>(this->gateways.size()) *
                             ToSeconds(this->options.need_to - this->options.need_from);
    this->result.datagrams_per_s = static_cast<double>(this->datagrams) / gateway_seconds;
    this->result.bytes_per_s = static_cast<double>(this->bytes) / gateway_seconds;
    this->result.lifted_after_ms = this->LiftedAfterMs();
    return this->result;
  }

  double LiftedAfterMs() const {
    for (const auto& gateway : this->gateways) {
      if (gateway->is_up && gateway->fleet->notices().limited() > 0) return -1;
    }
    Time lifted = kStart + this->options.need_to;
    return ToSeconds(std::max(this->last_believed, lifted) - lifted) * 1000;
  }

  LimitTrialOptions options;
  std::mt19937_64 random;
  EventQueue events;
  Service service;
  std::vector<std::unique_ptr<Gateway>> gateways;
  // Those whose entry stands in the topic of gateways.
  std::set<size_t> known;
  // How many engines, the first ones, name a limit.
  size_t limited = 0;
  uint64_t work_count = 0;
  size_t in_trouble = 0;
  // By engine: arrivals that the users' bound counts.
  std::vector<std::vector<Time>> arrivals;
  uint64_t reached_limited = 0;
  size_t datagrams = 0;
  size_t bytes = 0;
  Time last_believed{};
  LimitTrialResult result;
};

}  // namespace

LimitTrialResult PlayLimits(const LimitTrialOptions& options) {
  return LimitSimulation(options).Play();
}

}  // namespace gullward
