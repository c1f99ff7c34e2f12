// Schedules arrivals, ends of answers, load datagrams and the rounds of each gateway in an
// EventQueue.

#include "trial/scale_trial.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serving/fleet.h"
#include "serving/load_digest.h"
#include "serving/peer_directory.h"
#include "trial/event_queue.h"

namespace gullward {
namespace {

constexpr char kService[] = "models";
// Period at which a gateway sends its complete load and drops expired peer loads
// (gateway/load_exchange.h).
constexpr Duration kRound = milliseconds(500);
const Time kStart = Time{} + seconds(1000);

struct Gateway {
  Gateway(std::string box_name, std::string data_centre_name, const Mechanisms& mechanisms)
      : box(std::move(box_name)),
        data_centre(std::move(data_centre_name)),
        fleet(RetryBounds{}, box, data_centre, mechanisms) {}

  std::string box;
  std::string data_centre;
  Fleet fleet;
  PeerDirectory peers;
  uint64_t sequence = 0;
};

class ScaleSimulation {
 public:
  explicit ScaleSimulation(const ScaleOptions& trial_options)
      : options(trial_options), random(trial_options.seed), events(kStart) {
    this->service = {kService, "/healthz", 0, true, {}};
    this->service.speed.slots = this->options.slots;
    this->service.speed.memory_tokens = 450'000;
    this->service.speed.steps_per_pass = 46;
    this->service.speed.step_ms = 0.925;
    for (size_t i = 0; i < this->options.gateways; ++i) this->AddGateway(i);
    this->ListAllPeers();
  }

  ScaleResult Play() {
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      this->ScheduleArrival(i);
      this->ScheduleRound(i);
    }
    Time end = kStart + this->options.duration;
    this->events.RunUntil(end);
    return this->Result();
  }

 private:
  std::string DataCentreOf(size_t number) const {
    return absl::StrCat("hall-", number % this->options.data_centres);
  }

  void AddGateway(size_t number) {
    auto gateway = std::make_unique<Gateway>(absl::StrCat("box-", number),
                                             this->DataCentreOf(number), this->options.mechanisms);
    for (size_t i = 0; i < this->options.engines; ++i) {
      gateway->fleet.directory().Update({absl::StrCat("e-", i),
                                         kService,
                                         {"10.0.0.1", 80},
                                         this->DataCentreOf(i),
                                         this->options.slots,
                                         false,
                                         0});
    }
    this->gateways.push_back(std::move(gateway));
  }

  // Adds every gateway to the peer directory of every other gateway.
  void ListAllPeers() {
    for (auto& gateway : this->gateways) {
      for (const auto& other : this->gateways) {
        if (other == gateway) continue;
        gateway->peers.Update({other->box, {"10.0.0.2", 90}, other->data_centre});
        this->by_box[other->box] = other.get();
      }
      gateway->fleet.SetGateways(gateway->peers.Names());
    }
  }

  void ScheduleArrival(size_t number) {
    std::exponential_distribution<double> delay(this->options.requests_per_s);
    this->events.After(FromSeconds(delay(this->random)), [this, number] {
      this->Arrive(this->gateways[number].get());
      this->ScheduleArrival(number);
    });
  }

  void Arrive(Gateway* gateway) {
    Demand demand;
    demand.prompt_tokens = this->options.prompt_tokens;
    demand.pause_ms = 250;
    std::optional<FleetChoice> choice =
        gateway->fleet.Choose(this->service, demand, /*tried=*/{}, this->events.now());
    if (!choice) return;
    this->result.requests += 1;
    this->candidates += static_cast<double>(choice->candidates);
    const std::string engine = choice->engine.Incarnation();
    this->arrivals[engine] += 1;
    int& on_engine = this->running[engine];
    bool has_room_elsewhere =
        this->all_running < static_cast<int>(this->options.engines) * this->options.slots;
    if (on_engine >= this->options.slots && has_room_elsewhere) this->found_full += 1;
    on_engine += 1;
    this->all_running += 1;
    uint64_t work = ++this->work_count;
    WorkPart part{engine, demand.prompt_tokens, choice->placement.part_reading_ms, true,
                  demand.pause_ms};
    gateway->fleet.loads().Begin(work, {part}, this->events.now());
    this->SendLoad(gateway, {engine});
    this->events.After(FromSeconds(choice->placement.first_event_ms / 1000),
                       [gateway, work] { gateway->fleet.loads().MarkFirstEvent(work); });
    this->events.After(this->options.answer, [this, gateway, work, engine] {
      this->running[engine] -= 1;
      this->all_running -= 1;
      gateway->fleet.loads().End(work);
      this->SendLoad(gateway, {engine});
    });
  }

