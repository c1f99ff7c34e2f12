// Implementation of load_exchange.h: registration in the peers' topic, receiving datagrams, and
// sending them.

#include "gateway/load_exchange.h"

#include <algorithm>
#include <utility>

#include "serving/gateway_entry.h"
#include "serving/quarantine_entry.h"
#include "serving/settled_epoch.h"

namespace gullward {
namespace {

// Peers change rarely, so a read waits as long as the store allows, which costs the fewest
// calls.
constexpr Duration kPeersWait = seconds(30);
// A new peer need not be known immediately, and a fleet that starts writes one entry per
// gateway, so the follower waits this long for more entries after one.
constexpr Duration kPeersBatchDelay = seconds(2);
constexpr Duration kRegisterTimeout = seconds(1);
// The gateways are reported at the latest this long after the start.
constexpr Duration kMaxReportDelay = seconds(3);
// After the store's return every gateway reads the peers' topic again and then writes its own
// entry.  The reads spread over this time per gateway, so the store gets about 100 reads and
// 100 writes a second.
constexpr Duration kReturnDelayPerPeer = milliseconds(10);

// Empty for a time that was never set.
std::optional<Duration> AgeOf(Time at, Time now) {
  return at == Time{} ? std::nullopt : std::optional<Duration>(now - at);
}

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
      registration_pause(settings.registration_pause),
      follower(
          event_loop, settings.store, store_recovery,
          {.topic = std::string(platform::kPeersTopic),
           .wait = kPeersWait,
           .batch_delay = kPeersBatchDelay,
           .renews_reads = settings.mechanisms.renew_reads},
          {.replace =
               [this](const std::vector<platform::KeyedRecord>& records) {
                 this->OnPeerRecords(records);
               },
           .change = [this](const platform::KeyedRecord& record) { this->OnPeerRecord(record); },
           .up_to_date = [this](Time) { this->ReportGateways(); },
           .lost = [this](const std::string&) { this->RegisterOnce(); },
           .regained = {},
           .read_short = {},
           .unreadable = {},
           .pause_after_return = [this] { return this->RandomDelayAfterReturn(); },
           .pause_after_load = [this] { return this->PauseAfterFirstRead(); },
           .peer_address = [this](const std::string& peer) { return this->AddressOf(peer); },
           .state_changed = [this] { this->hooks.on_topic_changed(); }}),
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
  // The gateways are reported in any case: without peers this one reads from the store.
  this->loop->RunAfter(kMaxReportDelay, [this] {
    if (!this->gateways_reported) this->hooks.on_gateways_changed(/*are_complete=*/true);
  });
  return absl::OkStatus();
}

std::optional<SocketAddress> LoadExchange::AddressOf(const std::string& box_name) const {
  const Peer* peer = this->directory.Find(box_name);
  bool is_reachable = peer != nullptr && peer->address.port != 0;
  return is_reachable ? std::optional<SocketAddress>(peer->address) : std::nullopt;
}

// Returns zero unless this process has just written its own entry.
Duration LoadExchange::PauseAfterFirstRead() {
  if (!this->is_registered || std::exchange(this->has_waited_for_others, true)) return Duration(0);
  std::uniform_real_distribution<double> jitter(1, 1.5);
  return FromSeconds(ToSeconds(this->registration_pause) * jitter(this->random));
}

// Called after each read that was complete.
void LoadExchange::ReportGateways() {
  bool waits_for_others =
      this->is_registered && !this->has_waited_for_others && this->registration_pause > Duration(0);
  if (waits_for_others) {
    // The gateways that are known already can be asked for the entries of the others.
    this->hooks.on_gateways_changed(/*are_complete=*/false);
    return;
  }
  bool is_first = !std::exchange(this->gateways_reported, true);
  if (is_first || this->topic_changed) this->hooks.on_gateways_changed(/*are_complete=*/true);
  this->topic_changed = false;
}

std::string LoadExchange::OwnEntry() const {
  return EncodeGatewayEntry({this->box, this->own_address, this->data_centre});
}

Duration LoadExchange::RandomDelayAfterReturn() {
  double max_seconds = ToSeconds(kReturnDelayPerPeer) * static_cast<double>(this->directory.size());
  std::uniform_real_distribution<double> delay_seconds(0, max_seconds);
  return FromSeconds(delay_seconds(this->random));
}

// A read of the topic fails until the first record is written, so a failed read also triggers
// the registration.
void LoadExchange::RegisterOnce() {
  if (std::exchange(this->is_registered, true)) return;
  this->Register();
}

void LoadExchange::Register() {
  platform::KeyedRecord record{this->box, this->OwnEntry()};
  this->registrar.Call(platform::AppendRecordRequest(platform::kPeersTopic, record),
                       kRegisterTimeout, [this](const StoreAnswer& answer) {
                         if (answer.ok()) return;
                         this->log->Write(LogLine("register_failed")
                                              .Number("status", answer.status)
                                              .Text("reason", answer.reason));
                         this->recovery->RetryLater([this] { this->Register(); });
                       });
}

// Registers this gateway if its entry is missing.  A process that restarts at the same address
// finds its entry in place; writing it again would cost each peer a read.
void LoadExchange::OnPeerRecords(const std::vector<platform::KeyedRecord>& records) {
  platform::KeyedRecord own{this->box, this->OwnEntry()};
  bool has_own_entry = std::find(records.begin(), records.end(), own) != records.end();
  for (const platform::KeyedRecord& record : records) this->OnPeerRecord(record);
  if (!has_own_entry) this->RegisterOnce();
  this->topic_changed = true;
  // Set even for an empty list, which shows that this gateway has no peers.
  this->peers_changed = true;
}

void LoadExchange::OnPeerRecord(const platform::KeyedRecord& record) {
  if (std::optional<Suspect> suspect = SuspectOfKey(record.key)) {
    this->hooks.quarantine_record(*suspect, record.value);
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
  this->topic_changed = true;
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
  this->fleet->ReceivePaces(digest->box, digest->paces, now);
  for (const ReturnPromise& promise : digest->return_promises) this->hooks.on_promise(promise);
  if (digest->is_offer) {
    this->fleet->ReceiveOffer(digest->box, digest->incarnation, digest->sequence, digest->loads,
                              now);
    return;
  }
  this->fleet->ReceiveSetAside(digest->box, digest->set_aside, now);
  if (!digest->work.empty()) this->hooks.on_work(*digest, now);
  if (!this->fleet->mechanisms().peer_loads) return;
  this->fleet->loads().ApplyPeer(digest->box, digest->incarnation, digest->sequence, digest->loads,
                                 now);
}

bool LoadExchange::IsCurrentEpoch(const LoadDigest& digest) const {
  return digest.store_epoch == this->recovery->returns().epoch().current();
}

// Offsets and copy versions are comparable only within one epoch of the store.
void LoadExchange::OnStoreState(const LoadDigest& digest) {
  if (digest.store_epoch) {
    this->hooks.on_store_epoch(*digest.store_epoch, digest.epoch_is_settled);
  }
  if (!this->IsCurrentEpoch(digest)) return;
  this->hooks.on_operator_read_to(digest.operator_read_to);
  this->hooks.on_engines_read_to(digest.engines_read_to);
  if (digest.engines_copied.fingerprint != 0) this->hooks.on_engines_copied(digest.engines_copied);
}

void LoadExchange::OnFreshnessNote(const LoadDigest& digest) {
  uint64_t own_version = this->hooks.config_version();
  std::optional<Time> validated_at = this->freshness.ReceiveNote(
      digest.box, digest.incarnation, *digest.freshness, own_version, Now());
  if (validated_at) this->hooks.on_validated(*validated_at);
  this->OnProofs(digest);
  if (digest.freshness->config_version <= own_version) return;
  const Peer* peer = this->directory.Find(digest.box);
  this->hooks.on_newer_version(digest.freshness->config_version,
                               peer != nullptr ? *peer : Peer{digest.box, {}, {}});
}

// Proofs hold for the offsets in the same datagram.
void LoadExchange::OnProofs(const LoadDigest& digest) {
  const FreshnessNote& note = *digest.freshness;
  std::optional<Time> written_after = this->freshness.WrittenAfter(note);
  if (!written_after || !this->IsCurrentEpoch(digest)) return;
  if (note.topic_proved_ago) {
    this->hooks.on_topic_proved(*written_after - *note.topic_proved_ago, digest.operator_read_to);
  }
  if (note.engines_proved_ago) {
    this->hooks.on_engines_proved(*written_after - *note.engines_proved_ago,
                                  digest.engines_read_to);
  }
}

void LoadExchange::OnGossip(const LoadDigest& digest) {
  CrashGossip reply = this->hooks.on_gossip(digest.box, digest.crash_gossip);
  if (reply.empty()) return;
  const Peer* peer = this->directory.Find(digest.box);
  if (peer != nullptr) this->SendGossip(*peer, std::move(reply), Now());
}

// Sends one batch per tick to kFanout random peers; the rest stays queued for later ticks.
void LoadExchange::SendPendingGossip(Time now) {
  CrashGossip gossip = this->hooks.take_gossip();
  if (gossip.empty()) return;
  for (const Peer* peer : this->directory.Sample(CrashGossipQueue::kFanout, &this->random)) {
    this->SendGossip(*peer, gossip, now);
  }
}

void LoadExchange::SendGossip(const Peer& peer, CrashGossip gossip, Time now) {
  LoadDigest digest = this->NewDigest(now);
  digest.sequence = ++this->sequence;
  digest.crash_gossip = std::move(gossip);
  this->Send(peer, EncodeDigest(digest));
}

void LoadExchange::SendFreshness(Time now) {
  uint64_t version = this->hooks.config_version();
  if (version == 0) return;
  this->freshness.BeginRound(now);
  LoadDigest digest = this->NewDigest(now);
  for (const Peer* peer : this->ReceiversOfFreshness(now)) {
    digest.sequence = ++this->sequence;
    digest.freshness = this->freshness.NoteFor(peer->box, version, this->hooks.validated_at(), now);
    digest.freshness->topic_proved_ago = AgeOf(this->hooks.topic_proved_at(), now);
    digest.freshness->engines_proved_ago = AgeOf(this->hooks.engines_proved_at(), now);
    this->Send(*peer, EncodeDigest(digest));
  }
}

// A root also sends its notes to the other roots, so that one validation serves all trees.
std::vector<const Peer*> LoadExchange::ReceiversOfFreshness(Time now) {
  std::vector<const Peer*> receivers = this->Neighbours(now);
  const ReaderPlace& place = this->follower.place();
  if (!place.reads_store) return receivers;
  for (const std::string& root : place.sources) {
    const Peer* peer = this->directory.Find(root);
    bool is_new = std::find(receivers.begin(), receivers.end(), peer) == receivers.end();
    if (peer != nullptr && is_new) receivers.push_back(peer);
  }
  return receivers;
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
    this->SendWork(now);
    this->UpdateSilentPeers(now);
  }
  // Changed notices, and in some rounds all notices that still hold.
  bool all_notices = refresh && this->rounds % kRoundsPerNoticeRefresh == 0;
  this->SendToCells(this->fleet->NoticesToSend(all_notices, now), &LoadDigest::notices, now);
  this->SendToCells(this->TakeUnsent(refresh, now), &LoadDigest::loads, now);
  this->SendToCells(this->fleet->paces().ReportsToSend(refresh, now), &LoadDigest::paces, now);
  this->SendPromises(now);
}

// Returns the loads to send: the changed ones, or all of them.  Marks them as sent.
std::map<std::string, EngineLoad> LoadExchange::TakeUnsent(bool all, Time now) {
  std::map<std::string, EngineLoad> own = this->fleet->loads().OwnLoads(now);
  // A load that was sent and has ended is sent once more, as zero.
  for (const auto& [engine, load] : this->sent_loads) own.try_emplace(engine);
  std::map<std::string, EngineLoad> unsent;
  bool count_reading = this->fleet->mechanisms().tell_reading;
  for (const auto& [engine, load] : own) {
    auto before = this->sent_loads.find(engine);
    bool is_new = before == this->sent_loads.end() ||
                  IsSignificantChange(before->second, load, count_reading);
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

// All members of the home cell of the main service.
const std::vector<const Peer*>& LoadExchange::HomeMembers(Time now) {
  const WorkPlan& plan = this->fleet->plan(now);
  const ServicePlan& main = plan.ForService(plan.main_service());
  return this->directory.MembersOf(plan.main_service(), main.cells, main.home, plan.revision());
}

// Returns no gateways for an engine that is no longer listed, since no gateway chooses it.
std::vector<const Peer*> LoadExchange::GatewaysOfEngine(const std::string& engine, Time now) {
  const EngineRecord* record = this->fleet->directory().FindIncarnation(engine);
  if (record == nullptr) return {};
  const WorkPlan& plan = this->fleet->plan(now);
  const CellMap& cells = plan.ForService(record->service).cells;
  return this->directory.MembersForRound(record->service, cells, cells.CellOf(*record),
                                         plan.revision());
}

// Sends each entry, in this field of the datagrams, to the members of the engine's cell.  Engines
// with the same members share datagrams.
template <typename Entry>
void LoadExchange::SendToCells(const std::map<std::string, Entry>& entries,
                               std::map<std::string, Entry> LoadDigest::*field, Time now) {
  std::map<std::vector<const Peer*>, std::map<std::string, Entry>> by_members;
  for (const auto& [engine, entry] : entries) {
    by_members[this->GatewaysOfEngine(engine, now)][engine] = entry;
  }
  for (auto& [members, part] : by_members) {
    this->SendInParts(std::move(part), field, members, now);
  }
}

// Sends a long list in several datagrams, since each holds at most kEntriesPerDatagram entries.
template <typename Key, typename Entry>
void LoadExchange::SendInParts(std::map<Key, Entry> entries,
                               std::map<Key, Entry> LoadDigest::*field,
                               const std::vector<const Peer*>& to, Time now) {
  if (entries.empty() || to.empty()) return;
  LoadDigest digest = this->NewDigest(now);
  while (!entries.empty()) {
    digest.sequence = ++this->sequence;
    auto& part = digest.*field;
    part.clear();
    while (!entries.empty() && part.size() < kEntriesPerDatagram) {
      part.insert(entries.extract(entries.begin()));
    }
    std::string datagram = EncodeDigest(digest);
    for (const Peer* peer : to) this->Send(*peer, datagram);
  }
}

// Sends the sums of each service to the gateways that share its engines with this one.
void LoadExchange::SendWork(Time now) {
  std::map<std::string, std::map<WorkKey, WorkSums>> by_service;
  for (const auto& [key, sums] : this->hooks.work_to_send(now)) by_service[key.service][key] = sums;
  const WorkPlan& plan = this->fleet->plan(now);
  for (auto& [service, work] : by_service) {
    const ServicePlan& part = plan.ForService(service);
    this->SendInParts(
        std::move(work), &LoadDigest::work,
        this->directory.MembersForRound(service, part.cells, part.home, plan.revision()), now);
  }
}

void LoadExchange::SendOffers(Time now) {
  if (!this->fleet->mechanisms().spill) return;
  const WorkPlan& plan = this->fleet->plan(now);
  const ServicePlan& main = plan.ForService(plan.main_service());
  std::vector<const Peer*> receivers = this->directory.SampleOutside(
      main.cells, main.home, Spill::kReceiversPerRound, &this->random);
  if (receivers.empty()) return;
  LoadDigest digest = this->NewDigest(now);
  digest.is_offer = true;
  digest.sequence = ++this->sequence;
  digest.loads = this->fleet->EnginesToOffer(now);
  std::string datagram = EncodeDigest(digest);
  for (const Peer* peer : receivers) this->Send(*peer, datagram);
}

// Every gateway of the home cell gets each promise once, also in a large cell: the caller is due
// before a next round would reach the others.
void LoadExchange::SendPromises(Time now) {
  std::vector<ReturnPromise> promises = this->hooks.take_promises();
  if (promises.empty()) return;
  const std::vector<const Peer*>& members = this->HomeMembers(now);
  LoadDigest digest = this->NewDigest(now);
  for (size_t begin = 0; begin < promises.size(); begin += kEntriesPerDatagram) {
    size_t end = std::min(begin + kEntriesPerDatagram, promises.size());
    digest.sequence = ++this->sequence;
    digest.return_promises.assign(promises.begin() + static_cast<long>(begin),
                                  promises.begin() + static_cast<long>(end));
    std::string datagram = EncodeDigest(digest);
    for (const Peer* peer : members) this->Send(*peer, datagram);
  }
}

void LoadExchange::OnNotices(const LoadDigest& digest, Time now) {
  for (const auto& [engine, report] : digest.notices) {
    EngineNotices::Change change = this->fleet->notices().ReceiveReport(engine, report, now);
    if (!change.any()) continue;
    LogLine line("engine_notice");
    line.Text("engine", engine).Text("told_by", digest.box);
    if (change.limit && report.limit->per_s) line.Number("limit_per_s", *report.limit->per_s);
    if (change.limit && !report.limit->per_s) line.Number("limit_lifted", 1);
    if (change.leaving) line.Number("leaving", 1);
    this->log->Write(line);
  }
}

// Members of the home cell send each other a datagram in every round, so a silent member has
// failed or is unreachable.
void LoadExchange::UpdateSilentPeers(Time now) {
  std::vector<std::string> boxes;
  for (const Peer* peer : this->HomeMembers(now)) boxes.push_back(peer->box);
  this->fleet->SetSilentGateways(this->liveness.SilentPeers(boxes, now));
}

void LoadExchange::Send(const Peer& peer, const std::string& datagram) {
  this->sent += 1;
  this->sent_bytes += datagram.size();
  this->socket.Send(peer.address, datagram);
}

// Returns a datagram with the fields that all datagrams of a round share.  The caller sets the
// sequence number.
LoadDigest LoadExchange::NewDigest(Time now) {
  LoadDigest digest;
  digest.box = this->box;
  digest.incarnation = this->incarnation;
  digest.engines_copied = this->hooks.engines_copied();
  digest.operator_read_to = this->hooks.operator_read_to();
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
