// From whom the gateway server reads the store's topics, and how it answers the reads of peers
// (serving/reader_tree.h).

#include <unistd.h>

#include <utility>

#include "gateway/gateway_server.h"

namespace gullward {
namespace {

// The connections of peers that are served at once: three topics for the children of one place in
// the tree, several times over.
constexpr size_t kMaxPeerConnections = 128;

// The follower of the engine list waits this share of `leaving_bound` for more changes after one:
// where every gateway reads the list itself, and where only the roots do, whose changes then pass
// through the tree.
constexpr double kEngineBatchShare = 0.35;
constexpr double kEngineBatchShareOfTrees = 0.2;

}  // namespace

// Every read of the list costs a call, and engines change all day.
Duration EngineBatchDelay(const ReaderPlace& place, Duration leaving_bound) {
  double share = place.has_children ? kEngineBatchShareOfTrees : kEngineBatchShare;
  return FromSeconds(share * ToSeconds(leaving_bound));
}

// The followers start when the gateways are first known, since the place in the tree decides
// whether their first reads go to the store.
void GatewayServer::OnGatewaysChanged(bool are_complete) {
  if (!this->state.fleet.mechanisms().topic_relay) return;
  const GatewaySettings& settings = this->state.settings;
  ReaderPlace place =
      PlaceInTree({settings.box, settings.data_centre}, this->load_exchange.Gateways());
  this->load_exchange.SetPlace(place);
  this->config_follower.SetPlace(place);
  this->engine_follower.SetPlace(place);
  this->engine_follower.SetBatchDelay(EngineBatchDelay(place, settings.leaving_bound));
  this->config_revalidator.SetIsRoot(place.reads_store);
  this->engine_revalidator.SetIsRoot(place.reads_store);
  this->store_recovery.SetMaxPause(place.reads_store ? StoreRecovery::kMaxPause
                                                     : StoreRecovery::kMaxPauseOfReaders);
  if (are_complete) this->StartReading();
}

void GatewayServer::StartReading() {
  if (std::exchange(this->is_reading, true)) return;
  this->config_follower.Start();
  // Where every gateway reads the list itself, a start of all would take long without the copy.
  bool reads_copy = !this->engine_follower.place().has_children;
  if (this->state.fleet.mechanisms().copy_engine_list && reads_copy) {
    this->engine_list_copy.Read();
  } else {
    this->engine_follower.Start();
  }
}

// A peer has read a change that this gateway's waiting read has not returned.  The store sometimes
// answers a waiting read late, together with the next change, but an engine that is leaving must
// get no work after two seconds.
bool GatewayServer::CatchUp(TopicFollower* follower, uint64_t peer_offset, const char* event) {
  if (!this->state.fleet.mechanisms().catch_up_with_peers) return false;
  std::optional<uint64_t> own = follower->position();
  if (!own || *own >= peer_offset || !follower->RestartStalledRead()) return false;
  this->log.Write(LogLine(event)
                      .Number("read_to", static_cast<double>(*own))
                      .Number("peer_read_to", static_cast<double>(peer_offset)));
  return true;
}

void GatewayServer::OnPeerOperatorPosition(uint64_t offset) {
  this->CatchUp(&this->config_follower, offset, "config_behind");
}

void GatewayServer::OnPeerEngineListPosition(uint64_t offset) {
  this->CatchUp(&this->engine_follower, offset, "engines_behind");
}

void GatewayServer::OnPeerConnection(int fd) {
  if (this->peer_pages.connections() < kMaxPeerConnections) {
    this->peer_pages.Adopt(fd);
  } else {
    close(fd);
  }
}

void GatewayServer::OnPeerRequest(const std::string& path, const HttpPages::Answer& answer) {
  if (this->topic_relay.OnRequest(path, answer)) return;
  answer(this->config_from_peers.Page(path));
}

}  // namespace gullward
