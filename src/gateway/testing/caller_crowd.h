// Many clients that each send a fixed text to a server and then stay connected.
//
//   CallerCrowd crowd(address, 64, {head, {chunk, 60}});
//   crowd.Press();                  // until no client gets any further
//   ... what the server holds now is held for all of them at once ...
//
// The text is given in pieces that are sent several times, so that a large crowd needs little
// memory.  Answers are read and dropped, unless the crowd was told not to read.

#ifndef GULLWARD_GATEWAY_TESTING_CALLER_CROWD_H_
#define GULLWARD_GATEWAY_TESTING_CALLER_CROWD_H_

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "transport/socket_address.h"

namespace gullward {

// Bytes that are sent `times` times in a row.
struct SentPiece {
  std::string bytes;
  size_t times = 1;

  bool operator==(const SentPiece&) const = default;
};

using SentText = std::vector<SentPiece>;

class CallerCrowd {
 public:
  // Connects `size` clients to the server.
  CallerCrowd(const SocketAddress& server, size_t size, SentText sent_text,
              bool reads_answers = true);
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  // Sends until, for kQuiet, no client has got any further: it has sent all, the server has
  // closed its connection, or the server does not read.
  void Press();

  // Sends one piece of each client's text, of `bytes` at most.  Returns whether any was sent.
  bool SendSome(size_t bytes);

  // The number of clients whose connection the server has not closed.
  size_t open() const;

 private:
  struct Client {
    int fd = -1;
    size_t piece = 0;
    size_t repeat = 0;
    size_t offset = 0;
  };

  bool SendOnce(Client* client, size_t most) const;
  bool ReadOnce(Client* client) const;

  SentText text;
  bool reads;
  std::vector<Client> clients;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TESTING_CALLER_CROWD_H_
