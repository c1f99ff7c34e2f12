// Forwards bytes between the two streams of each link, through a queue for delayed bytes and a
// buffer for the bytes of a silent direction.

#include "soak/loopback_proxy.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace gullward {

LoopbackProxy::LoopbackProxy(EventLoop* event_loop, SocketAddress server)
    : loop(event_loop), target(std::move(server)) {
  absl::Status status =
      this->listener.Listen(this->loop, {"127.0.0.1", 0}, [this](int fd) { this->OnClient(fd); });
  CHECK(status.ok()) << status.message();
}

void LoopbackProxy::OnClient(int fd) {
  auto link = std::make_shared<Link>();
  link->ends[kFromClient] = TcpStream::Adopt(this->loop, fd);
  link->ends[kFromServer] = TcpStream::Connect(this->loop, this->target);
  std::weak_ptr<Link> weak = link;
  for (Direction from : {kFromClient, kFromServer}) {
    TcpStream::Hooks hooks;
    hooks.data = [this, weak, from](std::string_view bytes) {
      if (auto self = weak.lock()) this->OnBytes(self, from, bytes);
    };
    hooks.closed = [this, weak](StreamEnd end) {
      if (auto self = weak.lock()) this->CloseLink(self, end);
    };
    link->ends[from]->SetHooks(std::move(hooks));
  }
  this->links.push_back(link);
}

void LoopbackProxy::OnBytes(const std::shared_ptr<Link>& link, Direction from,
                            std::string_view bytes) {
  auto& queue = link->delayed[from];
  Time now = Now();
  if (queue.empty() && this->delay.count() == 0) {
    this->Forward(link, from, std::string(bytes));
    return;
  }
  Time due = now + this->delay;
  if (!queue.empty()) due = std::max(due, queue.back().first);
  queue.emplace_back(due, bytes);
  this->loop->RunAfter(due - now, [this, link, from] { this->ForwardDue(link, from, Now()); });
}

void LoopbackProxy::ForwardDue(const std::shared_ptr<Link>& link, Direction from, Time now) {
  auto& queue = link->delayed[from];
  while (!queue.empty() && queue.front().first <= now) {
    this->Forward(link, from, queue.front().second);
    queue.pop_front();
  }
}

void LoopbackProxy::ForwardAll(const std::shared_ptr<Link>& link) {
  for (Direction from : {kFromClient, kFromServer}) this->ForwardDue(link, from, Time::max());
}

void LoopbackProxy::Forward(const std::shared_ptr<Link>& link, Direction from,
                            const std::string& bytes) {
  if (link->closed) return;
  link->held[from] += bytes;
  if (this->silent[from]) return;
  link->ends[1 - from]->Write(std::exchange(link->held[from], {}));
}

void LoopbackProxy::CloseLink(const std::shared_ptr<Link>& link, StreamEnd end) {
  this->ForwardAll(link);
  // The end must not be forwarded before bytes that a silent direction still holds.
  bool has_held_bytes = !link->held[kFromClient].empty() || !link->held[kFromServer].empty();
  link->closed = true;
  for (auto& stream : link->ends) {
    // An orderly end is forwarded after the bytes that were written.  Any other end, or held
    // bytes, become a reset.
    if (end == StreamEnd::kFinished && !has_held_bytes) {
      stream->FinishAndClose();
    } else {
      stream->Reset();
    }
  }
  this->links.erase(std::remove(this->links.begin(), this->links.end(), link), this->links.end());
}

void LoopbackProxy::SetSilent(Direction direction, bool wanted) {
  this->silent[direction] = wanted;
  if (wanted) return;
  for (const std::shared_ptr<Link>& link : this->links) this->Forward(link, direction, "");
}

void LoopbackProxy::ResetAll() {
  for (const std::shared_ptr<Link>& link : std::exchange(this->links, {})) {
    link->closed = true;
    for (auto& stream : link->ends) stream->Reset();
  }
}

}  // namespace gullward
