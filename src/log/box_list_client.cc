// Reads the list with GET /boxes; docs/PLATFORM.md describes the answer.

#include "log/box_list_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace gullward {
namespace {

using nlohmann::json;

std::string StringField(const json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

}  // namespace

BoxListClient::BoxListClient(HttpClient* client, std::string address)
    : http(client), url("http://" + std::move(address) + "/boxes") {}

void BoxListClient::Fetch(std::function<void(bool ok, const std::vector<ListedBox>& boxes)> done) {
  HttpCall call;
  call.url = this->url;
  call.timeout = seconds(2);
  auto finish = [done = std::move(done)](const HttpResult& result) {
    std::vector<ListedBox> boxes;
    json answer = json::parse(result.body, nullptr, false);
    bool ok = result.complete && result.status == 200 && answer.is_array();
    if (!ok) {
      done(false, boxes);
      return;
    }
    for (const json& item : answer) {
      if (!item.is_object()) continue;
      ListedBox box{StringField(item, "box"), StringField(item, "zone"), StringField(item, "role"),
                    StringField(item, "address"), StringField(item, "state") == "leaving"};
      if (!box.box.empty()) boxes.push_back(std::move(box));
    }
    done(true, boxes);
  };
  this->http->Start(std::move(call), {nullptr, std::move(finish)});
}

}  // namespace gullward
