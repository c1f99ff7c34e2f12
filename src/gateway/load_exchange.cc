// load_exchange.h tells the method.

#include "gateway/load_exchange.h"

#include <utility>

namespace gullward {
namespace {

// Peers come and go rarely; the longest wait that the store allows costs least.
constexpr Duration kPeersWait = seconds(30);
// Nothing depends on hearing of a peer at once.
constexpr Duration kGatherPeers = milliseconds(500);
constexpr Duration kRegisterPatience = seconds(1);

}  // namespace

LoadExchange::LoadExchange(EventLoop* event_loop, const GatewaySettings& settings,
                           uint64_t own_incarnation, Fleet* shared_fleet, EventLog* event_log,
                           StoreRecovery* store_recovery, ConfigHooks config_hooks)
    : loop(event_loop),
      box(settings.box),
      own_address(settings.peers),
      incarnation(own_incarnation),
      fleet(shared_fleet),
      log(event_log),
      recovery(store_recovery),
      registrar(event_loop, settings.store),
      follower(
          event_loop, settings.store, store_recovery,
          {std::string(platform::kPeersTopic), kPeersWait, kGatherPeers},
          {.replace =
               [this](const std::vector<platform::KeyedRecord>& records) {
                 for (const auto& record : records) this->OnPeerRecord(record);
               },
           .change = [this](const platform::KeyedRecord& record) { this->OnPeerRecord(record); },
           .up_to_date = {},
           .lost = {},
           .regained = {},
           .read_short = {},
           .unreadable = {}}),
      config(std::move(config_hooks)),
      freshness(own_incarnation) {}

absl::Status LoadExchange::Start() {
  absl::Status status =
      this->socket.Bind(this->loop, this->own_address,
                        [this](std::string_view datagram) { this->OnDatagram(datagram); });
  if (!status.ok()) return status;
  this->own_address.port = this->socket.port();
  this->Register();
  return absl::OkStatus();
}

// The topic comes into being by the first record, so it is followed after ours.
void LoadExchange::Register() {
  platform::KeyedRecord record{this->box, this->own_address.ToString()};
  this->registrar.Call(platform::AppendKeyed(platform::kPeersTopic, record), kRegisterPatience,
                       [this](const StoreAnswer& answer) {
                         if (answer.ok()) {
                           this->follower.Start();
                           return;
                         }
                         this->log->Write(LogLine("register_failed")
                                              .Number("status", answer.status)
                                              .Text("reason", answer.reason));
                         this->recovery->Wait([this] { this->Register(); });
                       });
}

void LoadExchange::OnPeerRecord(const platform::KeyedRecord& record) {
  if (record.key == this->box) return;
  absl::StatusOr<SocketAddress> address = SocketAddress::Parse(record.value);
  if (!address.ok()) {
    this->known_peers.erase(record.key);
    this->peer_addresses.erase(record.key);
    return;
  }
  this->known_peers.insert(record.key);
  bool known = this->peer_addresses.count(record.key) != 0;
  if (!known && this->peer_addresses.size() >= kMostPeers) return;
  this->peer_addresses[record.key] = *address;
  this->log->Write(LogLine("peer").Text("box", record.key).Text("address", record.value));
}

void LoadExchange::OnDatagram(std::string_view datagram) {
  std::optional<LoadDigest> digest = DecodeDigest(datagram);
  if (!digest || digest->box == this->box) return;
  if (digest->freshness) this->HearNote(*digest);
  Time now = Now();
  this->fleet->HearSetAside(digest->box, digest->set_aside, now);
  this->config.hear_engines_read_to(digest->engines_read_to);
  if (digest->engines_copied != 0) this->config.hear_engines_copied(digest->engines_copied);
  if (!this->fleet->mechanisms().peer_loads) return;
  this->fleet->loads().ApplyPeer(digest->box, digest->incarnation, digest->sequence, digest->loads,
                                 now);
}

void LoadExchange::HearNote(const LoadDigest& digest) {
  uint64_t own_version = this->config.version();
  std::optional<Time> proved =
      this->freshness.Hear(digest.box, digest.incarnation, *digest.freshness, own_version, Now());
  if (proved) this->config.confirm(*proved);
  if (digest.freshness->config_version > own_version) {
    this->config.behind(digest.freshness->config_version);
  }
}

void LoadExchange::TellFreshness(Time now) {
  uint64_t version = this->config.version();
  if (version == 0) return;
  this->freshness.BeginRound(now);
  LoadDigest digest = this->NewDigest(now);
  for (const auto& [peer, address] : this->peer_addresses) {
    digest.sequence = ++this->sequence;
    digest.freshness = this->freshness.NoteFor(peer, version, this->config.proved(), now);
    this->socket.Send(address, EncodeDigest(digest));
  }
}

void LoadExchange::Tick(Time now) {
  if (now - this->last_told >= kGatherChanges) this->Tell(now);
}

void LoadExchange::Tell(Time now) {
  if (this->peer_addresses.empty()) return;
  this->last_told = now;
  bool refresh = now - this->refreshed >= kRefresh;
  if (refresh) {
    this->refreshed = now;
    this->TellFreshness(now);
  }
  this->SendInParts(this->TakeUntold(refresh, now), now);
}

// The loads that the others must hear of now, or all of them; they count as told.
std::map<std::string, EngineLoad> LoadExchange::TakeUntold(bool all, Time now) {
  std::map<std::string, EngineLoad> own = this->fleet->loads().Own(now);
  // What was told and is no more is told once as zero.
  for (const auto& [engine, load] : this->told) own.try_emplace(engine);
  std::map<std::string, EngineLoad> untold;
  bool count_reading = this->fleet->mechanisms().tell_reading;
  for (const auto& [engine, load] : own) {
    auto before = this->told.find(engine);
    bool is_new = before == this->told.end() || IsNews(before->second, load, count_reading);
    if (!is_new && !all) continue;
    untold[engine] = load;
    if (load.requests == 0 && load.reading_ms == 0) {
      this->told.erase(engine);
    } else {
      this->told[engine] = load;
    }
  }
  return untold;
}

// Datagrams are small: a long list takes several.
void LoadExchange::SendInParts(std::map<std::string, EngineLoad> loads, Time now) {
  if (loads.empty()) return;
  LoadDigest digest = this->NewDigest(now);
  while (!loads.empty()) {
    digest.sequence = ++this->sequence;
    digest.loads.clear();
    while (!loads.empty() && digest.loads.size() < kEntriesPerDatagram) {
      digest.loads.insert(loads.extract(loads.begin()));
    }
    std::string datagram = EncodeDigest(digest);
    for (const auto& [peer, address] : this->peer_addresses) this->socket.Send(address, datagram);
  }
}

// What all datagrams of a round have in common; each takes a sequence of its own.
LoadDigest LoadExchange::NewDigest(Time now) {
  LoadDigest digest;
  digest.box = this->box;
  digest.incarnation = this->incarnation;
  digest.engines_copied = this->config.engines_copied();
  digest.engines_read_to = this->config.engines_read_to();
  for (const std::string& engine : this->fleet->SetAside(now)) {
    if (digest.set_aside.size() < kMostSetAsideTold) digest.set_aside.insert(engine);
  }
  return digest;
}

}  // namespace gullward
