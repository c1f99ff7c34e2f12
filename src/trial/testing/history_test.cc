// Random histories: many requests of all kinds and many faults, generated from one seed each.
//
// The fault matrix injects one fault at a chosen step.  A history injects many faults at random
// times, so that they overlap with each other and with the recovery from earlier ones.  Then all
// faults end and the guarantees are checked (Simulation::CheckInvariants).  The test prints a
// seed that fails; the seed fails again on every run.
//
//   history_test -- --first=17 --count=1 --trace=1    runs one seed and prints its trace

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
constexpr Duration kActiveTime = seconds(30);
constexpr Duration kRecoveryTime = seconds(100);

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
    for (int i = 0; i < kRequests; ++i)
      this->ScheduleAtRandom([this, i] { this->SubmitRandom(i); });
    for (int i = 0; i < kFaults; ++i) this->ScheduleAtRandom([this] { this->InjectRandomFault(); });
    this->simulation.RunFor(kActiveTime + kRecoveryTime);
    return this->simulation.CheckInvariants(/*expect_idle=*/true);
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

  uint64_t RandomBelow(uint64_t count) {
    return std::uniform_int_distribution<uint64_t>(0, count - 1)(this->random);
  }

  void ScheduleAtRandom(std::function<void()> task) {
    auto delay = Duration(static_cast<int64_t>(this->RandomBelow(kActiveTime.count())));
    this->simulation.At(this->simulation.now() + delay, std::move(task));
  }

  void SubmitRandom(int index) {
    uint64_t kind = this->RandomBelow(10);
    RequestInput input;
    if (kind == 0) {
      input = BasicRequest(50'000 + this->RandomBelow(60'000), 100, static_cast<uint64_t>(index));
      input.timeout = seconds(60);
    } else if (kind == 1) {
      input = ServiceRequest("entry " + std::to_string(index));
    } else {
      uint64_t tokens = kind == 2 ? 20'000 : 200 + this->RandomBelow(3000);
      input = BasicRequest(tokens, 1 + static_cast<uint32_t>(this->RandomBelow(200)),
                           static_cast<uint64_t>(index));
      input.timeout = seconds(20);
    }
    input.repeatable = this->RandomBelow(3) != 0;
    if (!input.repeatable && this->RandomBelow(2) == 0)
      input.idempotency_key = 1 + this->RandomBelow(5);
    size_t call = this->simulation.Submit(this->RandomBelow(2), input);
    if (this->RandomBelow(8) == 0)
      this->ScheduleAtRandom([this, call] { this->simulation.DisconnectCaller(call); });
  }

  void InjectRandomFault() {
    size_t at = this->RandomBelow(4);
    size_t entry = this->RandomBelow(2);
    Duration fault_duration = milliseconds(500 + this->RandomBelow(7000));
    switch (this->RandomBelow(11)) {
      case 0:
        this->simulation.KillEngine(at, 0);
        break;
      case 1:
        this->simulation.FreezeEngine(at, 0, fault_duration);
        break;
      case 2:
        this->simulation.AbortStreams(at, 0);
        break;
      case 3:
        this->simulation.SlowEngine(at, 0, 1 + static_cast<double>(this->RandomBelow(20)));
        break;
      case 4:
        if (this->simulation.endpoint(at) == nullptr) break;
        this->simulation.KillEndpoint(at);
        this->simulation.At(this->simulation.now() + fault_duration,
                            [this, at] { this->simulation.RestartEndpoint(at); });
        break;
      case 5:
        this->simulation.PauseEndpoint(at, fault_duration);
        break;
      case 6:
        if (this->simulation.endpoint(at) != nullptr) this->simulation.DrainEndpoint(at);
        break;
      case 7:
        this->simulation.ResetLink(entry, at);
        break;
      case 8:
        this->simulation.PartitionLink(entry, at, fault_duration);
        break;
      case 9:
        if (this->simulation.entry(entry) == nullptr) break;
        this->simulation.KillEntry(entry);
        this->simulation.At(this->simulation.now() + fault_duration,
                            [this, entry] { this->simulation.RestartEntry(entry); });
        break;
      default:
        this->simulation.SetLogDown(true);
        this->simulation.At(this->simulation.now() + fault_duration,
                            [this] { this->simulation.SetLogDown(false); });
    }
  }

  std::mt19937_64 random;
  Simulation simulation;
};

BOOST_AUTO_TEST_CASE(GuaranteesHoldInRandomHistories) {
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
