// A gateway whose list of engines has a server in trouble (standins/endless_server.h), with or
// without sound engines beside it.
//
//   FaultyServerFixture faulty({"HTTP/1.1 000 Broken\r\n\r\n", ""}, "models", true);
//   Reply reply = faulty.fixture.Call(faulty.fixture.StreamRequest("a"));

#ifndef GULLWARD_GATEWAY_TESTING_FAULTY_SERVER_FIXTURE_H_
#define GULLWARD_GATEWAY_TESTING_FAULTY_SERVER_FIXTURE_H_

#include <string>

#include "gateway/testing/gateway_fixture.h"
#include "platform/testing/document_writer.h"
#include "standins/endless_server.h"

namespace gullward {

struct FaultyServerFixture {
  // `service` is "models" or "app".
  FaultyServerFixture(const EndlessAnswer& answer, const std::string& service,
                      bool has_sound_engines,
                      const Mechanisms& mechanisms = {.shared_order = false})
      : fixture({.engines = 1, .apps = 1, .mechanisms = mechanisms}),
        server(&this->fixture.loop, answer) {
    this->fixture.Publish(this->fixture.DefaultConfig());
    this->ListSound(*this->fixture.engines[0], "models", has_sound_engines);
    this->ListSound(*this->fixture.apps[0], "app", has_sound_engines);
    EngineRecord record{"faulty", service, this->server.address(), "hall-1", 16, false};
    this->fixture.store.Put("keyed.servers", "faulty", platform::EngineDocument(record));
    this->fixture.StartGateway();
  }

  // Sound engines are in another data centre, so that the first attempts go to the faulty one.
  void ListSound(const EngineStandin& engine, const std::string& service, bool is_listed) {
    EngineRecord record{engine.id(), service, engine.address(), "hall-2", 16, false};
    std::string document = is_listed ? platform::EngineDocument(record) : "";
    this->fixture.store.Put("keyed.servers", engine.id(), document);
  }

  GatewayFixture fixture;
  EndlessServer server;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TESTING_FAULTY_SERVER_FIXTURE_H_
