// Speaks to model engines over HTTP.
//
// The only place that knows their verbs (docs/ENGINES.md); engines with other
// verbs cost another client.  Each started attempt is one streamed completion
// under the allocation name ToString(id).
//
//   EngineClient engines(&loop, &http, addresses, hooks);
//   engines.Start(start_action);
//   engines.Free(0, "0000000000000001-7.1");

#ifndef GULLWARD_ENDPOINT_ENGINE_CLIENT_H_
#define GULLWARD_ENDPOINT_ENGINE_CLIENT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "endpoint/endpoint_core.h"
#include "http/http_client.h"

namespace gullward {

class EngineClient {
 public:
  struct Hooks {
    std::function<void(const AttemptId&, const EngineOutput&)> output;
    std::function<void(const AttemptId&, const EngineFinished&)> finished;
    std::function<void(const AttemptId&, const EngineFailure&)> broken;
    std::function<void(uint32_t engine, const std::string& allocation, bool freed)> freed;
    std::function<void(uint32_t engine, const std::vector<EngineAllocation>&)> listed;
    std::function<void(uint32_t engine)> unreachable;
  };

  EngineClient(HttpClient* client, std::vector<std::string> addresses, Hooks hooks);

  void Start(const StartOnEngine& start);
  void Free(uint32_t engine, const std::string& allocation);
  void List(uint32_t engine);

 private:
  // A streamed answer under way.
  struct Stream {
    uint64_t call = 0;
    std::string unread;
    EngineFinished finished;
    bool complete = false;
    bool any = false;
  };

  void OnData(const AttemptId& id, const std::string& part);
  void OnEvent(const AttemptId& id, const std::string& data, std::string* text, uint32_t* tokens);
  void OnDone(const AttemptId& id, const HttpResult& result);
  std::string Url(uint32_t engine, const std::string& path) const;

  HttpClient* http;
  std::vector<std::string> addresses;
  Hooks hooks;
  std::map<AttemptId, Stream> streams;
};

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_ENGINE_CLIENT_H_
