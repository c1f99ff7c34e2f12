// Engines, callers, the store and the network around the real SharedQuarantine.

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
// A gateway's loop sends its news so often (gateway/gateway_server.cc).
constexpr Duration kTick = milliseconds(25);
// Over which a witness writes to the store, and until all who follow it have read that.
constexpr Duration kWitnessSpread = seconds(2);
constexpr Duration kStoreNews = seconds(2);
// From an engine's end until its gateways have found out.
constexpr Duration kFoundAfter = milliseconds(3);
// A caller whose answer broke off comes back once, after this.
constexpr Duration kCallerPause = milliseconds(400);
constexpr int kCallerTries = 2;
constexpr int kAttempts = 2;
constexpr Duration kLasts = std::chrono::hours(1);
constexpr ContentId kHotContent = 1;
constexpr ContentId kFirstDeadly = 1000;
constexpr ContentId kFirstInnocent = 1'000'000;

struct Gateway {
  std::string box;
  std::unique_ptr<SharedQuarantine> shared;
  // Runs, and is neither cut off nor suspended, since then; nothing in trouble.
  std::optional<Time> well_since;
  bool is_up = true;
  bool is_cut = false;
  bool is_suspended = false;
};

struct Engine {
  uint64_t life = 0;
  bool is_up = true;
  std::set<uint64_t> work;
};

struct Request {
  ContentId content = 0;
  bool is_deadly = false;
  size_t gateway = 0;
  int tries_left = kCallerTries;
  int attempts = 0;
  std::optional<size_t> engine;
  Time sent{};
  std::set<EngineKey> tried;
};

class CrashSimulation {
 public:
  explicit CrashSimulation(const CrashTrialOptions& trial_options)
      : options(trial_options), random(trial_options.seed), events(kStart) {
    for (size_t i = 0; i < this->options.gateways; ++i) {
      this->gateways.push_back({absl::StrCat("box-", i), nullptr, kStart - seconds(60)});
      this->StartEmpty(i);
      this->TickNext(i);
    }
    this->engines.resize(this->options.engines);
    for (Engine& engine : this->engines) engine.life = ++this->lives;
  }

  CrashTrialResult Play() {
    for (size_t i = 0; i < this->options.deadly; ++i) {
      this->ArriveNext(this->options.deadly_per_s, [this, i] { return kFirstDeadly + i; });
    }
    this->ArriveNext(this->options.innocent_per_s, [this] { return this->DrawInnocent(); });
    this->Repeat(this->options.rack_every, [this] { this->EndRack(); });
    this->Repeat(this->options.kill_every, [this] { this->Kill(this->NextInTrouble()); });
    this->Repeat(this->options.kill_all_every, [this] { this->KillAll(); });
    this->Repeat(this->options.cut_every, [this] { this->CutOff(this->NextInTrouble()); });
    this->Repeat(this->options.suspend_every, [this] { this->Suspend(this->NextInTrouble()); });
    this->events.RunUntil(kStart + this->options.length);
    return this->Result();
  }

 private:
  Time now() const { return this->events.now(); }

  EngineKey KeyOf(size_t engine) const { return this->engines[engine].life; }

  double Draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
  size_t DrawBelow(size_t count) { return this->random() % count; }

  void Repeat(Duration every, const std::function<void()>& happen) {
    if (every.count() == 0) return;
    this->events.After(every, [this, every, happen] {
      happen();
      this->Repeat(every, happen);
    });
  }

  // ------------------------------------------------------------- callers

  ContentId DrawInnocent() {
    bool is_hot = this->Draw() < this->options.hot_share;
    return is_hot ? kHotContent : kFirstInnocent + this->innocent_count++;
  }

  void ArriveNext(double per_s, const std::function<ContentId()>& content) {
    if (per_s <= 0) return;
    std::exponential_distribution<double> pause(per_s);
    this->events.After(FromSeconds(pause(this->random)), [this, per_s, content] {
      Request request;
      request.content = content();
      request.is_deadly = this->IsDeadly(request.content);
      (request.is_deadly ? this->result.deadly_requests : this->result.innocent_requests) += 1;
      uint64_t id = ++this->request_count;
      this->requests[id] = request;
      this->Try(id);
      this->ArriveNext(per_s, content);
    });
  }

