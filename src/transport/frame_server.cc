// Passes each socket that the listener accepts to FrameConnection::Adopt.

#include "transport/frame_server.h"

namespace gullward {

absl::Status FrameServer::Listen(const SocketAddress& address,
                                 const FrameConnection::Hooks& hooks) {
  return this->listener.Listen(this->loop, address, [this, hooks](int fd) {
    FrameConnection::Adopt(this->loop, fd, hooks);
  });
}

}  // namespace gullward
