// The shapes of the OpenAI HTTP API, as far as gullward serves them.
//
// Requests are checked by hand, field by field, so that every mistake gets a
// message that names the field; answers are built so that the published client
// libraries read them.
//
//   absl::StatusOr<ApiRequest> request = ParseApiRequest(ApiKind::kChat, body);
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

// Tokens of an answer where the caller does not say.
inline constexpr uint32_t kDefaultMaxTokens = 256;

// Most tokens of an answer that a caller may ask for.
inline constexpr uint32_t kMostMaxTokens = 1'000'000;

enum class ApiKind { kCompletion, kChat };

// A request body, checked.
struct ApiRequest {
  std::string model;
  // The text for the engine; a chat's messages are joined.
  std::string prompt;
  uint32_t max_tokens = kDefaultMaxTokens;
  bool stream = false;
  // Whether the last event of a stream carries the usage.
  bool stream_usage = false;
  // Sampling parameters, as a JSON object; empty where there are none.
  std::string sampling;

  bool operator==(const ApiRequest&) const = default;
};

// Why a body was refused.
struct ApiError {
  ResultCode code = ResultCode::kOk;
  // Names the field and what was expected.
  std::string message;

  bool operator==(const ApiError&) const = default;
};

// Checks a body.  Returns the error, whose code is kOk where there is none.
ApiError ParseApiRequest(ApiKind kind, const std::string& body, ApiRequest* request);

// What every part of one answer repeats.
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

// One server-sent event with a part of the answer; finish_reason is empty but in
// the last one.
std::string StreamEvent(const ApiAnswer& answer, const std::string& text,
                        const std::string& finish_reason);

// The event that starts a chat's stream.
std::string StreamOpening(const ApiAnswer& answer);

// The event that carries the usage.
std::string StreamUsage(const ApiAnswer& answer, const ApiUsage& usage);

// The last line of a stream.
std::string StreamEnd();

// The event that ends a stream that broke.
std::string StreamError(ResultCode code, Ran ran);

// The whole answer of a request that does not stream.
std::string WholeAnswer(const ApiAnswer& answer, const std::string& text,
                        const std::string& finish_reason, const ApiUsage& usage);

// The body of an error answer; `detail` is added to the code's description.
std::string ErrorBody(ResultCode code, Ran ran, const std::string& detail);

// The body of GET /v1/models.
std::string ModelList(const std::vector<std::string>& names);

}  // namespace gullward

#endif  // GULLWARD_ENTRY_OPENAI_API_H_
