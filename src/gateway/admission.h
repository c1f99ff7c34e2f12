// Whether a request is let in, and on what terms: its route, its client account
// and its time.
//
//   Admission admission;
//   ResultCode code = Admit(state, config, request, facts, now, &admission);
//   if (code != ResultCode::kOk) ...   // answer with the code
//
// Whether engines have room for it is decided later (serving/placement.h).

#ifndef GULLWARD_GATEWAY_ADMISSION_H_
#define GULLWARD_GATEWAY_ADMISSION_H_

#include <random>
#include <string>

#include "base/result_code.h"
#include "gateway/caller_channel.h"
#include "gateway/engine_request.h"
#include "gateway/gateway_state.h"

namespace gullward {

struct Admission {
  // Owned by the configuration; null until one has been found.
  const Route* route = nullptr;
  // The client account's name; empty where the route asks for none.
  std::string account;
  // Whether the request runs by the word of an API key, which we must be able to
  // vouch for at every attempt.
  bool needs_key = false;
  // When the answer must be final.
  Time answer_by{};
  // When the caller gives up.
  Time caller_waits_until{};

  bool operator==(const Admission&) const = default;
};

// Fills in `admission` as far as it comes and returns kOk, or why the request is
// turned away.  `config` may be null: none has been read yet.
ResultCode Admit(const GatewayState& state, const ConfigIndex* config, const CallerRequest& request,
                 const RequestFacts& facts, Time now, Admission* admission);

// Draws one of a route's services by their weights; null where there is none.
const Service* PickService(const ConfigIndex& config, const Route& route, std::mt19937_64* random);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ADMISSION_H_
