// loopback_proxy.h.

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
      auto self = weak.lock();
      if (!self) return;
      if (this->delay.count() == 0) {
        this->Forward(self, from, std::string(bytes));
        return;
      }
      this->loop->RunAfter(this->delay, [this, self, from, copy = std::string(bytes)] {
        this->Forward(self, from, copy);
      });
    };
    hooks.closed = [this, weak](StreamEnd end) {
      if (auto self = weak.lock()) this->CloseLink(self, end);
    };
    link->ends[from]->SetHooks(std::move(hooks));
  }
  this->links.push_back(link);
}

void LoopbackProxy::Forward(const std::shared_ptr<Link>& link, Direction from,
                            const std::string& bytes) {
  if (link->closed) return;
  link->held[from] += bytes;
  if (this->silent[from]) return;
  link->ends[1 - from]->Write(std::exchange(link->held[from], {}));
}

void LoopbackProxy::CloseLink(const std::shared_ptr<Link>& link, StreamEnd end) {
  link->closed = true;
  for (auto& stream : link->ends) {
    // A good end passes on as such, after what was written; any other as a reset.
    if (end == StreamEnd::kFinished) {
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
