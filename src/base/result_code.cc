// The table of result codes.  A new code needs a row here and a row in
// docs/RESULT-CODES.md; base/testing/result_code_test.cc checks that the two agree.

#include "base/result_code.h"

namespace gullward {

const std::vector<ResultCodeInfo>& AllResultCodes() {
  static const std::vector<ResultCodeInfo>* const table = new std::vector<ResultCodeInfo>{
      {ResultCode::kMalformedBody, "malformed_body", 400, "the body is not valid JSON"},
      {ResultCode::kInvalidField, "invalid_field", 400, "a field is missing or has a wrong value"},
      {ResultCode::kBodyTooLarge, "body_too_large", 413, "the body is over the limit"},
      {ResultCode::kUnknownModel, "unknown_model", 404, "no such model is configured"},
      {ResultCode::kMissingKey, "missing_key", 401, "no API key was sent"},
      {ResultCode::kWrongKey, "wrong_key", 401, "the API key is not known"},
      {ResultCode::kAccountSuspended, "account_suspended", 403, "the client account is suspended"},
      {ResultCode::kUnknownPath, "unknown_path", 404, "no such path"},
      {ResultCode::kMethodNotAllowed, "method_not_allowed", 405,
       "the path does not take this method"},
      {ResultCode::kUnknownService, "unknown_service", 404, "no such service is configured"},
      {ResultCode::kInvalidHeader, "invalid_header", 400, "a header has a wrong value"},
      {ResultCode::kPromptTooLong, "prompt_too_long", 400,
       "the prompt is over the model's context"},
      {ResultCode::kCallerStalled, "caller_stalled", 408, "the body did not arrive in time"},
      {ResultCode::kKeyAlreadyClaimed, "key_already_claimed", 409,
       "an earlier request holds this Idempotency-Key"},
      {ResultCode::kMalformedRequest, "malformed_request", 400, "the request is not valid HTTP"},
      {ResultCode::kHeadTooLarge, "head_too_large", 431, "the request's head is over the limit"},
      {ResultCode::kUnknownRoute, "unknown_route", 404, "no route serves this host and path"},
      {ResultCode::kRateLimited, "rate_limited", 429, "the client account is over its token rate"},
      {ResultCode::kTooManyInFlight, "too_many_in_flight", 429,
       "the client account has too many requests in flight"},
      {ResultCode::kOverloaded, "overloaded", 503, "the request could not finish in its time"},
      {ResultCode::kNoEndpoint, "no_endpoint", 503, "no endpoint serves this now"},
      {ResultCode::kDraining, "draining", 503, "the process is stopping and takes no new work"},
      {ResultCode::kNoMemory, "no_memory", 503, "no engine has memory for the prompt now"},
      {ResultCode::kNotReady, "not_ready", 503, "the process holds no configuration yet"},
      {ResultCode::kLogUnavailable, "log_unavailable", 503,
       "the key could not be claimed in the platform's log"},
      {ResultCode::kStaleOffer, "stale_offer", 503,
       "the offer named an engine or model that moved"},
      {ResultCode::kDuplicateAttempt, "duplicate_attempt", 503, "the attempt was offered before"},
      {ResultCode::kRetryBudgetSpent, "retry_budget_spent", 503,
       "too many requests are being retried"},
      {ResultCode::kTimeTooShort, "time_too_short", 503,
       "the stated time had passed before a start"},
      {ResultCode::kKeysNotVouched, "keys_not_vouched", 503,
       "the list of API keys is too old to be relied on"},
      {ResultCode::kEnginesRefused, "engines_refused", 503, "every engine that was asked is full"},
      {ResultCode::kNotCurrent, "not_current", 503,
       "not allowed by the configuration held here, which is not the newest"},
      {ResultCode::kQuarantined, "quarantined", 503,
       "engines ended while they ran requests like this one, which has not been run"},
      {ResultCode::kEnginesHoldBack, "engines_hold_back", 503,
       "every engine has asked for fewer requests, for none, or is leaving"},
      {ResultCode::kEnginesEvacuated, "engines_evacuated", 503,
       "every engine is in a data centre that the operator evacuates"},
      {ResultCode::kRequestMemoryFull, "request_memory_full", 503,
       "the memory for requests is full, so this one was not read whole"},
      {ResultCode::kDeadlineExceeded, "deadline_exceeded", 504, "the stated time passed"},
      {ResultCode::kEndpointLost, "endpoint_lost", 502, "the endpoint was lost while it worked"},
      {ResultCode::kEngineFailed, "engine_failed", 502, "the engine broke off"},
      {ResultCode::kLeaseLapsed, "lease_lapsed", 502, "the entry was not heard of in time"},
      {ResultCode::kCallerGone, "caller_gone", 499, "the caller closed the connection"},
      {ResultCode::kServiceFailed, "service_failed", 502, "the service broke off"},
      {ResultCode::kEnginesEnded, "engines_ended", 502,
       "the engine ended while it ran this, as others did before; no other is tried"},
      {ResultCode::kGatewayStopped, "gateway_stopped", 502,
       "the gateway stopped before the engine had answered"},
      {ResultCode::kSettingsInvalid, "settings_invalid", 0, "a settings file was refused"},
      {ResultCode::kConfigInvalid, "config_invalid", 0, "a configuration was refused by its check"},
      {ResultCode::kConfigConflict, "config_conflict", 0, "an object had moved on: publish again"},
      {ResultCode::kUnknownSchema, "unknown_schema", 0,
       "a log record of an unknown schema was skipped"},
      {ResultCode::kPlatformUnavailable, "platform_unavailable", 0, "the platform did not answer"},
      {ResultCode::kEntryUnreadable, "entry_unreadable", 0,
       "an entry of the engines' list names no engine to use"},
      {ResultCode::kNoticeUnreadable, "notice_unreadable", 0,
       "a field of an engine's answer that tells its state cannot be read"},
      {ResultCode::kOperatorRecordUnreadable, "operator_record_unreadable", 0,
       "a record of the operator has a key that cannot be read"},
      {ResultCode::kRankOutOfRange, "rank_out_of_range", 0,
       "a rank in the configuration is not between 0 and 9 and counts as not stated"},
      {ResultCode::kBadFrame, "bad_frame", 0, "a peer sent a frame that fails verification"},
      {ResultCode::kInternal, "internal", 500, "a fault of gullward itself"},
  };
  return *table;
}

const ResultCodeInfo& Info(ResultCode code) {
  for (const ResultCodeInfo& info : AllResultCodes()) {
    if (info.code == code) return info;
  }
  return AllResultCodes().back();
}

}  // namespace gullward
