// Calls the HTTP API of model engines.
//
// No other code depends on this API (docs/ENGINES.md); an engine with another API needs another
// client.  Each started attempt is one streamed completion, and its memory on the engine is the
// allocation named ToString(id).
//
//   EngineClient engines(&http, addresses, hooks);
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
    // Parts of the answer, in order.
    std::function<void(const AttemptId&, const EngineOutput&)> output;
    // Each started attempt ends with one of these two, unless Free ends it.
    std::function<void(const AttemptId&, const EngineFinished&)> finished;
    std::function<void(const AttemptId&, const EngineFailure&)> failed;
    // The result of Free.  `freed` is false if the call failed and must be repeated.
    std::function<void(uint32_t engine, const std::string& allocation, bool freed)> freed;
    // The result of List: the allocations, or no valid answer.
    std::function<void(uint32_t engine, const std::vector<EngineAllocation>&)> listed;
    std::function<void(uint32_t engine)> unreachable;
  };

  EngineClient(HttpClient* client, std::vector<std::string> addresses, Hooks hooks);

  // Sends the attempt to its engine.
  void Start(const StartOnEngine& start);

  // Cancels the attempt with this allocation and frees the allocation.
  void Free(uint32_t engine, const std::string& allocation);

  // Requests the engine's list of allocations.
  void List(uint32_t engine);

 private:
  // A streamed answer under way.
  struct Stream {
    uint64_t call = 0;
    // Received bytes that do not form a complete event yet.
    std::string unparsed;
    EngineFinished finished;
    // Whether the event with the token counts, the last one of an answer, has arrived.
    bool complete = false;
    // Whether any bytes have arrived.
    bool has_data = false;
  };

  void OnData(const AttemptId& id, const std::string& part);
  void OnEvent(const AttemptId& id, const std::string& data, std::string* text, uint32_t* tokens);
  void AbandonStream(const AttemptId& id);
  void OnDone(const AttemptId& id, const HttpResult& result);
  std::string Url(uint32_t engine, const std::string& path) const;

  HttpClient* http;
  std::vector<std::string> addresses;
  Hooks hooks;
  std::map<AttemptId, Stream> streams;
};

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_ENGINE_CLIENT_H_
