// The connection's hooks and the timeout name a test by its number, so that they have no effect
// on a later test of the same engine.

#include "gateway/lost_engine_check.h"

#include <utility>

namespace gullward {

const char* NameOf(EngineFinding finding) {
  switch (finding) {
    case EngineFinding::kGone:
      return "gone";
    case EngineFinding::kThere:
      return "there";
    case EngineFinding::kUnknown:
      return "unknown";
  }
  return "unknown";
}

void LostEngineCheck::Start(const EngineRecord& engine, Done done) {
  auto [found, is_new] = this->checks.try_emplace(engine.Incarnation());
  found->second.second.waiting.push_back(std::move(done));
  if (is_new) this->Open(engine);
}

void LostEngineCheck::Open(const EngineRecord& engine) {
  std::string name = engine.Incarnation();
  uint64_t number = ++this->opened;
  std::shared_ptr<TcpStream> stream = TcpStream::Connect(this->loop, engine.address);
  stream->SetHooks(
      {.data = {},
       .closed =
           [this, name, number](StreamEnd end) {
             bool refused = end == StreamEnd::kRefused;
             this->Finish(name, number, refused ? EngineFinding::kGone : EngineFinding::kUnknown);
           },
       .drained = {},
       .connected = [this, name, number] { this->Finish(name, number, EngineFinding::kThere); }});
  this->checks[name].first = number;
  this->checks[name].second.stream = stream;
  this->loop->RunAfter(
      kTimeout, [this, name, number] { this->Finish(name, number, EngineFinding::kUnknown); });
}

void LostEngineCheck::Finish(const std::string& engine, uint64_t number, EngineFinding finding) {
  auto found = this->checks.find(engine);
  bool is_over = found == this->checks.end() || found->second.first != number;
  if (is_over) return;
  Check check = std::move(found->second.second);
  this->checks.erase(found);
  // A reset, so that the engine need not wait for an orderly close.
  check.stream->Reset();
  for (const Done& done : check.waiting) done(finding);
}

}  // namespace gullward