  bool IsDeadly(ContentId content) const {
    return content >= kFirstDeadly && content < kFirstDeadly + this->options.deadly;
  }

  // The balancer sends callers to gateways that run.
  void Try(uint64_t id) {
    Request& request = this->requests[id];
    request.tries_left -= 1;
    request.attempts = 0;
    request.tried.clear();
    for (size_t i = 0; i < 2 * this->gateways.size(); ++i) {
      request.gateway = this->DrawBelow(this->gateways.size());
      const Gateway& gateway = this->gateways[request.gateway];
      if (gateway.is_up && !gateway.is_suspended) return this->Send(id);
    }
    this->requests.erase(id);
  }

  void ComeBack(uint64_t id) {
    if (this->requests[id].tries_left <= 0) {
      this->requests.erase(id);
      return;
    }
    this->events.After(kCallerPause, [this, id] { this->Try(id); });
  }

  // ------------------------------------------------------------- gateways

  void StartEmpty(size_t number) {
    Gateway* gateway = &this->gateways[number];
    SharedQuarantine::Hooks hooks;
    hooks.quarantined = [this, number](const QuarantineReport& word, const std::string& by) {
      this->OnQuarantined(number, word, by);
    };
    gateway->shared = std::make_unique<SharedQuarantine>(gateway->box, kLasts, hooks);
  }

  // Only the judge writes here; in the gateway every witness would.
  void OnQuarantined(size_t number, const QuarantineReport& word, const std::string& by) {
    this->NoteKnown(word.content);
    if (by != this->gateways[number].box) return;
    Duration wait = FromSeconds(this->Draw() * ToSeconds(kWitnessSpread));
    this->events.After(wait, [this, number, content = word.content] {
      const Gateway& judge = this->gateways[number];
      bool reaches_store = judge.is_up && !judge.is_cut && !judge.is_suspended;
      if (reaches_store && this->stored.insert(content).second) this->Publish(content);
    });
  }

