// The default configuration has one service that runs models, with a streaming route, and one
// plain service, with a repeatable and a non-repeatable route.

#include "gateway/testing/gateway_fixture.h"

#include <glog/logging.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "platform/headers.h"
#include "platform/testing/document_writer.h"

namespace gullward {
namespace {

using nlohmann::json;

constexpr char kModels[] = "models";
constexpr char kApp[] = "app";

Route RouteTo(const std::string& service, const std::string& name, const std::string& prefix,
              Repeat repeat) {
  Route route;
  route.name = name;
  route.host = "test.example";
  route.path_prefix = prefix;
  route.repeat = repeat;
  route.streaming = repeat == Repeat::kResumeStream;
  route.longest_pause = milliseconds(200);
  route.max_attempts = 2;
  route.priority = 1;
  route.services = {{service, 1}};
  return route;
}

EngineSpeed SpeedOfModels() {
  EngineSpeed speed;
  speed.slots = 16;
  speed.memory_tokens = 450'000;
  speed.step_ms = 0.925;
  speed.step_ms_per_request = 0.005;
  speed.step_ms_per_thousand_context = 0.0025;
  speed.prefill_ms_per_million_pairs = 0.0917;
  speed.steps_per_pass = 46;
  return speed;
}

}  // namespace

GatewayFixture::GatewayFixture(const GatewayFixtureOptions& fixture_options)
    : store(&this->loop), options(fixture_options) {
  for (int i = 0; i < this->options.engines; ++i) {
    EngineStandin::Options engine = this->options.engine;
    engine.id = absl::StrCat("engine-", i);
    engine.on_crash = [this, number = static_cast<size_t>(i)] { this->OnEngineCrashed(number); };
    this->engines.push_back(std::make_unique<EngineStandin>(&this->loop, engine));
    this->ListEngine(*this->engines.back(), kModels);
  }
  for (int i = 0; i < this->options.apps; ++i) {
    EngineStandin::Options app = this->options.app;
    app.id = absl::StrCat("app-", i);
    this->apps.push_back(std::make_unique<EngineStandin>(&this->loop, app));
    this->ListEngine(*this->apps.back(), kApp);
  }
}

GatewayFixture::~GatewayFixture() {
  this->callers.clear();
  this->more_gateways.clear();
  this->gateway.reset();
}

json GatewayFixture::DefaultConfig() const {
  ServingConfig config;
  config.version = 1;
  config.routes = {RouteTo(kModels, "chat", "/chat/", Repeat::kResumeStream),
                   RouteTo(kApp, "look", "/app/look/", Repeat::kAllowed),
                   RouteTo(kApp, "order", "/app/order/", Repeat::kNever)};
  config.services = {{kModels, "/healthz", 400, true, SpeedOfModels()},
                     {kApp, "/healthz", 100, false, {}}};
  config.limits.body_bytes = 1 << 20;
  config.accounts = {{"shop", {"key-1", "key-2"}, -1}};
  return platform::ConfigDocument(config);
}

void GatewayFixture::Publish(const json& config) {
  this->store.Put("keyed.op", "config", config.dump());
}

void GatewayFixture::ListEngine(const EngineStandin& engine, const std::string& service,
                                bool draining) {
  EngineRecord record{engine.id(), service, engine.address(), "hall-1", 16, draining};
  this->store.Put("keyed.servers", engine.id(), platform::EngineDocument(record));
}

std::unique_ptr<GatewayServer> GatewayFixture::NewUnreadyGateway(size_t number,
                                                                 const SocketAddress& at_store) {
  GatewaySettings settings;
  settings.box = absl::StrCat("box-", number);
  settings.data_centre = "hall-1";
  settings.callers = settings.ready = settings.metrics = {"127.0.0.1", 0};
  settings.peers = this->peers_address;
  bool is_at_second = this->boxes_at_second_address.count(settings.box) > 0;
  settings.store = is_at_second ? this->store.second_address() : at_store;
  settings.mechanisms = this->options.mechanisms;
  settings.key_trust = this->options.key_trust;
  settings.key_trust_mode = this->options.key_trust_mode;
  settings.stop_grace = this->options.stop_grace;
  settings.leaving_bound = this->options.leaving_bound;
  settings.retry = this->options.retry;
  settings.registration_pause = this->options.registration_pause;
  auto server = std::make_unique<GatewayServer>(&this->loop, settings, /*random_seed=*/number);
  absl::Status status = server->Start();
  CHECK(status.ok()) << status.message();
  return server;
}

std::unique_ptr<GatewayServer> GatewayFixture::NewGateway(size_t number,
                                                          const SocketAddress& at_store) {
  std::unique_ptr<GatewayServer> server = this->NewUnreadyGateway(number, at_store);
  CHECK(this->RunUntil([&server] { return server->IsReady(); }));
  return server;
}

void GatewayFixture::StartGateway() { this->gateway = this->NewGateway(1, this->store.address()); }

void GatewayFixture::AddGateway() {
  this->more_gateways.push_back(
      this->NewGateway(this->more_gateways.size() + 2, this->store.address()));
  size_t others = this->more_gateways.size();
  CHECK(this->RunUntil([this, others] {
    bool all_known = this->gateway->peers() == others;
    for (const auto& other : this->more_gateways) all_known = all_known && other->peers() == others;
    return all_known;
  }));
}

void GatewayFixture::AddGatewayUnready() {
  this->more_gateways.push_back(
      this->NewUnreadyGateway(this->more_gateways.size() + 2, this->store.address()));
}

void GatewayFixture::AddGatewayWithStore(const SocketAddress& other_store) {
  this->more_gateways.push_back(this->NewGateway(this->more_gateways.size() + 2, other_store));
}

const GatewayServer& GatewayFixture::Gateway(size_t number) const {
  return number == 0 ? *this->gateway : *this->more_gateways[number - 1];
}

void GatewayFixture::OnEngineCrashed(size_t number) {
  this->crashes += 1;
  if (!this->restart_after) return;
  EngineStandin* engine = this->engines[number].get();
  std::string next_id = absl::StrCat("engine-", number, "-after-", this->crashes);
  this->loop.RunAfter(*this->restart_after, [this, engine, next_id] {
    this->store.Put("keyed.servers", engine->id(), "");
    engine->Restart(next_id);
    this->ListEngine(*engine, kModels);
  });
}

void GatewayFixture::RunFor(Duration span) {
  this->RunUntil([end = Now() + span] { return Now() >= end; });
}

bool GatewayFixture::AllGateways(const std::function<bool(const GatewayServer&)>& condition) const {
  return condition(*this->gateway) &&
         std::all_of(this->more_gateways.begin(), this->more_gateways.end(),
                     [&](const auto& other) { return condition(*other); });
}

bool GatewayFixture::RunUntil(const std::function<bool()>& condition) {
  Time until = Now() + kTestTimeout;
  while (!condition()) {
    if (Now() > until) return false;
    this->loop.RunOnce(milliseconds(20));
  }
  return true;
}

std::string GatewayFixture::StreamRequest(const std::string& id, const std::string& more_headers,
                                          const std::string& body) const {
  return absl::StrCat("POST /chat/x HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: ", id,
                      "\r\nModel: m\r\nToken-Count: 1000,80\r\nPrompt-Prefix: aa:1000\r\n",
                      "Deadline-Ms: 8000\r\nX-Api-Key: key-1\r\n", more_headers,
                      "Content-Length: ", body.size(), "\r\n\r\n", body);
}

std::string GatewayFixture::SafeRequest(const std::string& id) const {
  return absl::StrCat("GET /app/look/x HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: ", id,
                      "\r\nDeadline-Ms: 4000\r\nX-Api-Key: key-1\r\n\r\n");
}

std::string GatewayFixture::OnceRequest(const std::string& id, const std::string& body) const {
  return absl::StrCat("POST /app/order/x HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: ", id,
                      "\r\nDeadline-Ms: 4000\r\nX-Api-Key: key-2\r\nContent-Length: ", body.size(),
                      "\r\n\r\n", body);
}

std::shared_ptr<Reply> GatewayFixture::Send(const std::string& request, size_t gateway_number) {
  auto reply = std::make_shared<Reply>();
  SocketAddress address{"127.0.0.1", this->Gateway(gateway_number).callers_port()};
  auto channel = RequestChannel::Open(&this->loop, address);
  RequestChannel::Hooks hooks;
  hooks.head = [reply](const ResponseHead& head) { reply->head = head; };
  hooks.body = [reply](std::string_view bytes) { reply->body.append(bytes); };
  hooks.done = [reply](ChannelResult result) {
    reply->result = result;
    reply->done = true;
  };
  channel->Send(request, std::move(hooks), /*is_head=*/false);
  this->callers.push_back(channel);
  return reply;
}

Reply GatewayFixture::Call(const std::string& request, size_t gateway_number) {
  std::shared_ptr<Reply> reply = this->Send(request, gateway_number);
  CHECK(this->RunUntil([&] { return reply->done; })) << request;
  return *reply;
}

std::vector<std::shared_ptr<Reply>> GatewayFixture::SendMany(
    int count, const std::string& name, Duration pause,
    const std::function<std::string(const std::string& id)>& make) {
  std::vector<std::shared_ptr<Reply>> replies;
  size_t gateways = this->more_gateways.size() + 1;
  for (int i = 0; i < count; ++i) {
    std::string request = make(absl::StrCat(name, "-", i));
    replies.push_back(this->Send(request, static_cast<size_t>(i) % gateways));
    Time until = Now() + pause;
    this->RunUntil([until] { return Now() >= until; });
  }
  CHECK(this->RunUntil([&] {
    return std::all_of(replies.begin(), replies.end(), [](const auto& one) { return one->done; });
  })) << name;
  return replies;
}

void GatewayFixture::StopReading() {
  for (const auto& channel : this->callers) channel->SetReading(false);
}

int GatewayFixture::RunsOf(const std::string& id) const {
  int runs = 0;
  auto count = [&](const std::vector<std::unique_ptr<EngineStandin>>& list) {
    for (const auto& engine : list) {
      for (const EngineStandin::ReceivedRequest& seen : engine->received()) {
        bool same = FindHeader(seen.request.head.headers, platform::kAttemptId) == id;
        runs += same && seen.ran ? 1 : 0;
      }
    }
  };
  count(this->engines);
  count(this->apps);
  return runs;
}

std::unique_ptr<GatewayFixture> StartedFixture(const GatewayFixtureOptions& options,
                                               size_t gateways) {
  auto fixture = std::make_unique<GatewayFixture>(options);
  fixture->Publish(fixture->DefaultConfig());
  fixture->StartGateway();
  while (fixture->more_gateways.size() + 1 < gateways) fixture->AddGateway();
  return fixture;
}

}  // namespace gullward
