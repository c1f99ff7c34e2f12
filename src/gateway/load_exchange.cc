// load_exchange.h tells the method.

#include "gateway/load_exchange.h"

#include <algorithm>
#include <utility>

#include "serving/gateway_entry.h"
#include "serving/quarantine_entry.h"
#include "serving/settled_epoch.h"

namespace gullward {
namespace {

// Peers come and go rarely; the longest wait that the store allows costs least.
constexpr Duration kPeersWait = seconds(30);
// Nothing depends on hearing of a peer at once, and a fleet that starts makes as many entries
// as it has gateways.
constexpr Duration kGatherPeers = seconds(2);
constexpr Duration kRegisterPatience = seconds(1);
// After the store's return every gateway reads the peers' topic anew and then writes its own
// entry: so much time for each gateway, and the store has a hundred of each a second.
constexpr Duration kReturnPauseForPeer = milliseconds(10);

}  // namespace

LoadExchange::LoadExchange(EventLoop* event_loop, const GatewaySettings& settings,
                           uint64_t own_incarnation, Fleet* shared_fleet, EventLog* event_log,
                           StoreRecovery* store_recovery, Hooks exchange_hooks)
    : loop(event_loop),
      box(settings.box),
      data_centre(settings.data_centre),
      own_address(settings.peers),
      incarnation(own_incarnation),
      fleet(shared_fleet),
      log(event_log),
      recovery(store_recovery),
      registrar(event_loop, settings.store, &store_recovery->returns()),
      follower(
          event_loop, settings.store, store_recovery,
          {std::string(platform::kPeersTopic), kPeersWait, kGatherPeers},
          {.replace =
               [this](const std::vector<platform::KeyedRecord>& records) {
                 this->OnPeerRecords(records);
               },
           .change = [this](const platform::KeyedRecord& record) { this->OnPeerRecord(record); },
           .up_to_date = {},
           .lost = [this](const std::string&) { this->RegisterOnce(); },
           .regained = {},
           .read_short = {},
           .unreadable = {},
           .pause_after_return = [this] { return this->RandomDelayAfterReturn(); }}),
      random(own_incarnation),
      hooks(std::move(exchange_hooks)),
      freshness(own_incarnation) {}

absl::Status LoadExchange::Start(uint16_t port) {
  this->own_address.port = port;
  absl::Status status =
      this->socket.Bind(this->loop, this->own_address,
                        [this](std::string_view datagram) { this->OnDatagram(datagram); });
  if (!status.ok()) return status;
  this->own_address.port = this->socket.port();
  this->follower.Start();
  return absl::OkStatus();
}

std::string LoadExchange::OwnEntry() const {
  return EncodeGatewayEntry({this->box, this->own_address, this->data_centre});
}

Duration LoadExchange::RandomDelayAfterReturn() {
  double longest = ToSeconds(kReturnPauseForPeer) * static_cast<double>(this->directory.size());
  std::uniform_real_distribution<double> draw(0, longest);
  return FromSeconds(draw(this->random));
}

// The topic comes into being by the first record, so it may not be there to be read.
void LoadExchange::RegisterOnce() {
  if (std::exchange(this->is_registered, true)) return;
  this->Register();
}

void LoadExchange::Register() {
  platform::KeyedRecord record{this->box, this->OwnEntry()};
  this->registrar.Call(platform::AppendRecordRequest(platform::kPeersTopic, record),
                       kRegisterPatience, [this](const StoreAnswer& answer) {
                         if (answer.ok()) return;
                         this->log->Write(LogLine("register_failed")
                                              .Number("status", answer.status)
                                              .Text("reason", answer.reason));
                         this->recovery->RetryLater([this] { this->Register(); });
                       });
}

// A process that starts again where it was finds its entry there.  Writing it once more
// would cost each of the others a read.
void LoadExchange::OnPeerRecords(const std::vector<platform::KeyedRecord>& records) {
  platform::KeyedRecord own{this->box, this->OwnEntry()};
  bool is_there = std::find(records.begin(), records.end(), own) != records.end();
  for (const platform::KeyedRecord& record : records) this->OnPeerRecord(record);
  if (!is_there) this->RegisterOnce();
  // Also where there are none: then it is known that this gateway is alone.
  this->peers_changed = true;
}

void LoadExchange::OnPeerRecord(const platform::KeyedRecord& record) {
  if (std::optional<ContentId> content = ContentOfKey(record.key)) {
    this->hooks.quarantine_record(*content, record.value);
    return;
  }
  if (record.key == kSettledEpochKey) {
    this->hooks.settled_epoch_record(record.value);
    return;
  }
  if (record.key == this->box) return;
  std::optional<Peer> peer = DecodeGatewayEntry(record.key, record.value);
  if (!peer) {
    this->log->Write(LogLine("peer_gone").Text("box", record.key));
    this->directory.Remove(record.key);
  } else {
    this->directory.Update(*peer);
  }
  this->peers_changed = true;
}

void LoadExchange::OnDatagram(std::string_view datagram) {
  this->received += 1;
  std::optional<LoadDigest> digest = DecodeDigest(datagram);
  if (!digest || digest->box == this->box) return;
  if (digest->freshness) this->OnFreshnessNote(*digest);
  if (!digest->crash_gossip.empty()) this->OnGossip(*digest);
  Time now = Now();
  this->liveness.OnDatagram(digest->box, now);
  this->OnNotices(*digest, now);
  this->OnStoreState(*digest);
  if (digest->is_offer) {
    this->fleet->ReceiveOffer(digest->box, digest->incarnation, digest->sequence, digest->loads,
                              now);
    return;
  }
  this->fleet->ReceiveSetAside(digest->box, digest->set_aside, now);
  if (!this->fleet->mechanisms().peer_loads) return;
  this->fleet->loads().ApplyPeer(digest->box, digest->incarnation, digest->sequence, digest->loads,
                                 now);
}

// Offsets and copies of one epoch say nothing in another.
void LoadExchange::OnStoreState(const LoadDigest& digest) {
  if (digest.store_epoch) {
    this->hooks.on_store_epoch(*digest.store_epoch, digest.epoch_is_settled);
  }
  if (digest.store_epoch != this->recovery->returns().epoch().current()) return;
  this->hooks.on_engines_read_to(digest.engines_read_to);
  if (digest.engines_copied.fingerprint != 0)
    this->hooks.on_engines_copied(digest.engines_copied);
}

void LoadExchange::OnFreshnessNote(const LoadDigest& digest) {
  uint64_t own_version = this->hooks.config_version();
  std::optional<Time> proved = this->freshness.ReceiveNote(digest.box, digest.incarnation,
                                                           *digest.freshness, own_version, Now());
  if (proved) this->hooks.on_validated(*proved);
  if (digest.freshness->config_version <= own_version) return;
  const Peer* peer = this->directory.Find(digest.box);
  this->hooks.on_newer_version(digest.freshness->config_version,
                               peer != nullptr ? *peer : Peer{digest.box, {}, {}});
}

void LoadExchange::OnGossip(const LoadDigest& digest) {
  CrashGossip reply = this->hooks.on_gossip(digest.box, digest.crash_gossip);
  if (reply.empty()) return;
  const Peer* peer = this->directory.Find(digest.box);
  if (peer != nullptr) this->SendGossip(*peer, std::move(reply), Now());
}

// One part at a time, to a few: what waits goes with the next ticks.
void LoadExchange::SendPendingGossip(Time now) {
  CrashGossip news = this->hooks.take_gossip();
  if (news.empty()) return;
  for (const Peer* peer : this->directory.Sample(CrashGossipQueue::kFanout, &this->random)) {
    this->SendGossip(*peer, news, now);
  }
}

void LoadExchange::SendGossip(const Peer& peer, CrashGossip news, Time now) {
  LoadDigest digest = this->NewDigest(now);
  digest.sequence = ++this->sequence;
  digest.crash_gossip = std::move(news);
  this->Send(peer, EncodeDigest(digest));
}

void LoadExchange::SendFreshness(Time now) {
  uint64_t version = this->hooks.config_version();
  if (version == 0) return;
  this->freshness.BeginRound(now);
  LoadDigest digest = this->NewDigest(now);
  for (const Peer* peer : this->Neighbours(now)) {
    digest.sequence = ++this->sequence;
    digest.freshness = this->freshness.NoteFor(peer->box, version, this->hooks.validated_at(), now);
    this->Send(*peer, EncodeDigest(digest));
  }
}

void LoadExchange::Tick(Time now) {
  this->SendPendingGossip(now);
  if (now - this->last_send >= kSendInterval) this->SendLoads(now);
}

void LoadExchange::SendLoads(Time now) {
  if (std::exchange(this->peers_changed, false)) {
    this->fleet->SetGateways(this->directory.Names());
  }
  if (this->directory.size() == 0) return;
  this->last_send = now;
  bool refresh = now - this->last_refresh >= kRefreshInterval;
  if (refresh) {
    this->last_refresh = now;
    this->rounds += 1;
    this->directory.BeginRound();
    this->SendFreshness(now);
    this->SendOffers(now);
    this->UpdateSilentPeers(now);
  }
  this->SendNotices(refresh && this->rounds % kRoundsPerNoticeRefresh == 0, now);
  this->SendToCells(this->TakeUnsent(refresh, now), now);
}

// The loads that the others must hear of now, or all of them; they count as told.
std::map<std::string, EngineLoad> LoadExchange::TakeUnsent(bool all, Time now) {
  std::map<std::string, EngineLoad> own = this->fleet->loads().OwnLoads(now);
  // What was told and is no more is told once as zero.
  for (const auto& [engine, load] : this->sent_loads) own.try_emplace(engine);
  std::map<std::string, EngineLoad> unsent;
  bool count_reading = this->fleet->mechanisms().tell_reading;
  for (const auto& [engine, load] : own) {
    auto before = this->sent_loads.find(engine);
    bool is_new =
        before == this->sent_loads.end() || IsSignificantChange(before->second, load, count_reading);
    if (!is_new && !all) continue;
    unsent[engine] = load;
    if (load.requests == 0 && load.reading_ms == 0) {
      this->sent_loads.erase(engine);
    } else {
      this->sent_loads[engine] = load;
    }
  }
  return unsent;
}

std::vector<const Peer*> LoadExchange::Neighbours(Time now) {
  const WorkPlan& plan = this->fleet->plan(now);
  const ServicePlan& main = plan.ForService(plan.main_service());
  std::vector<const Peer*> neighbours =
      this->directory.MembersForRound(plan.main_service(), main.cells, main.home, plan.revision());
  this->neighbour_count = neighbours.size();
  return neighbours;
}

// Nobody where the engine is no longer listed: nobody chooses it then.
std::vector<const Peer*> LoadExchange::GatewaysOfEngine(const std::string& engine, Time now) {
  const EngineRecord* record = this->fleet->directory().FindIncarnation(engine);
  if (record == nullptr) return {};
  const WorkPlan& plan = this->fleet->plan(now);
  const CellMap& cells = plan.ForService(record->service).cells;
  return this->directory.MembersForRound(record->service, cells, cells.CellOf(*record),
                                         plan.revision());
}

// To the members of each engine's cell; engines with the same ones share datagrams.
void LoadExchange::SendToCells(const std::map<std::string, EngineLoad>& loads, Time now) {
  std::map<std::vector<const Peer*>, std::map<std::string, EngineLoad>> by_members;
  for (const auto& [engine, load] : loads) {
    by_members[this->GatewaysOfEngine(engine, now)][engine] = load;
  }
  for (auto& [members, part] : by_members) this->SendInParts(std::move(part), members, now);
}

// Datagrams are small: a long list takes several.
void LoadExchange::SendInParts(std::map<std::string, EngineLoad> loads,
                               const std::vector<const Peer*>& to, Time now) {
  if (loads.empty() || to.empty()) return;
  LoadDigest digest = this->NewDigest(now);
  while (!loads.empty()) {
    digest.sequence = ++this->sequence;
    digest.loads.clear();
    while (!loads.empty() && digest.loads.size() < kEntriesPerDatagram) {
      digest.loads.insert(loads.extract(loads.begin()));
    }
    std::string datagram = EncodeDigest(digest);
    for (const Peer* peer : to) this->Send(*peer, datagram);
  }
}

void LoadExchange::SendOffers(Time now) {
  if (!this->fleet->mechanisms().spill) return;
  const WorkPlan& plan = this->fleet->plan(now);
  const ServicePlan& main = plan.ForService(plan.main_service());
  std::vector<const Peer*> receivers =
      this->directory.SampleOutside(main.cells, main.home, Spill::kReceiversPerRound, &this->random);
  if (receivers.empty()) return;
  LoadDigest digest = this->NewDigest(now);
  digest.is_offer = true;
  digest.sequence = ++this->sequence;
  digest.loads = this->fleet->EnginesToOffer(now);
  std::string datagram = EncodeDigest(digest);
  for (const Peer* peer : receivers) this->Send(*peer, datagram);
}

// Changes at once, all that still holds in each round.
void LoadExchange::SendNotices(bool all, Time now) {
  std::map<std::vector<const Peer*>, std::map<std::string, NoticeReport>> by_members;
  for (const auto& [engine, word] : this->fleet->NoticesToSend(all, now)) {
    by_members[this->GatewaysOfEngine(engine, now)][engine] = word;
  }
  for (auto& [members, words] : by_members) {
    LoadDigest digest = this->NewDigest(now);
    while (!words.empty()) {
      digest.sequence = ++this->sequence;
      digest.notices.clear();
      while (!words.empty() && digest.notices.size() < kEntriesPerDatagram) {
        digest.notices.insert(words.extract(words.begin()));
      }
      std::string datagram = EncodeDigest(digest);
      for (const Peer* peer : members) this->Send(*peer, datagram);
    }
  }
}

void LoadExchange::OnNotices(const LoadDigest& digest, Time now) {
  for (const auto& [engine, word] : digest.notices) {
    EngineNotices::Change change = this->fleet->notices().ReceiveReport(engine, word, now);
    if (!change.any()) continue;
    LogLine line("engine_notice");
    line.Text("engine", engine).Text("told_by", digest.box);
    if (change.limit && word.limit->per_s) line.Number("limit_per_s", *word.limit->per_s);
    if (change.limit && !word.limit->per_s) line.Number("limit_lifted", 1);
    if (change.leaving) line.Number("leaving", 1);
    this->log->Write(line);
  }
}

// The members of the home cell tell each other something in every round.
void LoadExchange::UpdateSilentPeers(Time now) {
  const WorkPlan& plan = this->fleet->plan(now);
  const ServicePlan& main = plan.ForService(plan.main_service());
  std::vector<std::string> boxes;
  for (const Peer* peer :
       this->directory.MembersOf(plan.main_service(), main.cells, main.home, plan.revision())) {
    boxes.push_back(peer->box);
  }
  this->fleet->SetSilentGateways(this->liveness.SilentPeers(boxes, now));
}

void LoadExchange::Send(const Peer& peer, const std::string& datagram) {
  this->sent += 1;
  this->sent_bytes += datagram.size();
  this->socket.Send(peer.address, datagram);
}

// What all datagrams of a round have in common; each takes a sequence of its own.
LoadDigest LoadExchange::NewDigest(Time now) {
  LoadDigest digest;
  digest.box = this->box;
  digest.incarnation = this->incarnation;
  digest.engines_copied = this->hooks.engines_copied();
  digest.engines_read_to = this->hooks.engines_read_to();
  const StoreEpoch& epoch = this->recovery->returns().epoch();
  digest.store_epoch = epoch.current();
  digest.epoch_is_settled = epoch.IsSettledFor(now);
  for (const std::string& engine : this->fleet->SetAsideEngines(now)) {
    if (digest.set_aside.size() < kMaxSetAsideEntries) digest.set_aside.insert(engine);
  }
  return digest;
}

}  // namespace gullward
