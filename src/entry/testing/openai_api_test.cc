// Tests the parsing of valid and invalid request bodies and the form of answers.

#define BOOST_TEST_MODULE openai_api
#include "entry/openai_api.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace gullward {
namespace {

using nlohmann::json;

struct BadRow {
  ApiKind kind;
  const char* body;
  ResultCode code;
  const char* message;
};

BOOST_AUTO_TEST_CASE(ErrorsOfInvalidBodiesNameTheField) {
  const ApiKind completion = ApiKind::kCompletion;
  const ApiKind chat = ApiKind::kChat;
  const std::vector<BadRow> rows = {
      {completion, "", ResultCode::kMalformedBody, ""},
      {completion, "{\"model\": ", ResultCode::kMalformedBody, ""},
      {completion, "[]", ResultCode::kMalformedBody, "expected a JSON object"},
      {completion, "{}", ResultCode::kInvalidField, "model: missing; expected a string"},
      {completion, "{\"model\":3}", ResultCode::kInvalidField,
       "model: expected a string that is not empty"},
      {completion, "{\"model\":\"m\"}", ResultCode::kInvalidField,
       "prompt: missing; expected a string"},
      {completion, "{\"model\":\"m\",\"prompt\":\"\"}", ResultCode::kInvalidField,
       "prompt: expected a text that is not empty"},
      {completion, "{\"model\":\"m\",\"prompt\":[\"a\",\"b\"]}", ResultCode::kInvalidField,
       "prompt: expected a string, or an array of one string"},
      {completion, "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":-1}",
       ResultCode::kInvalidField, "max_tokens: expected a whole number from 1 to 1000000"},
      {completion, "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1.5}",
       ResultCode::kInvalidField, "max_tokens: expected a whole number from 1 to 1000000"},
      {completion, "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}",
       ResultCode::kInvalidField, "stream: expected true or false"},
      {completion, "{\"model\":\"m\",\"prompt\":\"p\",\"n\":2}", ResultCode::kInvalidField,
       "n: only 1 is served"},
      {chat, "{\"model\":\"m\"}", ResultCode::kInvalidField,
       "messages: missing; expected an array"},
      {chat, "{\"model\":\"m\",\"messages\":[]}", ResultCode::kInvalidField,
       "messages: expected an array that is not empty"},
      {chat, "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}", ResultCode::kInvalidField,
       "messages[0].content: missing; expected a string"},
      {chat,
       "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":[{\"type\":\"image\"}]}]}",
       ResultCode::kInvalidField, "messages[0].content: expected parts of type text"},
  };
  for (const BadRow& row : rows) {
    ApiRequest request;
    ApiError error = ParseApiRequest(row.kind, row.body, &request);
    BOOST_TEST((error.code == row.code), row.body);
    BOOST_TEST(error.message == row.message);
  }
}

BOOST_AUTO_TEST_CASE(ValidBodiesAreParsed) {
  ApiRequest request;
  ApiError error = ParseApiRequest(
      ApiKind::kChat,
      "{\"model\":\"m\",\"max_completion_tokens\":7,\"stream\":true,\"temperature\":0.5,"
      "\"stream_options\":{\"include_usage\":true},\"messages\":[{\"role\":\"system\",\"content\":"
      "\"s\"},{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"u\"}]}]}",
      &request);
  BOOST_TEST((error.code == ResultCode::kOk));
  const ApiRequest expected{
      "m", "system: s\nuser: u\nassistant: ", 7, true, true, "{\"temperature\":0.5}"};
  BOOST_TEST((request == expected));
}

BOOST_AUTO_TEST_CASE(AnswersHaveTheFormThatClientsExpect) {
  ApiAnswer chat{ApiKind::kChat, "chatcmpl-1", "m", 5};
  json whole = json::parse(WholeAnswer(chat, "hi", "stop", {3, 1, 2}));
  BOOST_TEST(whole["object"] == "chat.completion");
  BOOST_TEST(whole["choices"][0]["message"]["content"] == "hi");
  BOOST_TEST(whole["usage"]["total_tokens"] == 5);
  std::string event = StreamEvent(chat, "hi", "");
  BOOST_TEST(event.substr(0, 6) == "data: ");
  json part = json::parse(event.substr(6));
  BOOST_TEST(part["object"] == "chat.completion.chunk");
  BOOST_TEST(part["choices"][0]["delta"]["content"] == "hi");
  BOOST_TEST(part["choices"][0]["finish_reason"].is_null());
  json error = json::parse(ErrorBody(ResultCode::kOverloaded, Ran::kNo, ""));
  BOOST_TEST(error["error"]["code"] == 2003);
  BOOST_TEST(error["error"]["ran"] == "no");
  BOOST_TEST(error["error"]["type"] == "server_error");
}

BOOST_AUTO_TEST_CASE(InvalidUtf8IsReplaced) {
  ApiAnswer answer{ApiKind::kCompletion, "cmpl-1", "m", 5};
  std::string event = StreamEvent(answer, "cut \xe3\x81", "");
  BOOST_TEST(json::accept(event.substr(6)));
}

}  // namespace
}  // namespace gullward
