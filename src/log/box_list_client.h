// Reads the platform's list of running and leaving boxes.
//
// The list is delayed, so no guarantee may depend on it alone.
//
//   BoxListClient box_list(&http, "127.0.0.1:9000");
//   box_list.Fetch([](bool ok, const std::vector<ListedBox>& boxes) { ... });

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
  // Address on which the box's process accepts connections of peers, "IP:PORT".
  std::string address;
  bool leaving = false;

  auto operator<=>(const ListedBox&) const = default;
};

class BoxListClient {
 public:
  BoxListClient(HttpClient* client, std::string address);

  // Calls `done` with the list, or with `ok` false if the list could not be read.
  void Fetch(std::function<void(bool ok, const std::vector<ListedBox>& boxes)> done);

 private:
  HttpClient* http;
  std::string url;
};

}  // namespace gullward

#endif  // GULLWARD_LOG_BOX_LIST_CLIENT_H_
