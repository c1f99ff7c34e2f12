// box_connections.h tells the rules.

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

void BoxConnections::Update(const std::map<std::string, SocketAddress>& wanted) {
  for (auto& [name, box] : this->boxes) box.wanted = wanted.count(name) > 0;
  for (const auto& [name, address] : wanted) {
    Box& box = this->boxes[name];
    bool moved = box.address != address && box.connection != nullptr;
    box.address = address;
    // A replaced box has a new address: the old connection is to a dead one.
    if (moved) box.connection->Close(absl::UnavailableError("the box has another address now"));
    if (box.connection == nullptr && box.next_try <= Now()) this->Connect(name, &box);
  }
}

void BoxConnections::Connect(const std::string& name, Box* box) {
  FrameConnection::Hooks connection_hooks;
  connection_hooks.opened = [this, name](FrameConnection* connection) {
    Box& opened = this->boxes[name];
    opened.open = true;
    opened.backoff = Duration{};
    opened.last_heard = Now();
    connection->Send(this->hello);
    LOG(INFO) << "connected to box " << name;
  };
  connection_hooks.received = [this, name](FrameConnection* connection, const Message& message) {
    this->boxes[name].last_heard = Now();
    const auto* peer = std::get_if<Hello>(&message);
    if (peer == nullptr) {
      this->hooks.received(name, message);
    } else if (peer->box != name || peer->protocol != kProtocolVersion) {
      connection->Close(absl::FailedPreconditionError("another box or protocol answers there"));
    }
  };
  connection_hooks.closed = [this, name](FrameConnection* connection, const absl::Status& reason) {
    this->OnClosed(name, connection, reason);
  };
  box->last_heard = Now();
  box->connection = FrameConnection::Connect(this->loop, box->address, connection_hooks);
}

void BoxConnections::OnClosed(const std::string& name, FrameConnection* connection,
                              const absl::Status& reason) {
  auto found = this->boxes.find(name);
  if (found == this->boxes.end() || found->second.connection.get() != connection) return;
  Box& box = found->second;
  if (absl::IsInvalidArgument(reason)) ++this->bad_frame_count;
  bool was_open = box.open;
  box.open = false;
  box.connection = nullptr;
  box.backoff = std::clamp<Duration>(box.backoff * 2, kFirstBackoff, kMaxBackoff);
  box.next_try = Now() + box.backoff;
  if (!was_open) return;
  LOG(WARNING) << "lost box " << name << ": " << reason.message();
  this->hooks.lost(name);
}

void BoxConnections::Send(const std::string& name, const Message& message) {
  auto found = this->boxes.find(name);
  if (found == this->boxes.end() || !found->second.open) return;
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
      if (box.wanted && box.next_try <= now) this->Connect(name, &box);
    } else if (now - box.last_heard >= kSilence) {
      box.connection->Close(absl::DeadlineExceededError("silent"));
    } else if (box.open) {
      box.connection->Send(heartbeat);
    }
  }
  std::erase_if(this->boxes, [](const auto& item) {
    return !item.second.wanted && item.second.connection == nullptr;
  });
}

size_t BoxConnections::connected() const {
  return static_cast<size_t>(std::count_if(this->boxes.begin(), this->boxes.end(),
                                           [](const auto& item) { return item.second.open; }));
}

}  // namespace gullward
