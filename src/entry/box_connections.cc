// Connections to the endpoint boxes; box_connections.h describes the rules.

#include "entry/box_connections.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace gullward {
namespace {

constexpr Duration kFirstBackoff = milliseconds(100);
constexpr Duration kMaxBackoff = seconds(3);

}  // namespace

BoxConnections::BoxConnections(EventLoop* event_loop, Hello own_hello, Hooks connection_hooks)
    : loop(event_loop), hello(std::move(own_hello)), hooks(std::move(connection_hooks)) {}

BoxConnections::~BoxConnections() {
  for (auto& [name, box] : std::exchange(this->boxes, {})) {
    if (box.connection != nullptr) box.connection->Close(absl::CancelledError("stopping"));
  }
}

void BoxConnections::Update(const std::map<std::string, SocketAddress>& listed) {
  for (auto& [name, box] : this->boxes) box.is_listed = listed.count(name) > 0;
  for (const auto& [name, address] : listed) {
    Box& box = this->boxes[name];
    bool has_moved = box.address != address && box.connection != nullptr;
    box.address = address;
    // A replaced box has a new address, so the old connection leads to a box that no longer exists.
    if (has_moved)
      box.connection->Close(absl::UnavailableError("the address of the box has changed"));
    if (box.connection == nullptr && box.next_connect <= Now()) this->Connect(name, &box);
  }
}

void BoxConnections::Connect(const std::string& name, Box* box) {
  FrameConnection::Hooks connection_hooks;
  connection_hooks.opened = [this, name](FrameConnection* connection) {
    Box& opened = this->boxes[name];
    opened.is_open = true;
    opened.backoff = Duration{};
    opened.last_received = Now();
    connection->Send(this->hello);
    LOG(INFO) << "connected to box " << name;
  };
  connection_hooks.received = [this, name](FrameConnection* connection, const Message& message) {
    this->boxes[name].last_received = Now();
    const auto* peer = std::get_if<Hello>(&message);
    if (peer == nullptr) {
      this->hooks.received(name, message);
    } else if (peer->box != name || peer->protocol != kProtocolVersion) {
      connection->Close(
          absl::FailedPreconditionError("box name or protocol version does not match"));
    }
  };
  connection_hooks.closed = [this, name](FrameConnection* connection, const absl::Status& reason) {
    this->OnClosed(name, connection, reason);
  };
  box->last_received = Now();
  box->connection = FrameConnection::Connect(this->loop, box->address, connection_hooks);
}

void BoxConnections::OnClosed(const std::string& name, FrameConnection* connection,
                              const absl::Status& reason) {
  auto found = this->boxes.find(name);
  if (found == this->boxes.end() || found->second.connection.get() != connection) return;
  Box& box = found->second;
  if (absl::IsInvalidArgument(reason)) ++this->bad_frame_count;
  bool was_open = box.is_open;
  box.is_open = false;
  box.connection = nullptr;
  box.backoff = std::clamp<Duration>(box.backoff * 2, kFirstBackoff, kMaxBackoff);
  box.next_connect = Now() + box.backoff;
  if (!was_open) return;
  LOG(WARNING) << "lost box " << name << ": " << reason.message();
  this->hooks.lost(name);
}

void BoxConnections::Send(const std::string& name, const Message& message) {
  auto found = this->boxes.find(name);
  if (found == this->boxes.end() || !found->second.is_open) return;
  found->second.connection->Send(message);
}

void BoxConnections::Tick(int64_t config_offset) {
  Time now = Now();
  EntryHeartbeat heartbeat{this->hello.incarnation, ++this->heartbeats, config_offset};
  std::vector<std::string> names;
  for (const auto& [name, box] : this->boxes) names.push_back(name);
  for (const std::string& name : names) {
    Box& box = this->boxes[name];
    if (box.connection == nullptr) {
      if (box.is_listed && box.next_connect <= now) this->Connect(name, &box);
    } else if (now - box.last_received >= kSilenceTimeout) {
      box.connection->Close(absl::DeadlineExceededError("silence timeout"));
    } else if (box.is_open) {
      box.connection->Send(heartbeat);
    }
  }
  std::erase_if(this->boxes, [](const auto& item) {
    return !item.second.is_listed && item.second.connection == nullptr;
  });
}

size_t BoxConnections::connected() const {
  return static_cast<size_t>(std::count_if(this->boxes.begin(), this->boxes.end(),
                                           [](const auto& item) { return item.second.is_open; }));
}

}  // namespace gullward
