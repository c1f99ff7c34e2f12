// Random histories: many requests of all kinds, many faults, from one seed each.
//
// Where the fault matrix strikes once at a chosen step, a history strikes often
// and anywhere, so that faults meet each other and the recovery from the last
// one.  After it all heals and the promises are checked.  A seed that fails is
// printed; it fails again on every run.
//
//   history_test -- --first=17 --count=1 --trace=1    runs and shows one seed

#define BOOST_TEST_MODULE history
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>

#include "trial/simulation.h"

namespace gullward {
namespace {

constexpr int kDefaultHistories = 500;
constexpr int kRequests = 40;
constexpr int kFaults = 12;
constexpr Duration kBusyTime = seconds(30);
constexpr Duration kHealingTime = seconds(100);

int FromArguments(const std::string& name, int fallback) {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  for (int i = 1; i < suite.argc; ++i) {
    std::string argument = suite.argv[i];
    std::string prefix = "--" + name + "=";
    if (argument.compare(0, prefix.size(), prefix) == 0) {
      return std::atoi(argument.c_str() + prefix.size());
    }
  }
  return fallback;
}

class History {
 public:
  History(uint64_t seed, bool trace) : random(seed), simulation(Options(seed)) {
    if (!trace) return;
    this->simulation.SetTrace([](const std::string& line) { std::printf("%s\n", line.c_str()); });
  }

  std::vector<std::string> Run() {
    this->simulation.Publish(BasicConfig());
    this->simulation.RunFor(seconds(1));
    for (int i = 0; i < kRequests; ++i) this->Plan([this, i] { this->SubmitRandom(i); });
    for (int i = 0; i < kFaults; ++i) this->Plan([this] { this->StrikeRandom(); });
    this->simulation.RunFor(kBusyTime + kHealingTime);
    return this->simulation.CheckInvariants(/*quiet=*/true);
  }

 private:
  static SimulationOptions Options(uint64_t seed) {
    SimulationOptions options;
    options.entries = 2;
    options.endpoints = 5;
    options.services = 1;
    options.engine.memory_tokens = 40'000;
    options.engine.speed = {5e-5, 1e-11};
    options.seed = seed;
    return options;
  }

  uint64_t Pick(uint64_t count) {
    return std::uniform_int_distribution<uint64_t>(0, count - 1)(this->random);
  }

  void Plan(std::function<void()> task) {
    auto delay = Duration(static_cast<int64_t>(this->Pick(kBusyTime.count())));
    this->simulation.At(this->simulation.now() + delay, std::move(task));
  }

  void SubmitRandom(int index) {
    uint64_t kind = this->Pick(10);
    RequestInput input;
    if (kind == 0) {
      input = BasicRequest(50'000 + this->Pick(60'000), 100, static_cast<uint64_t>(index));
      input.timeout = seconds(60);
    } else if (kind == 1) {
      input = ServiceRequest("entry " + std::to_string(index));
    } else {
      uint64_t tokens = kind == 2 ? 20'000 : 200 + this->Pick(3000);
      input = BasicRequest(tokens, 1 + static_cast<uint32_t>(this->Pick(200)),
                           static_cast<uint64_t>(index));
      input.timeout = seconds(20);
    }
    input.repeatable = this->Pick(3) != 0;
    if (!input.repeatable && this->Pick(2) == 0) input.idempotency_key = 1 + this->Pick(5);
    size_t call = this->simulation.Submit(this->Pick(2), input);
    if (this->Pick(8) == 0) this->Plan([this, call] { this->simulation.CallerLeaves(call); });
  }

  void StrikeRandom() {
    size_t at = this->Pick(4);
    size_t entry = this->Pick(2);
    Duration while_long = milliseconds(500 + this->Pick(7000));
    switch (this->Pick(11)) {
      case 0:
        this->simulation.KillEngine(at, 0);
        break;
      case 1:
        this->simulation.FreezeEngine(at, 0, while_long);
        break;
      case 2:
        this->simulation.CutStreams(at, 0);
        break;
      case 3:
        this->simulation.SlowEngine(at, 0, 1 + static_cast<double>(this->Pick(20)));
        break;
      case 4:
        if (this->simulation.endpoint(at) == nullptr) break;
        this->simulation.KillEndpoint(at);
        this->simulation.At(this->simulation.now() + while_long,
                            [this, at] { this->simulation.RestartEndpoint(at); });
        break;
      case 5:
        this->simulation.PauseEndpoint(at, while_long);
        break;
      case 6:
        if (this->simulation.endpoint(at) != nullptr) this->simulation.DrainEndpoint(at);
        break;
      case 7:
        this->simulation.CutLink(entry, at);
        break;
      case 8:
        this->simulation.SilenceLink(entry, at, while_long);
        break;
      case 9:
        if (this->simulation.entry(entry) == nullptr) break;
        this->simulation.KillEntry(entry);
        this->simulation.At(this->simulation.now() + while_long,
                            [this, entry] { this->simulation.RestartEntry(entry); });
        break;
      default:
        this->simulation.SetLogDown(true);
        this->simulation.At(this->simulation.now() + while_long,
                            [this] { this->simulation.SetLogDown(false); });
    }
  }

  std::mt19937_64 random;
  Simulation simulation;
};

BOOST_AUTO_TEST_CASE(PromisesHoldInRandomHistories) {
  const char* from_environment = std::getenv("GULLWARD_HISTORIES");
  int fallback = from_environment == nullptr ? kDefaultHistories : std::atoi(from_environment);
  int first = FromArguments("first", 1);
  int count = FromArguments("count", fallback);
  bool trace = FromArguments("trace", 0) != 0;
  for (int seed = first; seed < first + count; ++seed) {
    std::vector<std::string> broken = History(static_cast<uint64_t>(seed), trace).Run();
    BOOST_TEST(broken.empty(), "seed " << seed);
    for (const std::string& what : broken) BOOST_TEST_MESSAGE("seed " << seed << ": " << what);
  }
}

}  // namespace
}  // namespace gullward
