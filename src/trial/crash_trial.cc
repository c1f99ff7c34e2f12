// Simulates engines, callers, the store and the network around the real SharedQuarantine.

#include "trial/crash_trial.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serving/load_digest.h"
#include "serving/shared_quarantine.h"
#include "trial/event_queue.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
// Period at which a gateway sends its crash gossip (gateway/gateway_server.cc).
constexpr Duration kTick = milliseconds(25);
// Longest time until the deciding gateway writes a quarantine to the store, and longest time
// from then until another gateway has read it.
constexpr Duration kMaxStoreWriteDelay = seconds(2);
constexpr Duration kMaxStoreReadDelay = seconds(2);
// Time from an engine's crash until the gateways that use the engine detect it.
constexpr Duration kCrashDetectionDelay = milliseconds(3);
// A caller whose request failed or was refused retries once, after this time.
constexpr Duration kCallerRetryDelay = milliseconds(400);
constexpr int kMaxCallerTries = 2;
constexpr int kAttemptsPerTry = 2;
constexpr Duration kQuarantineDuration = std::chrono::hours(1);
constexpr ContentId kHotContent = 1;
constexpr ContentId kFirstCrashingContent = 1000;
constexpr ContentId kFirstHarmlessContent = 1'000'000;
constexpr ContentId kFirstContentWithPart = 1'000'000'000;
constexpr PartId kFirstSharedPart = 1;
constexpr PartId kFirstCrashingPart = 1'000'000;
// Crashes after which the users' bounds begin to count.
constexpr size_t kCrashesOfContent = 3;
constexpr size_t kCrashesOfPart = 5;

struct Gateway {
  std::string box;
  std::unique_ptr<SharedQuarantine> shared;
  // When the gateway became healthy: up, not partitioned and not suspended.  Empty if it is not.
  std::optional<Time> healthy_since;
  bool is_up = true;
  bool is_partitioned = false;
  bool is_suspended = false;
};

struct Engine {
  uint64_t incarnation = 0;
  bool is_up = true;
  std::set<uint64_t> running_requests;
};

struct Request {
  ContentId content = 0;
  std::vector<PartId> parts;
  // Why engines crash under the request; empty if they do not.
  std::optional<Suspect> cause;
  // Whether it counts in CrashTrialResult::later_harmless.
  bool is_later_harmless = false;
  size_t gateway = 0;
  int tries_left = kMaxCallerTries;
  int attempts = 0;
  std::optional<size_t> engine;
  Time sent{};
  std::set<EngineKey> tried;
  // Until when this try waits for a decision; empty if it does not wait.
  std::optional<Time> decision_awaited_until;
};

class CrashSimulation {
 public:
  explicit CrashSimulation(const CrashTrialOptions& trial_options)
      : options(trial_options), random(trial_options.seed), events(kStart) {
    for (size_t i = 0; i < this->options.gateways; ++i) {
      this->gateways.push_back({absl::StrCat("box-", i), nullptr, kStart - seconds(60)});
      this->StartWithoutState(i);
      this->ScheduleTick(i);
    }
    this->engines.resize(this->options.engines);
    for (Engine& engine : this->engines) engine.incarnation = ++this->last_incarnation;
  }

  CrashTrialResult Play() {
    for (size_t i = 0; i < this->options.crashing_contents; ++i) {
      this->ScheduleArrival(this->options.crashing_per_s, [this, i] {
        Request request;
        request.content = kFirstCrashingContent + i;
        request.cause = request.content;
        return request;
      });
    }
    for (size_t i = 0; i < this->options.crashing_parts; ++i) {
      this->ScheduleArrival(this->options.crashing_part_per_s, [this, i] {
        Request request;
        request.content = kFirstContentWithPart + this->contents_with_part++;
        request.parts = {kFirstCrashingPart + i};
        request.cause = Suspect::OfPart(kFirstCrashingPart + i);
        return request;
      });
    }
    this->ScheduleArrival(this->options.harmless_per_s, [this] {
      Request request;
      request.content = this->NextHarmlessContent();
      return request;
    });
    this->Repeat(this->options.rack_crash_interval, [this] { this->CrashRack(); });
    this->Repeat(this->options.kill_interval, [this] { this->Kill(this->NextFaultTarget()); });
    this->Repeat(this->options.kill_all_interval, [this] { this->KillAll(); });
    this->Repeat(this->options.partition_interval,
                 [this] { this->Partition(this->NextFaultTarget()); });
    this->Repeat(this->options.suspend_interval,
                 [this] { this->Suspend(this->NextFaultTarget()); });
    this->events.RunUntil(kStart + this->options.duration);
    return this->Result();
  }

