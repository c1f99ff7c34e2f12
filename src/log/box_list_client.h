// Reads the platform's list of live and leaving boxes.  The list lags behind
// what is true; nothing that must hold depends on it alone.

#ifndef GULLWARD_LOG_BOX_LIST_CLIENT_H_
#define GULLWARD_LOG_BOX_LIST_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "http/http_client.h"

namespace gullward {

// One box of the list.
struct ListedBox {
  std::string box;
  std::string zone;
  // "entry" or "endpoint".
  std::string role;
  // Where its process listens for peers, "IP:PORT".
  std::string address;
  bool leaving = false;

  auto operator<=>(const ListedBox&) const = default;
};

class BoxListClient {
 public:
  BoxListClient(HttpClient* client, std::string address);

  // Calls `done` with the list, or with ok false where it could not be had.
  void Fetch(std::function<void(bool ok, const std::vector<ListedBox>& boxes)> done);

 private:
  HttpClient* http;
  std::string url;
};

}  // namespace gullward

#endif  // GULLWARD_LOG_BOX_LIST_CLIENT_H_