  void ScheduleRound(size_t number) {
    std::uniform_real_distribution<double> jitter(0.9, 1.1);
    Duration delay = FromSeconds(ToSeconds(kRound) * jitter(this->random));
    this->events.After(delay, [this, number] {
      Gateway* gateway = this->gateways[number].get();
      gateway->peers.BeginRound();
      gateway->fleet.ForgetUnlisted(this->events.now());
      std::vector<std::string> engines;
      for (const auto& [engine, load] : gateway->fleet.loads().OwnLoads(this->events.now())) {
        engines.push_back(engine);
      }
      this->SendLoad(gateway, engines);
      this->ScheduleRound(number);
    });
  }

  // Sends the gateway's own load on these engines to the members of its cell.
  void SendLoad(Gateway* gateway, const std::vector<std::string>& engines) {
    if (engines.empty()) return;
    LoadDigest digest;
    digest.box = gateway->box;
    digest.sequence = ++gateway->sequence;
    std::map<std::string, EngineLoad> own = gateway->fleet.loads().OwnLoads(this->events.now());
    for (const std::string& engine : engines) digest.loads[engine] = own[engine];
    const WorkPlan& plan = gateway->fleet.plan(this->events.now());
    const ServicePlan& own_plan = plan.ForService(kService);
    std::vector<const Peer*> members =
        gateway->peers.MembersForRound(kService, own_plan.cells, own_plan.home, plan.revision());
    this->datagrams += members.size();
    this->bytes += members.size() * EncodeDigest(digest).size();
    std::vector<Gateway*> receivers;
    for (const Peer* peer : members) receivers.push_back(this->by_box[peer->box]);
    this->events.After(this->options.datagram_delay, [this, digest, receivers] {
      for (Gateway* receiver : receivers) {
        receiver->fleet.loads().ApplyPeer(digest.box, 0, digest.sequence, digest.loads,
                                          this->events.now());
      }
    });
  }

  ScaleResult Result() {
    double requests = std::max<double>(static_cast<double>(this->result.requests), 1);
    double gateway_seconds =
        static_cast<double>(this->options.gateways) * ToSeconds(this->options.duration);
    this->result.candidates = this->candidates / requests;
    this->result.datagrams_per_s = static_cast<double>(this->datagrams) / gateway_seconds;
    this->result.bytes_per_s = static_cast<double>(this->bytes) / gateway_seconds;
    uint64_t busiest = 0;
    for (const auto& [engine, count] : this->arrivals) busiest = std::max(busiest, count);
    this->result.busiest_to_mean =
        static_cast<double>(busiest) * static_cast<double>(this->options.engines) / requests;
    this->result.found_full = this->found_full / requests;
    for (const auto& gateway : this->gateways) {
      this->result.peer_loads_kept =
          std::max(this->result.peer_loads_kept, gateway->fleet.loads().peer_entries());
    }
    return this->result;
  }

  ScaleOptions options;
  std::mt19937_64 random;
  EventQueue events;
  Service service;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::map<std::string, Gateway*> by_box;
  uint64_t work_count = 0;
  // Requests that each engine really runs, and their sum over all engines.
  std::map<std::string, int> running;
  int all_running = 0;
  std::map<std::string, uint64_t> arrivals;
  double candidates = 0;
  double found_full = 0;
  size_t datagrams = 0;
  size_t bytes = 0;
  ScaleResult result;
};

}  // namespace

ScaleResult PlayScale(const ScaleOptions& options) { return ScaleSimulation(options).Play(); }

}  // namespace gullward
