// The numbered result codes: one for each way in which a request, a setting or a published
// configuration can fail.
//
// The first digit groups the codes by who has to act:
//
//   1xxx  the caller, who has to change the request
//   2xxx  no one: the work was not run, and the caller may send the request again later
//   3xxx  the caller, who has to check what was run before sending the request again
//   4xxx  the operator
//   5xxx  the developers of gullward
//
// docs/RESULT-CODES.md holds the same table; a test compares the two.
//
//   const ResultCodeInfo& info = Info(code);
//   SendError(info.http_status, info.name, info.description);

#ifndef GULLWARD_BASE_RESULT_CODE_H_
#define GULLWARD_BASE_RESULT_CODE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace gullward {

enum class ResultCode : uint32_t {
  kOk = 0,

  kMalformedBody = 1001,
  kInvalidField = 1002,
  kBodyTooLarge = 1003,
  kUnknownModel = 1004,
  kMissingKey = 1005,
  kWrongKey = 1006,
  kAccountSuspended = 1007,
  kUnknownPath = 1008,
  kMethodNotAllowed = 1009,
  kUnknownService = 1010,
  kInvalidHeader = 1011,
  kPromptTooLong = 1012,
  kCallerStalled = 1013,
  kKeyAlreadyClaimed = 1014,
  kMalformedRequest = 1015,
  kHeadTooLarge = 1016,
  kUnknownRoute = 1017,

  kRateLimited = 2001,
  kTooManyInFlight = 2002,
  kOverloaded = 2003,
  kNoEndpoint = 2004,
  kDraining = 2005,
  kNoMemory = 2006,
  kNotReady = 2007,
  kLogUnavailable = 2008,
  kStaleOffer = 2009,
  kDuplicateAttempt = 2010,
  kRetryBudgetSpent = 2011,
  kTimeTooShort = 2012,
  kKeysNotVouched = 2013,
  kEnginesRefused = 2014,
  kNotCurrent = 2015,
  kQuarantined = 2016,
  kEnginesHoldBack = 2017,
  kEnginesEvacuated = 2018,
  kRequestMemoryFull = 2019,

  kDeadlineExceeded = 3001,
  kEndpointLost = 3002,
  kEngineFailed = 3003,
  kLeaseLapsed = 3004,
  kCallerGone = 3005,
  kServiceFailed = 3006,
  kEnginesEnded = 3007,
  kGatewayStopped = 3008,

  kSettingsInvalid = 4001,
  kConfigInvalid = 4002,
  kConfigConflict = 4003,
  kUnknownSchema = 4004,
  kPlatformUnavailable = 4005,
  kEntryUnreadable = 4006,
  kNoticeUnreadable = 4007,
  kOperatorRecordUnreadable = 4008,
  kRankOutOfRange = 4009,

  kBadFrame = 5001,
  kInternal = 5002,
};

// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode code;
  const char* name;
  // HTTP status of an answer with this code; 0 if the code is never sent to a caller.
  int http_status;
  const char* description;
};

// All codes but kOk, in ascending order.
const std::vector<ResultCodeInfo>& AllResultCodes();

// The row of a code; the row of kInternal if the code has none.
const ResultCodeInfo& Info(ResultCode code);

}  // namespace gullward

#endif  // GULLWARD_BASE_RESULT_CODE_H_
