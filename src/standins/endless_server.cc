// Only one block waits in each stream, so the stand-in itself needs little memory.

#include "standins/endless_server.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace gullward {
namespace {

constexpr size_t kBlockBytes = 64 << 10;

}  // namespace

EndlessServer::EndlessServer(EventLoop* event_loop, EndlessAnswer endless_answer)
    : loop(event_loop), answer(std::move(endless_answer)) {
  bool is_paced = this->answer.interval > Duration(0);
  do {
    this->block += this->answer.filler;
  } while (!is_paced && !this->block.empty() && this->block.size() < kBlockBytes);
  absl::Status status = this->listener.Listen(this->loop, {"127.0.0.1", 0}, [this](int fd) {
    auto answering = std::make_shared<Answering>();
    answering->stream = TcpStream::Adopt(this->loop, fd);
    std::weak_ptr<Answering> weak = answering;
    auto if_alive = [weak](auto action) {
      if (auto self = weak.lock()) action(self);
    };
    answering->stream->SetHooks(
        {.data =
             [this, if_alive](std::string_view) {
               if_alive([this](const auto& self) { this->Begin(self); });
             },
         .closed = {},
         .drained = [this,
                     if_alive] { if_alive([this](const auto& self) { this->WriteOn(self); }); },
         .connected = {}});
    this->connections.push_back(answering);
  });
  CHECK(status.ok()) << status.message();
}

EndlessServer::~EndlessServer() {
  *this->alive = false;
  for (const auto& connection : this->connections) connection->stream->Close();
}

size_t EndlessServer::answered() const {
  return static_cast<size_t>(std::count_if(this->connections.begin(), this->connections.end(),
                                           [](const auto& one) { return one->begun; }));
}

size_t EndlessServer::open() const {
  return static_cast<size_t>(
      std::count_if(this->connections.begin(), this->connections.end(),
                    [](const auto& one) { return one->begun && !one->stream->HasPeerClosed(); }));
}

void EndlessServer::Begin(const std::shared_ptr<Answering>& answering) {
  if (std::exchange(answering->begun, true)) return;
  answering->stream->Write(this->answer.prefix);
  if (this->answer.filler.empty()) return;
  if (this->answer.interval > Duration(0)) {
    this->WriteAfterInterval(answering);
  } else {
    this->WriteOn(answering);
  }
}

void EndlessServer::WriteBlock(Answering* answering) {
  answering->stream->Write(this->block);
  answering->sent += this->block.size();
}

// Writes until the kernel takes no more; the stream's hook then calls this again.
void EndlessServer::WriteOn(const std::shared_ptr<Answering>& answering) {
  bool is_done = answering->sent >= kMaxBytes || this->answer.interval > Duration(0) ||
                 this->answer.filler.empty();
  if (is_done || answering->stream->HasPeerClosed()) return;
  this->WriteBlock(answering.get());
  if (answering->stream->pending() > 0) return;
  this->loop->RunAfter(Duration(0),
                       [this, exists = this->alive, weak = std::weak_ptr<Answering>(answering)] {
                         auto self = weak.lock();
                         if (*exists && self) this->WriteOn(self);
                       });
}

void EndlessServer::WriteAfterInterval(const std::shared_ptr<Answering>& answering) {
  this->loop->RunAfter(this->answer.interval,
                       [this, exists = this->alive, weak = std::weak_ptr<Answering>(answering)] {
                         auto self = weak.lock();
                         if (!*exists || !self || self->stream->HasPeerClosed()) return;
                         this->WriteBlock(self.get());
                         this->WriteAfterInterval(self);
                       });
}

}  // namespace gullward
