// If several checks would fail, the first one decides which code the caller receives.  The
// order is: route, account, header fields of the request.

#include "gateway/admission.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include "platform/headers.h"

namespace gullward {
namespace {

std::string Path(const std::string& target) { return target.substr(0, target.find('?')); }

// Returns `why` if `config` is the newest configuration, else kNotCurrent.  A newer
// configuration may allow a request that `config` does not.  If there is one, or if `config` has
// not been validated lately, the caller is asked to try again, since callers do not return
// after a 401 or a 404.
ResultCode Deny(const GatewayState& state, const ConfigIndex& config, ResultCode why, Time now) {
  bool is_newest = config.config().version >= state.newest_peer_version && state.keys.IsFresh(now);
  return is_newest ? why : ResultCode::kNotCurrent;
}

ResultCode AdmitAccount(const GatewayState& state, const ConfigIndex& config,
                        const CallerRequest& request, Time now, Admission* admission) {
  admission->needs_key = !config.config().accounts.empty() && !admission->route->is_public;
  if (!admission->needs_key) return ResultCode::kOk;
  if (!state.keys.IsFresh(now)) return ResultCode::kKeysNotVouched;
  std::optional<std::string_view> key = FindHeader(request.head.headers, platform::kApiKey);
  if (!key) return Deny(state, config, ResultCode::kMissingKey, now);
  const ClientAccount* holder = config.FindAccount(*key);
  if (holder == nullptr) return Deny(state, config, ResultCode::kWrongKey, now);
  admission->account = holder->name;
  admission->account_priority = holder->priority;
  return ResultCode::kOk;
}

}  // namespace

ResultCode Admit(const GatewayState& state, const ConfigIndex* config, const CallerRequest& request,
                 const RequestFacts& facts, Time now, Admission* admission) {
  if (config == nullptr) return ResultCode::kNotReady;
  std::string host(FindHeader(request.head.headers, "Host").value_or(""));
  admission->route = config->FindRoute(host, Path(request.head.target));
  if (admission->route == nullptr) {
    return Deny(state, *config, ResultCode::kUnknownRoute, now);
  }
  ResultCode account_code = AdmitAccount(state, *config, request, now, admission);
  if (account_code != ResultCode::kOk) return account_code;
  if (!facts.valid) return ResultCode::kInvalidHeader;
  Duration timeout = facts.timeout.value_or(admission->route->timeout);
  admission->caller_deadline = request.arrived + timeout;
  admission->answer_deadline = request.arrived + std::min(timeout, admission->route->timeout);
  return ResultCode::kOk;
}

const Service* PickService(const ConfigIndex& config, const Route& route, std::mt19937_64* random) {
  double total = 0;
  for (const ServiceShare& share : route.services) total += std::max(share.weight, 0.0);
  std::uniform_real_distribution<double> draw(0, total);
  double left = draw(*random);
  for (const ServiceShare& share : route.services) {
    if (share.weight <= 0) continue;
    left -= share.weight;
    if (left <= 0) return config.FindService(share.service);
  }
  return nullptr;
}

}  // namespace gullward