 private:
  Time now() const { return this->events.now(); }

  EngineKey KeyOf(size_t engine) const { return this->engines[engine].incarnation; }

  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
  size_t RandomBelow(size_t count) { return this->random() % count; }

  void Repeat(Duration interval, const std::function<void()>& task) {
    if (interval.count() == 0) return;
    this->events.After(interval, [this, interval, task] {
      task();
      this->Repeat(interval, task);
    });
  }

  // ------------------------------------------------------------- callers

  ContentId NextHarmlessContent() {
    bool is_hot = this->RandomFraction() < this->options.hot_share;
    return is_hot ? kHotContent : kFirstHarmlessContent + this->harmless_count++;
  }

  void ScheduleArrival(double per_s, const std::function<Request()>& make) {
    if (per_s <= 0) return;
    std::exponential_distribution<double> delay(per_s);
    this->events.After(FromSeconds(delay(this->random)), [this, per_s, make] {
      Request request = make();
      if (this->options.shared_parts > 0) this->AddSharedPart(&request);
      (request.cause ? this->result.crashing_requests : this->result.harmless_requests) += 1;
      request.is_later_harmless = !request.cause && this->IsLongAfterCrashesOfPart();
      if (request.is_later_harmless) this->result.later_harmless += 1;
      uint64_t id = ++this->request_count;
      this->requests[id] = request;
      this->Try(id);
      this->ScheduleArrival(per_s, make);
    });
  }

  void AddSharedPart(Request* request) {
    bool is_first = request->cause && this->options.one_first_part;
    size_t number = is_first ? 0 : this->RandomBelow(this->options.shared_parts);
    request->parts.insert(request->parts.begin(), kFirstSharedPart + number);
  }

  bool IsLongAfterCrashesOfPart() const {
    return std::any_of(this->detectable.begin(), this->detectable.end(), [this](const auto& one) {
      return one.first.is_part() && this->now() - one.second > 2 * this->options.healthy_after;
    });
  }

  bool IsCrashing(const Suspect& suspect) const {
    uint64_t first = suspect.is_part() ? kFirstCrashingPart : kFirstCrashingContent;
    uint64_t count =
        suspect.is_part() ? this->options.crashing_parts : this->options.crashing_contents;
    // A content with a crashing part crashes engines too.
    bool has_part = !suspect.is_part() && suspect.hash >= kFirstContentWithPart;
    return has_part || (suspect.hash >= first && suspect.hash < first + count);
  }

  // The load balancer sends a caller to a random gateway that is up.
  void Try(uint64_t id) {
    Request& request = this->requests[id];
    request.tries_left -= 1;
    request.attempts = 0;
    request.tried.clear();
    request.decision_awaited_until.reset();
    for (size_t i = 0; i < 2 * this->gateways.size(); ++i) {
      request.gateway = this->RandomBelow(this->gateways.size());
      const Gateway& gateway = this->gateways[request.gateway];
      if (gateway.is_up && !gateway.is_suspended) return this->Send(id);
    }
    this->requests.erase(id);
  }

  void RetryLater(uint64_t id) {
    if (this->requests[id].tries_left <= 0) {
      this->requests.erase(id);
      return;
    }
    this->events.After(kCallerRetryDelay, [this, id] { this->Try(id); });
  }

  // ------------------------------------------------------------- gateways

  void StartWithoutState(size_t number) {
    Gateway* gateway = &this->gateways[number];
    SharedQuarantine::Hooks hooks;
    hooks.quarantined = [this, number](const QuarantineReport& report, const std::string& by) {
      this->OnQuarantined(number, report, by);
    };
    gateway->shared = std::make_unique<SharedQuarantine>(gateway->box, kQuarantineDuration, hooks);
  }

  // Here only the gateway that decided on the quarantine writes it to the store.  In production
  // every gateway that saw one of the crashes would.
  void OnQuarantined(size_t number, const QuarantineReport& report, const std::string& by) {
    this->NoteQuarantined(report.suspect);
    if (by != this->gateways[number].box) return;
    Duration wait = FromSeconds(this->RandomFraction() * ToSeconds(kMaxStoreWriteDelay));
    this->events.After(wait, [this, number, suspect = report.suspect] {
      const Gateway& decider = this->gateways[number];
      bool reaches_store = decider.is_up && !decider.is_partitioned && !decider.is_suspended;
      if (reaches_store && this->stored.insert(suspect).second) this->Publish(suspect);
    });
  }

