// Admission control: whether a request is accepted, and with which route, client account
// and deadlines.
//
//   Admission admission;
//   ResultCode code = Admit(state, config, request, facts, now, &admission);
//   if (code != ResultCode::kOk) ...   // answer with the code
//
// Admission does not consider the load of engines; serving/placement.h and
// serving/refusal.h do so later.

#ifndef GULLWARD_GATEWAY_ADMISSION_H_
#define GULLWARD_GATEWAY_ADMISSION_H_

#include <random>
#include <string>

#include "base/result_code.h"
#include "gateway/caller_channel.h"
#include "gateway/engine_request.h"
#include "gateway/gateway_state.h"

namespace gullward {

// The result of admission.
struct Admission {
  // Owned by the configuration; null if no route matches.
  const Route* route = nullptr;
  // The name of the client account; empty if the route needs none.
  std::string account;
  // The account's rank.
  int account_priority = kUnstatedRank;
  // Whether the request is authorized by an API key.  The key must be vouched for at every
  // attempt, since it may be revoked meanwhile (serving/freshness.h).
  bool needs_key = false;
  // When the answer must be complete.
  Time answer_deadline{};
  // When the caller gives up.
  Time caller_deadline{};

  bool operator==(const Admission&) const = default;
};

// Returns kOk and fills in `admission`, or returns the reason why the request is refused.
// On a refusal the fields found so far stay filled in.  `config` may be null, which means that
// no configuration has been read yet.
ResultCode Admit(const GatewayState& state, const ConfigIndex* config, const CallerRequest& request,
                 const RequestFacts& facts, Time now, Admission* admission);

// Returns a random service of the route, with probabilities in proportion to the weights; null
// if no service has a positive weight or the chosen service does not exist.
const Service* PickService(const ConfigIndex& config, const Route& route, std::mt19937_64* random);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ADMISSION_H_
