// Parses the requests and builds the answers of the OpenAI HTTP API, as far as gullward serves it.
//
// Each field of a request is checked separately, so that the message of an error names the field.
// Answers have the form that the published client libraries expect.
//
//   ApiRequest request;
//   ApiError error = ParseApiRequest(ApiKind::kChat, body, &request);
//   std::string event = StreamEvent(answer, text, "");
//   std::string body = ErrorBody(ResultCode::kOverloaded, Ran::kNo, "");

#ifndef GULLWARD_ENTRY_OPENAI_API_H_
#define GULLWARD_ENTRY_OPENAI_API_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result_code.h"
#include "wire/messages.h"

namespace gullward {

// Maximum number of answer tokens if the caller does not state one.
inline constexpr uint32_t kDefaultMaxTokens = 256;

// Upper bound of the number of answer tokens that a caller may request.
inline constexpr uint32_t kMaxTokensLimit = 1'000'000;

enum class ApiKind { kCompletion, kChat };

// A request body that has passed all checks.
struct ApiRequest {
  std::string model;
  // The prompt for the engine.  The messages of a chat are joined to one text.
  std::string prompt;
  uint32_t max_tokens = kDefaultMaxTokens;
  bool stream = false;
  // Whether the stream ends with an event that carries the token counts.
  bool stream_usage = false;
  // Sampling parameters as a JSON object; empty if the request has none.
  std::string sampling;

  bool operator==(const ApiRequest&) const = default;
};

// The reason for refusing a request body.
struct ApiError {
  ResultCode code = ResultCode::kOk;
  // Names the field and the expected value.
  std::string message;

  bool operator==(const ApiError&) const = default;
};

// Parses and checks a request body.  Returns an error with the code kOk if the body is valid; only
// then is `request` complete.
ApiError ParseApiRequest(ApiKind kind, const std::string& body, ApiRequest* request);

// The fields that every part of an answer repeats.
struct ApiAnswer {
  ApiKind kind = ApiKind::kCompletion;
  std::string id;
  std::string model;
  int64_t created_seconds = 0;
};

struct ApiUsage {
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t completion_tokens = 0;
};

// Returns a server-sent event with a part of the answer.  `finish_reason` is empty for all parts
// but the last one.
std::string StreamEvent(const ApiAnswer& answer, const std::string& text,
                        const std::string& finish_reason);

// Returns the event that starts the stream of a chat; empty for a completion.
std::string StreamOpening(const ApiAnswer& answer);

// Returns the event that carries the token counts.
std::string StreamUsage(const ApiAnswer& answer, const ApiUsage& usage);

// Returns the event that ends every complete stream.
std::string StreamEnd();

// Returns the event that ends a stream after a failure.
std::string StreamError(ResultCode code, Ran ran);

// Returns the body of the answer to a request without streaming.
std::string WholeAnswer(const ApiAnswer& answer, const std::string& text,
                        const std::string& finish_reason, const ApiUsage& usage);

// Returns the body of an error answer.  `detail` is appended to the description of the code.
std::string ErrorBody(ResultCode code, Ran ran, const std::string& detail);

// Returns the body of the answer to GET /v1/models.
std::string ModelList(const std::vector<std::string>& names);

}  // namespace gullward

#endif  // GULLWARD_ENTRY_OPENAI_API_H_