  void Publish(const Suspect& suspect) {
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      Duration wait = FromSeconds(this->RandomFraction() * ToSeconds(kMaxStoreReadDelay));
      this->events.After(wait, [this, i, suspect] { this->ReadStore(i, suspect); });
    }
  }

  void ReadStore(size_t number, const Suspect& suspect) {
    Gateway& gateway = this->gateways[number];
    if (!gateway.is_up || gateway.is_partitioned || gateway.is_suspended) return;
    gateway.shared->AdoptFromPeer({suspect, kQuarantineDuration}, "store", this->now());
  }

  void ReadWholeStore(size_t number) {
    for (const Suspect& suspect : this->stored) this->ReadStore(number, suspect);
  }

  void NoteQuarantined(const Suspect& suspect) {
    auto since = this->detectable.find(suspect);
    if (since == this->detectable.end() || this->quarantined_everywhere.count(suspect) != 0) return;
    for (const Gateway& gateway : this->gateways) {
      bool runs = gateway.healthy_since.has_value();
      if (runs && !gateway.shared->suspects().IsQuarantined(suspect, this->now())) return;
    }
    this->quarantined_everywhere.insert(suspect);
    double elapsed_ms = ToSeconds(this->now() - since->second) * 1000;
    this->result.quarantined_everywhere_ms =
        std::max(this->result.quarantined_everywhere_ms, elapsed_ms);
  }

  void ScheduleTick(size_t number) {
    Duration delay = FromSeconds(ToSeconds(kTick) * (0.5 + this->RandomFraction()));
    this->events.After(delay, [this, number] {
      Gateway& gateway = this->gateways[number];
      if (gateway.is_up && !gateway.is_suspended) {
        gateway.shared->Tick(this->now());
        this->SendGossip(number);
      }
      this->ScheduleTick(number);
    });
  }

  void SendGossip(size_t from) {
    CrashGossip gossip = this->gateways[from].shared->TakeGossip();
    if (gossip.empty()) return;
    std::vector<size_t> others;
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      if (i != from) others.push_back(i);
    }
    std::vector<size_t> receivers;
    std::sample(others.begin(), others.end(), std::back_inserter(receivers),
                CrashGossipQueue::kFanout, this->random);
    for (size_t to : receivers) this->SendGossipTo(from, to, gossip);
  }

  void SendGossipTo(size_t from, size_t to, const CrashGossip& gossip) {
    LoadDigest digest;
    digest.box = this->gateways[from].box;
    digest.crash_gossip = gossip;
    this->datagrams += 1;
    this->bytes += EncodeDigest(digest).size();
    if (this->gateways[from].is_partitioned || this->RandomFraction() < this->options.datagram_loss)
      return;
    Duration delay = milliseconds(1) + FromSeconds(this->RandomFraction() * 0.004);
    this->events.After(delay, [this, from, to, gossip] {
      Gateway& receiver = this->gateways[to];
      if (!receiver.is_up || receiver.is_partitioned || receiver.is_suspended) return;
      CrashGossip reply = receiver.shared->Receive(this->gateways[from].box, gossip, this->now());
      if (!reply.empty()) this->SendGossipTo(to, from, reply);
    });
  }

  bool IsLongHealthy(const Gateway& gateway) const {
    return gateway.healthy_since &&
           this->now() - *gateway.healthy_since >= this->options.healthy_after;
  }

  std::optional<Duration> RefusedFor(const Request& request) const {
    if (!this->options.quarantine) return std::nullopt;
    const Quarantine& quarantine = this->gateways[request.gateway].shared->suspects();
    return quarantine.RefusedFor(SuspectsOf(request.content, request.parts), this->now());
  }

  // Takes the first engine with room in the order that all contents share.  A content with an
  // unexplained crash has a pseudorandom order of its own.
  std::optional<size_t> Choose(const Request& request) {
    const Quarantine& quarantine = this->gateways[request.gateway].shared->suspects();
    bool scatter =
        this->options.quarantine && quarantine.UnexplainedCrashCount(request.content) > 0;
    std::optional<size_t> best;
    uint64_t best_order = 0;
    for (size_t i = 0; i < this->engines.size(); ++i) {
      const Engine& engine = this->engines[i];
      bool has_room = static_cast<int>(engine.running_requests.size()) < this->options.slots;
      if (!engine.is_up || !has_room || request.tried.count(engine.incarnation) != 0) continue;
      uint64_t order = scatter ? XXH3_64bits_withSeed(&i, sizeof(i), request.content) : i;
      if (best && order >= best_order) continue;
      best = i;
      best_order = order;
    }
    return best;
  }

  void Send(uint64_t id) {
    Request& request = this->requests[id];
    std::optional<Duration> wait = this->RefusedFor(request);
    if (wait && this->AwaitDecision(&request, *wait)) {
      this->events.After(kTick, [this, id] { this->SendAfterDecision(id); });
      return;
    }
    if (wait) {
      (request.cause ? this->result.crashing_refused : this->result.harmless_refused) += 1;
      return this->RetryLater(id);
    }
    std::optional<size_t> engine = this->Choose(request);
    if (!engine) return this->RetryLater(id);
    request.attempts += 1;
    request.engine = engine;
    request.sent = this->now();
    request.tried.insert(this->KeyOf(*engine));
    this->CountSent(request);
    bool is_first_try = request.attempts == 1 && request.tries_left == kMaxCallerTries - 1;
    if (request.is_later_harmless && is_first_try) this->result.later_harmless_begun += 1;
    this->engines[*engine].running_requests.insert(id);
    uint64_t incarnation = this->engines[*engine].incarnation;
    Duration work_duration =
        request.cause ? this->options.crash_after : this->options.harmless_work;
    this->events.After(work_duration, [this, id, at = *engine, incarnation] {
      this->EndWork(id, at, incarnation);
    });
  }

  // As Exchange::AwaitDecision (gateway/exchange_crashes.cc).
  bool AwaitDecision(Request* request, Duration wait) {
    const Quarantine& quarantine = this->gateways[request->gateway].shared->suspects();
    for (const Suspect& suspect : SuspectsOf(request->content, request->parts)) {
      if (quarantine.IsQuarantined(suspect, this->now())) return false;
    }
    if (!request->decision_awaited_until) {
      request->decision_awaited_until = this->now() + Quarantine::kMaxDecisionWait;
    }
    return this->now() + wait < *request->decision_awaited_until;
  }

  void SendAfterDecision(uint64_t id) {
    Gateway& gateway = this->gateways[this->requests[id].gateway];
    if (!gateway.is_up || gateway.is_suspended) return this->RetryLater(id);
    gateway.shared->Tick(this->now());
    this->Send(id);
  }

  void CountSent(const Request& request) {
    if (!request.cause) return;
    auto since = this->detectable.find(*request.cause);
    if (since == this->detectable.end()) return;
    bool later = this->now() - since->second > this->options.healthy_after;
    bool counts = later && this->IsLongHealthy(this->gateways[request.gateway]);
    if (counts) this->sent_after[*request.cause] += 1;
  }

  // ------------------------------------------------------------- engines

  // Ends the work on a request: the engine crashes, or the request is answered.
  void EndWork(uint64_t id, size_t at, uint64_t incarnation) {
    Engine& engine = this->engines[at];
    bool is_running =
        engine.is_up && engine.incarnation == incarnation && engine.running_requests.count(id) != 0;
    if (!is_running) return;
    const Request& request = this->requests[id];
    if (request.cause) {
      this->result.engines_crashed += 1;
      this->CountCrash(*request.cause);
      this->CrashEngine(at);
      return;
    }
    engine.running_requests.erase(id);
    Gateway& gateway = this->gateways[request.gateway];
    bool forwards_answer = gateway.is_up && !gateway.is_suspended;
    if (forwards_answer) {
      this->result.harmless_served += 1;
      for (const Suspect& suspect : SuspectsOf(request.content, request.parts)) {
        gateway.shared->NoteAnswered(suspect, this->now());
      }
    }
    this->requests.erase(id);
  }

  void CrashEngine(size_t number) {
    Engine& engine = this->engines[number];
    if (!engine.is_up) return;
    engine.is_up = false;
    uint64_t incarnation = engine.incarnation;
    std::set<uint64_t> lost = std::exchange(engine.running_requests, {});
    this->events.After(kCrashDetectionDelay, [this, lost, incarnation] {
      for (uint64_t id : lost) this->OnBroken(id, incarnation);
    });
    this->events.After(this->options.restart_after, [this, number] {
      this->engines[number].is_up = true;
      this->engines[number].incarnation = ++this->last_incarnation;
    });
  }

  void CountCrash(const Suspect& cause) {
    size_t needed = cause.is_part() ? kCrashesOfPart : kCrashesOfContent;
    if (++this->crash_counts[cause] == needed) this->detectable[cause] = this->now();
  }

  void OnBroken(uint64_t id, uint64_t incarnation) {
    Request& request = this->requests[id];
    Gateway& gateway = this->gateways[request.gateway];
    if (!gateway.is_up || gateway.is_suspended) return this->RetryLater(id);
    if (!gateway.is_partitioned) {
      for (const Suspect& suspect : SuspectsOf(request.content, request.parts)) {
        gateway.shared->NoteCrash({suspect, incarnation}, this->now(), request.sent);
      }
    }
    std::vector<Suspect> suspects = SuspectsOf(request.content, request.parts);
    auto allows = [&](const Suspect& suspect) {
      return gateway.shared->suspects().AllowsSecondAttempt(suspect);
    };
    bool allowed =
        !this->options.quarantine || std::all_of(suspects.begin(), suspects.end(), allows);
    bool may_retry = request.attempts < kAttemptsPerTry && allowed && !this->RefusedFor(request);
    may_retry ? this->Send(id) : this->RetryLater(id);
  }

  void CrashRack() {
    size_t first = this->RandomBelow(3);
    for (size_t i = first; i < this->engines.size(); i += 3) this->CrashEngine(i);
  }

  // ------------------------------------------------------------- faults

  size_t NextFaultTarget() { return this->next_fault_target++ % this->gateways.size(); }

  void Kill(size_t number) {
    Gateway& gateway = this->gateways[number];
    gateway.is_up = false;
    gateway.healthy_since.reset();
    this->StartWithoutState(number);
    this->events.After(this->options.fault_duration, [this, number] {
      this->gateways[number].is_up = true;
      this->EndFault(number);
    });
  }

  void KillAll() {
    for (size_t i = 0; i < this->gateways.size(); ++i) this->Kill(i);
  }

  // The gateway exchanges nothing with its peers and the store, but still serves callers and
  // reaches engines.
  void Partition(size_t number) {
    this->gateways[number].is_partitioned = true;
    this->gateways[number].healthy_since.reset();
    this->events.After(this->options.fault_duration, [this, number] {
      this->gateways[number].is_partitioned = false;
      this->EndFault(number);
    });
  }

  void Suspend(size_t number) {
    this->gateways[number].is_suspended = true;
    this->gateways[number].healthy_since.reset();
    this->events.After(this->options.fault_duration, [this, number] {
      this->gateways[number].is_suspended = false;
      this->EndFault(number);
    });
  }

  void EndFault(size_t number) {
    Gateway& gateway = this->gateways[number];
    bool is_healthy = gateway.is_up && !gateway.is_partitioned && !gateway.is_suspended;
    if (!is_healthy) return;
    gateway.healthy_since = this->now();
    this->ReadWholeStore(number);
  }

  // ------------------------------------------------------------- figures

  CrashTrialResult Result() {
    for (const auto& [cause, sent] : this->sent_after) {
      this->result.max_sent_after = std::max(this->result.max_sent_after, sent);
    }
    std::set<Suspect> harmless;
    for (const Gateway& gateway : this->gateways) {
      for (const Suspect& suspect : gateway.shared->suspects().Quarantined(this->now())) {
        if (!this->IsCrashing(suspect)) harmless.insert(suspect);
      }
    }
    this->result.harmless_quarantined = harmless.size();
    auto gateway_count = static_cast<double>(this->gateways.size());
    this->result.datagrams_per_gateway = static_cast<double>(this->datagrams) / gateway_count;
    this->result.bytes_per_gateway = static_cast<double>(this->bytes) / gateway_count;
    return this->result;
  }

  CrashTrialOptions options;
  std::mt19937_64 random;
  EventQueue events;
  std::vector<Gateway> gateways;
  std::vector<Engine> engines;
  std::map<uint64_t, Request> requests;
  std::set<Suspect> stored;
  // For contents and parts that crash engines: the number of engines that each has crashed, when
  // that was enough to detect it, and those that all healthy gateways have had in quarantine.
  std::map<Suspect, size_t> crash_counts;
  std::map<Suspect, Time> detectable;
  std::set<Suspect> quarantined_everywhere;
  std::map<Suspect, uint64_t> sent_after;
  uint64_t last_incarnation = 0;
  uint64_t request_count = 0;
  uint64_t harmless_count = 0;
  uint64_t contents_with_part = 0;
  size_t next_fault_target = 0;
  uint64_t datagrams = 0;
  uint64_t bytes = 0;
  CrashTrialResult result;
};

}  // namespace

CrashTrialResult PlayCrashes(const CrashTrialOptions& options) {
  return CrashSimulation(options).Play();
}

}  // namespace gullward
