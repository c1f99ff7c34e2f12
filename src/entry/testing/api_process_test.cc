// Sends requests to real processes: valid requests, invalid input of every kind, and complete
// sessions whose bytes are compared with golden files.

#define BOOST_TEST_MODULE api_process
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "standins/answer.h"
#include "testing/fleet.h"
#include "testing/raw_http.h"

namespace gullward {
namespace {

using nlohmann::json;

// All tests of this file share one fleet.
Fleet* SharedFleet() {
  struct Holder {
    Holder() { this->fleet.StartAll({}); }
    Fleet fleet;
  };
  static Holder holder;
  return &holder.fleet;
}

std::string Url(const std::string& path) {
  return "http://" + SharedFleet()->Address("entry-1") + path;
}

HttpHeaders Bearer(const std::string& key) { return {{"Authorization", "Bearer " + key}}; }

BOOST_AUTO_TEST_CASE(ACompletionHasTheFormOfTheApi) {
  HttpResult result = SharedFleet()->RequestCompletion(0, "what part fits", 12, false);
  BOOST_TEST(result.status == 200);
  json body = json::parse(result.body);
  BOOST_TEST(body["object"] == "text_completion");
  BOOST_TEST(body["choices"][0]["text"] == ExpectedAnswer("what part fits", 12));
  uint64_t prompt_tokens = body["usage"]["prompt_tokens"];
  uint64_t answer_tokens = body["usage"]["completion_tokens"];
  BOOST_TEST(prompt_tokens == TokensOf(14));
  BOOST_TEST(answer_tokens == ExpectedAnswer("what part fits", 12).size() / kBytesPerToken);
}

BOOST_AUTO_TEST_CASE(AChatHasTheFormOfTheApi) {
  json body = {{"model", "base"},
               {"max_tokens", 5},
               {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
  HttpResult result =
      Fleet::Call("POST", Url("/v1/chat/completions"), Fleet::Authorization(), body.dump());
  BOOST_TEST(result.status == 200);
  json answer = json::parse(result.body);
  BOOST_TEST(answer["choices"][0]["message"]["role"] == "assistant");
  BOOST_TEST(answer["choices"][0]["message"]["content"] ==
             ExpectedAnswer("user: hello\nassistant: ", 5));
}

BOOST_AUTO_TEST_CASE(ModelsAreListed) {
  HttpResult result = Fleet::Call("GET", Url("/v1/models"), Fleet::Authorization(), "");
  BOOST_TEST(result.status == 200);
  BOOST_TEST(json::parse(result.body)["data"][0]["id"] == "base");
}

struct BadRow {
  const char* what;
  const char* method;
  const char* path;
  HttpHeaders headers;
  std::string body;
  int status;
  int code;
};

BOOST_AUTO_TEST_CASE(BadRequestsGetClearErrors) {
  const HttpHeaders good = Fleet::Authorization();
  auto with = [&](const char* name, const char* value) {
    HttpHeaders headers = good;
    headers.emplace_back(name, value);
    return headers;
  };
  const std::string body = "{\"model\":\"base\",\"prompt\":\"p\",\"max_tokens\":2}";
  const char* path = "/v1/completions";
  const std::vector<BadRow> rows = {
      {"no key", "POST", path, {}, body, 401, 1005},
      {"another scheme", "POST", path, {{"Authorization", "Basic x"}}, body, 401, 1005},
      {"wrong key", "POST", path, Bearer("nobody"), body, 401, 1006},
      {"wrong key and malformed JSON", "POST", path, Bearer("nobody"), "{", 401, 1006},
      {"wrong key and a bad header",
       "POST",
       path,
       {{"Authorization", "Bearer nobody"}, {"Gullward-Timeout", "soon"}},
       body,
       401,
       1006},
      {"suspended account", "POST", path, Bearer("closed-key"), body, 403, 1007},
      {"malformed JSON", "POST", path, good, "{\"model\":", 400, 1001},
      {"wrong type", "POST", path, good, "{\"model\":\"base\",\"prompt\":7}", 400, 1002},
      {"negative max_tokens", "POST", path, good,
       "{\"model\":\"base\",\"prompt\":\"p\",\"max_tokens\":-4}", 400, 1002},
      {"unknown model", "POST", path, good, "{\"model\":\"none\",\"prompt\":\"p\"}", 404, 1004},
      {"unknown path", "POST", "/v2/completions", good, body, 404, 1008},
      {"wrong method", "GET", path, good, "", 405, 1009},
      {"unknown service", "POST", "/v1/services/none/x", good, "", 404, 1010},
      {"service without a key", "POST", "/v1/services/desk/entries", {}, "", 401, 1005},
      {"bad timeout", "POST", path, with("Gullward-Timeout", "soon"), body, 400, 1011},
      {"negative timeout", "POST", path, with("Gullward-Timeout", "-1"), body, 400, 1011},
      {"bad repeatable", "POST", path, with("Gullward-Repeatable", "maybe"), body, 400, 1011},
      {"long key", "POST", path, with("Idempotency-Key", std::string(300, 'k').c_str()), body, 400,
       1011},
      {"body over the limit", "POST", path, good, std::string(9'000'000, 'x'), 413, 1003},
      {"prompt over the context", "POST", path, good,
       "{\"model\":\"base\",\"prompt\":\"" + std::string(6'500'000, 'x') + "\"}", 400, 1012},
      {"models without a key", "GET", "/v1/models", {}, "", 401, 1005},
  };
  for (const BadRow& row : rows) {
    HttpResult result = Fleet::Call(row.method, Url(row.path), row.headers, row.body);
    BOOST_TEST(result.status == row.status, row.what << ": " << result.status << result.error);
    json error = json::parse(result.body, nullptr, false);
    BOOST_REQUIRE_MESSAGE(error.is_object(), row.what);
    int code = error["error"]["code"];
    BOOST_TEST(code == row.code, row.what << ": " << result.body);
    BOOST_TEST(error["error"]["ran"] == "no", row.what);
  }
  // The entry still serves valid requests.
  BOOST_TEST(SharedFleet()->RequestCompletion(0, "still there", 2, false).status == 200);
}

// Sends input that no HTTP library produces.  The entry must answer or close each connection.
BOOST_AUTO_TEST_CASE(MalformedConnectionsAreClosed) {
  const std::string head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n";
  const std::vector<std::pair<const char*, std::string>> rows = {
      {"stalls in the head", "POST /v1/comp"},
      {"stalls in the body", head + "{\"model\""},
      {"not HTTP", "\x16\x03\x01 garbage garbage\r\n\r\n"},
      {"wrong length", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n"},
  };
  for (const auto& [what, bytes] : rows) {
    RawConnection connection(SharedFleet()->Address("entry-1"));
    connection.Send(bytes);
    bool closed = false;
    connection.ReadToEnd(&closed);
    BOOST_TEST(closed, what);
  }
  RawConnection half(SharedFleet()->Address("entry-1"));
  half.Send(head + "{\"model\"");
  half.HalfClose();
  bool closed = false;
  half.ReadToEnd(&closed);
  BOOST_TEST(closed);
  BOOST_TEST(SharedFleet()->RequestCompletion(0, "still there", 2, false).status == 200);
}

BOOST_AUTO_TEST_CASE(InvalidFramesCloseOnlyTheirConnection) {
  json before = SharedFleet()->GetJson(SharedFleet()->Address("endpoint-1", "admin"), "/state");
  const std::vector<std::string> rows = {
      std::string("\xff\xff\xff\xff", 4),     // too long
      std::string("\x08\0\0\0garbage!", 12),  // fails verification
      std::string("\x00\0\0\0", 4),           // empty
  };
  for (const std::string& bytes : rows) {
    RawConnection connection(SharedFleet()->Address("endpoint-1"));
    connection.Send(bytes);
    bool closed = false;
    connection.ReadToEnd(&closed);
    BOOST_TEST(closed);
  }
  HttpResult metrics = Fleet::Call(
      "GET", "http://" + SharedFleet()->Address("endpoint-1", "admin") + "/metrics", {}, "");
  BOOST_TEST(metrics.body.find("gullward_endpoint_bad_frames_total 3") != std::string::npos);
  json after = SharedFleet()->GetJson(SharedFleet()->Address("endpoint-1", "admin"), "/state");
  BOOST_TEST(before["peers"] == after["peers"]);
}

BOOST_AUTO_TEST_CASE(AdminPathsAnswer) {
  std::string admin = "http://" + SharedFleet()->Address("entry-1", "admin");
  BOOST_TEST(Fleet::Call("GET", admin + "/healthz", {}, "").status == 200);
  BOOST_TEST(Fleet::Call("GET", admin + "/readyz", {}, "").status == 200);
  HttpResult metrics = Fleet::Call("GET", admin + "/metrics", {}, "");
  BOOST_TEST(metrics.body.find("gullward_entry_requests_total{result=\"admitted\"}") !=
             std::string::npos);
  json state = SharedFleet()->EntryState(0);
  BOOST_TEST(state["config_offset"] == 0);
  BOOST_TEST(state["boxes"].size() == 4u);
  BOOST_TEST(Fleet::Call("GET", admin + "/nothing", {}, "").status == 404);
  BOOST_TEST(Fleet::Call("POST", admin + "/state", {}, "").status == 405);
}

// ---------------------------------------------------------------- golden bytes

std::string Request(const std::string& path, const std::string& headers, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: gullward\r\nConnection: close\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string HugePrompt() {
  std::string prompt;
  while (prompt.size() < 5'000'000) {
    prompt += "Part " + std::to_string(prompt.size() % 9973) + " fits the pump of the boat. ";
  }
  return prompt;
}

BOOST_AUTO_TEST_CASE(SessionsMatchTheGoldenFiles) {
  const std::string key = "Authorization: Bearer test-key\r\n";
  json huge = {{"model", "base"}, {"prompt", HugePrompt()}, {"max_tokens", 4}, {"stream", true}};
  const std::vector<std::pair<std::string, std::string>> sessions = {
      {"short", Request("/v1/completions", key,
                        "{\"model\":\"base\",\"prompt\":\"which seal\",\"max_tokens\":4}")},
      {"streamed", Request("/v1/chat/completions", key,
                           "{\"model\":\"base\",\"messages\":[{\"role\":\"user\",\"content\":"
                           "\"which seal fits\"}],\"max_tokens\":3,\"stream\":true,"
                           "\"stream_options\":{\"include_usage\":true}}")},
      {"huge", Request("/v1/completions", key, huge.dump())},
      {"refused", Request("/v1/completions", key + "Gullward-Timeout: 0.2\r\n", huge.dump())},
      {"service", Request("/v1/services/desk/entries", key, "{\"part\":\"seal\"}")},
  };
  for (const auto& [name, request] : sessions) {
    RawConnection connection(SharedFleet()->Address("entry-2"));
    connection.Send(request);
    std::string answer = JoinedParts(Normalised(connection.ReadToEnd()));
    std::string path =
        std::string(GULLWARD_SOURCE_DIR) + "/src/entry/testing/golden/" + name + ".txt";
    std::string shown = request.size() > 4000 ? request.substr(0, 200) + "...\n" : request + "\n";
    std::string whole = Normalised(shown) + "\n" + answer;
    if (std::getenv("GULLWARD_UPDATE_GOLDEN") != nullptr) std::ofstream(path) << whole;
    std::ifstream stream(path);
    std::ostringstream golden;
    golden << stream.rdbuf();
    BOOST_TEST(whole == golden.str(), name);
  }
}

}  // namespace
}  // namespace gullward