  void Publish(ContentId content) {
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      Duration wait = FromSeconds(this->Draw() * ToSeconds(kStoreNews));
      this->events.After(wait, [this, i, content] { this->ReadStore(i, content); });
    }
  }

  void ReadStore(size_t number, ContentId content) {
    Gateway& gateway = this->gateways[number];
    if (!gateway.is_up || gateway.is_cut || gateway.is_suspended) return;
    gateway.shared->AdoptFromPeer({content, kLasts}, "store", this->now());
  }

  void ReadWholeStore(size_t number) {
    for (ContentId content : this->stored) this->ReadStore(number, content);
  }

  void NoteKnown(ContentId content) {
    auto third = this->third_end.find(content);
    if (third == this->third_end.end() || this->known.count(content) != 0) return;
    for (const Gateway& gateway : this->gateways) {
      bool runs = gateway.well_since.has_value();
      if (runs && !gateway.shared->contents().IsQuarantined(content, this->now())) return;
    }
    this->known.insert(content);
    double took_ms = ToSeconds(this->now() - third->second) * 1000;
    this->result.known_to_all_ms = std::max(this->result.known_to_all_ms, took_ms);
  }

  void TickNext(size_t number) {
    Duration pause = FromSeconds(ToSeconds(kTick) * (0.5 + this->Draw()));
    this->events.After(pause, [this, number] {
      Gateway& gateway = this->gateways[number];
      if (gateway.is_up && !gateway.is_suspended) {
        gateway.shared->Tick(this->now());
        this->TellNews(number);
      }
      this->TickNext(number);
    });
  }

  void TellNews(size_t from) {
    CrashGossip news = this->gateways[from].shared->TakeGossip();
    if (news.empty()) return;
    std::vector<size_t> others;
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      if (i != from) others.push_back(i);
    }
    std::vector<size_t> drawn;
    std::sample(others.begin(), others.end(), std::back_inserter(drawn), CrashGossipQueue::kFanout,
                this->random);
    for (size_t to : drawn) this->SendNews(from, to, news);
  }

  void SendNews(size_t from, size_t to, const CrashGossip& news) {
    LoadDigest digest;
    digest.box = this->gateways[from].box;
    digest.crash_gossip = news;
    this->datagrams += 1;
    this->bytes += EncodeDigest(digest).size();
    if (this->gateways[from].is_cut || this->Draw() < this->options.datagrams_lost) return;
    Duration delay = milliseconds(1) + FromSeconds(this->Draw() * 0.004);
    this->events.After(delay, [this, from, to, news] {
      Gateway& receiver = this->gateways[to];
      if (!receiver.is_up || receiver.is_cut || receiver.is_suspended) return;
      CrashGossip reply = receiver.shared->Receive(this->gateways[from].box, news, this->now());
      if (!reply.empty()) this->SendNews(to, from, reply);
    });
  }

  bool IsInTouch(const Gateway& gateway) const {
    return gateway.well_since && this->now() - *gateway.well_since >= this->options.in_touch_after;
  }

  std::optional<Duration> RefusedFor(const Request& request) const {
    if (!this->options.quarantine) return std::nullopt;
    const Quarantine& contents = this->gateways[request.gateway].shared->contents();
    return contents.RefusedFor(request.content, this->now());
  }

  // By the shared order, or by an order of its own where an engine has ended under it.
  std::optional<size_t> Choose(const Request& request) {
    const Quarantine& contents = this->gateways[request.gateway].shared->contents();
    bool scatter = this->options.quarantine && contents.UnexplainedCrashCount(request.content) > 0;
    std::optional<size_t> best;
    uint64_t best_order = 0;
    for (size_t i = 0; i < this->engines.size(); ++i) {
      const Engine& engine = this->engines[i];
      bool has_room = static_cast<int>(engine.work.size()) < this->options.slots;
      if (!engine.is_up || !has_room || request.tried.count(engine.life) != 0) continue;
      uint64_t order = scatter ? XXH3_64bits_withSeed(&i, sizeof(i), request.content) : i;
      if (best && order >= best_order) continue;
      best = i;
      best_order = order;
    }
    return best;
  }

  void Send(uint64_t id) {
    Request& request = this->requests[id];
    if (this->RefusedFor(request)) {
      (request.is_deadly ? this->result.deadly_refused : this->result.innocent_refused) += 1;
      return this->ComeBack(id);
    }
    std::optional<size_t> engine = this->Choose(request);
    if (!engine) return this->ComeBack(id);
    request.attempts += 1;
    request.engine = engine;
    request.sent = this->now();
    request.tried.insert(this->KeyOf(*engine));
    this->CountSent(request);
    this->engines[*engine].work.insert(id);
    uint64_t life = this->engines[*engine].life;
    Duration work = request.is_deadly ? this->options.ends_after : this->options.innocent_work;
    this->events.After(work, [this, id, at = *engine, life] { this->Work(id, at, life); });
  }

  void CountSent(const Request& request) {
    auto third = this->third_end.find(request.content);
    if (third == this->third_end.end()) return;
    bool later = this->now() - third->second > this->options.in_touch_after;
    bool counts = later && this->IsInTouch(this->gateways[request.gateway]);
    if (counts) this->sent_after[request.content] += 1;
  }

  // ------------------------------------------------------------- engines

  // What a request does at its end: it ends its engine, or it is answered.
  void Work(uint64_t id, size_t at, uint64_t life) {
    Engine& engine = this->engines[at];
    bool is_there = engine.is_up && engine.life == life && engine.work.count(id) != 0;
    if (!is_there) return;
    const Request& request = this->requests[id];
    if (request.is_deadly) {
      this->result.engines_ended += 1;
      this->CountEnd(request.content);
      this->EndEngine(at);
      return;
    }
    engine.work.erase(id);
    Gateway& gateway = this->gateways[request.gateway];
    bool passes_on = gateway.is_up && !gateway.is_suspended;
    if (passes_on) {
      this->result.innocent_served += 1;
      if (gateway.shared->contents().HasRecordOf(request.content)) {
        gateway.shared->NoteAnswered(request.content, this->now());
      }
    }
    this->requests.erase(id);
  }

  void EndEngine(size_t number) {
    Engine& engine = this->engines[number];
    if (!engine.is_up) return;
    engine.is_up = false;
    uint64_t life = engine.life;
    std::set<uint64_t> lost = std::exchange(engine.work, {});
    this->events.After(kFoundAfter, [this, lost, life] {
      for (uint64_t id : lost) this->OnBroken(id, life);
    });
    this->events.After(this->options.back_after, [this, number] {
      this->engines[number].is_up = true;
      this->engines[number].life = ++this->lives;
    });
  }

  void CountEnd(ContentId content) {
    if (++this->ends_under[content] == Quarantine::kMinCrashes) {
      this->third_end[content] = this->now();
    }
  }

  void OnBroken(uint64_t id, uint64_t life) {
    Request& request = this->requests[id];
    Gateway& gateway = this->gateways[request.gateway];
    if (!gateway.is_up || gateway.is_suspended) return this->ComeBack(id);
    if (!gateway.is_cut) {
      gateway.shared->NoteCrash({request.content, life}, this->now(), request.sent);
    }
    bool allowed = !this->options.quarantine ||
                   gateway.shared->contents().AllowsSecondAttempt(request.content);
    bool again = request.attempts < kAttempts && allowed && !this->RefusedFor(request);
    again ? this->Send(id) : this->ComeBack(id);
  }

  void EndRack() {
    size_t first = this->DrawBelow(3);
    for (size_t i = first; i < this->engines.size(); i += 3) this->EndEngine(i);
  }

  // ------------------------------------------------------------- trouble

  size_t NextInTrouble() { return this->in_trouble++ % this->gateways.size(); }

  void Kill(size_t number) {
    Gateway& gateway = this->gateways[number];
    gateway.is_up = false;
    gateway.well_since.reset();
    this->StartEmpty(number);
    this->events.After(this->options.trouble_for, [this, number] {
      this->gateways[number].is_up = true;
      this->GetWell(number);
    });
  }

  void KillAll() {
    for (size_t i = 0; i < this->gateways.size(); ++i) this->Kill(i);
  }

  // No datagram and no word of the store comes through; callers and engines do.
  void CutOff(size_t number) {
    this->gateways[number].is_cut = true;
    this->gateways[number].well_since.reset();
    this->events.After(this->options.trouble_for, [this, number] {
      this->gateways[number].is_cut = false;
      this->GetWell(number);
    });
  }

  void Suspend(size_t number) {
    this->gateways[number].is_suspended = true;
    this->gateways[number].well_since.reset();
    this->events.After(this->options.trouble_for, [this, number] {
      this->gateways[number].is_suspended = false;
      this->GetWell(number);
    });
  }

  void GetWell(size_t number) {
    Gateway& gateway = this->gateways[number];
    bool is_well = gateway.is_up && !gateway.is_cut && !gateway.is_suspended;
    if (!is_well) return;
    gateway.well_since = this->now();
    this->ReadWholeStore(number);
  }

  // ------------------------------------------------------------- figures

  CrashTrialResult Result() {
    for (const auto& [content, sent] : this->sent_after) {
      this->result.most_sent_after = std::max(this->result.most_sent_after, sent);
    }
    std::set<ContentId> innocent;
    for (const Gateway& gateway : this->gateways) {
      for (ContentId content : gateway.shared->contents().Quarantined(this->now())) {
        if (!this->IsDeadly(content)) innocent.insert(content);
      }
    }
    this->result.innocent_quarantined = innocent.size();
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
  std::set<ContentId> stored;
  // Of deadly contents: engines that each has ended, when the third did, and those that all
  // gateways know.
  std::map<ContentId, size_t> ends_under;
  std::map<ContentId, Time> third_end;
  std::set<ContentId> known;
  std::map<ContentId, uint64_t> sent_after;
  uint64_t lives = 0;
  uint64_t request_count = 0;
  uint64_t innocent_count = 0;
  size_t in_trouble = 0;
  uint64_t datagrams = 0;
  uint64_t bytes = 0;
  CrashTrialResult result;
};

}  // namespace

CrashTrialResult PlayCrashes(const CrashTrialOptions& options) {
  return CrashSimulation(options).Play();
}

}  // namespace gullward
