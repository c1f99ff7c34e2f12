// gullward-capacity: measures the costs per message, object, engine and request from which
// docs/CAPACITY.md calculates the capacity.
//
// Every figure is measured with the real cores and codecs at the size in question, on one
// thread: the encoded size of a message, the processor time to handle it, and the memory of
// one more object of a kind (from the heap's count of bytes in use, mallinfo2).  Each figure
// except the sizes is measured kRounds times; the median, minimum and maximum are printed.
//
//   gullward-capacity            prints all figures as the table of docs/CAPACITY.md

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "admission/account_limits.h"
#include "claims/claim_table.h"
#include "config/config_feed.h"
#include "config/config_file.h"
#include "endpoint/endpoint_core.h"
#include "process/process.h"
#include "request/entry_core.h"
#include "trial/simulation.h"
#include "wire/codec.h"

namespace gullward {
namespace {

constexpr int kRounds = 5;
constexpr Time kStart{std::chrono::seconds(1000)};

// The target size that the users named.
constexpr int kAccounts = 35'000;
constexpr int kModels = 25;
constexpr int kChangesPerDay = 49'000;
constexpr int kEnginesPerEndpoint = 4;

double ProcessorSeconds() {
  rusage usage;
  getrusage(RUSAGE_SELF, &usage);
  auto seconds_of = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) * 1e-6;
  };
  return seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime);
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

struct Measurement {
  double median;
  double min;
  double max;
};

Measurement Repeat(const std::function<double()>& measure) {
  std::vector<double> values;
  for (int i = 0; i < kRounds; ++i) values.push_back(measure());
  std::sort(values.begin(), values.end());
  return {values[kRounds / 2], values.front(), values.back()};
}

void Print(const std::string& name, const std::string& unit, const Measurement& measured) {
  std::printf("| %s | %.3g %s | %.3g to %.3g |\n", name.c_str(), measured.median, unit.c_str(),
              measured.min, measured.max);
}

// Microseconds of processor time of one call, averaged over `count` calls.
Measurement MicrosPerCall(int count, const std::function<void(int)>& call) {
  return Repeat([&] {
    double start = ProcessorSeconds();
    for (int i = 0; i < count; ++i) call(i);
    return (ProcessorSeconds() - start) / count * 1e6;
  });
}

// Heap bytes per item of the object that `make` returns, which must hold `count` items.
Measurement BytesPerItem(int count, const std::function<std::shared_ptr<void>()>& make) {
  return Repeat([&] {
    double before = HeapBytes();
    std::shared_ptr<void> items = make();
    return (HeapBytes() - before) / count;
  });
}

// ------------------------------------------------------------------- messages

EngineLoad MakeLoad(uint32_t engine, size_t hints) {
  EngineLoad load;
  load.engine = engine;
  load.name = "engine-" + std::to_string(engine);
  load.model = "model-" + std::to_string(engine % kModels);
  load.up = true;
  load.total_tokens = 400'000;
  load.free_tokens = 300'000;
  load.backlog_ms = {10, 20, 0, 0, 30, 0, 0, 0};
  load.seconds_per_token = 5e-5;
  load.seconds_per_token_pair = 1e-10;
  for (uint64_t i = 0; i < hints; ++i) load.cached.push_back({i * 7919 + engine, i * 400});
  return load;
}

EndpointHeartbeat MakeReport(size_t hints, size_t entries) {
  EndpointHeartbeat report;
  report.incarnation = 77;
  report.config_offset = 1'000'000;
  for (uint32_t i = 0; i < kEnginesPerEndpoint; ++i) report.engines.push_back(MakeLoad(i, hints));
  for (uint64_t i = 0; i < entries; ++i) report.included.push_back({i, i});
  return report;
}

void PrintMessage(const std::string& name, const Message& message) {
  std::string frame = EncodeFrame(message);
  std::printf("| %s, bytes | %zu | - |\n", name.c_str(), frame.size());
  Print(name + ", encode", "us", MicrosPerCall(20'000, [&](int) { EncodeFrame(message); }));
  std::string body = frame.substr(kFrameHeaderBytes);
  Print(name + ", decode", "us", MicrosPerCall(20'000, [&](int) {
          absl::StatusOr<Message> decoded = DecodeMessage(body);
          static_cast<void>(decoded);
        }));
}

void MeasureMessages() {
  PrintMessage("entry heartbeat", EntryHeartbeat{1, 2, 3});
  PrintMessage("load report of 4 engines, no hints, 9 entries", MakeReport(0, 9));
  PrintMessage("load report of 4 engines, 32 hints each, 9 entries", MakeReport(kReportedHints, 9));
  PrintMessage("chunk of one token", Chunk{{{1, 2}, 1}, 3, "token", 1});
  Offer offer;
  offer.id = {{1, 2}, 1};
  offer.model = "base";
  offer.prompt.assign(7500, 'x');
  PrintMessage("offer of 1,500 tokens", offer);
}

// --------------------------------------------------------------- configuration

std::string HexKey(int number) {
  char text[65];
  std::snprintf(text, sizeof(text), "%064x", static_cast<unsigned>(number) + 1);
  return text;
}

ObjectChange AccountChange(int number, int64_t based_on) {
  return {"account", "account-" + std::to_string(number), based_on, false,
          "class = 'counter'\nkey_sha256 = '" + HexKey(number) +
              "'\n\n[labels]\nkind = 'counter'\nregion = 'r" + std::to_string(number % 10) + "'"};
}

ConfigChange BaseChange() {
  ConfigChange change;
  change.id = {1, 1};
  change.objects.push_back({"class", "counter", -1, false, "timeout_seconds = 20"});
  for (int i = 0; i < kModels; ++i) {
    change.objects.push_back(
        {"model", "model-" + std::to_string(i), -1, false, "context_tokens = 1200000"});
  }
  for (int i = 0; i < 10; ++i) {
    change.objects.push_back(
        {"limit", "limit-" + std::to_string(i), -1, false,
         "max_in_flight = 100\naccounts = { region = 'r" + std::to_string(i) + "' }"});
  }
  for (int i = 0; i < kAccounts; ++i) change.objects.push_back(AccountChange(i, -1));
  return change;
}

void MeasureConfiguration() {
  ConfigChange base = BaseChange();
  auto objects = static_cast<int>(base.objects.size());
  Print("configuration, memory of one object", "B", BytesPerItem(objects, [&] {
          auto state = std::make_shared<ConfigState>();
          state->Apply(0, base);
          return state;
        }));
  ConfigState state;
  state.Apply(0, base);
  std::string snapshot = EncodeRecord(state.Snapshot());
  std::printf("| snapshot of %d objects, bytes | %zu | - |\n", objects, snapshot.size());
  Print("snapshot, cut and encode", "ms", Repeat([&] {
          return MicrosPerCall(1, [&](int) { EncodeRecord(state.Snapshot()); }).median / 1e3;
        }));
  Print("snapshot, decode and load", "ms", Repeat([&] {
          return MicrosPerCall(1,
                               [&](int) {
                                 LogRecord record = DecodeRecord(snapshot);
                                 ConfigState fresh;
                                 fresh.Load(std::get<ConfigSnapshot>(record));
                               })
                     .median /
                 1e3;
        }));
  // The changes of one day to a configuration of full size, applied record by record.
  std::vector<int64_t> versions(kAccounts, 0);
  std::vector<std::string> day_of_changes;
  day_of_changes.reserve(kChangesPerDay);
  for (int i = 0; i < kChangesPerDay; ++i) {
    int account = (i * 7919) % kAccounts;
    ConfigChange change;
    change.id = {2, static_cast<uint64_t>(i)};
    change.objects = {AccountChange(account, versions[static_cast<size_t>(account)])};
    versions[static_cast<size_t>(account)] = i + 1;
    day_of_changes.push_back(EncodeRecord(change));
  }
  std::printf("| one change, bytes | %zu | - |\n", day_of_changes[0].size());
  Print("one change, decode and apply", "us", Repeat([&] {
          ConfigState fresh;
          fresh.Apply(0, base);
          double start = ProcessorSeconds();
          for (int i = 0; i < kChangesPerDay; ++i) {
            fresh.Apply(i + 1, DecodeRecord(day_of_changes[static_cast<size_t>(i)]));
          }
          double processor_seconds = ProcessorSeconds() - start;
          if (fresh.counters().accepted != kChangesPerDay + 1u) std::printf("changes rejected\n");
          return processor_seconds / kChangesPerDay * 1e6;
        }));
}

// ----------------------------------------------------------------------- fleet

std::shared_ptr<FleetView> MakeFleet(int engines, size_t hints) {
  auto fleet = std::make_shared<FleetView>(1);
  for (int i = 0; i < engines / kEnginesPerEndpoint; ++i) {
    EndpointHeartbeat report = MakeReport(hints, 9);
    for (EngineLoad& load : report.engines) {
      load.model = "base";
      for (CacheHint& hint : load.cached) hint.prefix_hash += static_cast<uint64_t>(i) << 32;
    }
    fleet->OnHeartbeat("box-" + std::to_string(i), report, kStart);
  }
  return fleet;
}

void MeasureFleet() {
  for (int engines : {20, 348, 10'000}) {
    std::string size = std::to_string(engines) + " engines known";
    Print(size + ", memory of one engine", "B",
          BytesPerItem(engines, [&] { return MakeFleet(engines, 0); }));
    std::shared_ptr<FleetView> fleet = MakeFleet(engines, 0);
    EndpointHeartbeat report = MakeReport(0, 9);
    Print(size + ", take one load report", "us", MicrosPerCall(5000, [&](int i) {
            fleet->OnHeartbeat("box-" + std::to_string(i % (engines / 4)), report, kStart);
          }));
    fleet = MakeFleet(engines, 0);
    Policy policy = MakePolicy("estimate", 1);
    RoutingRequest request;
    request.prompt_tokens = 1500;
    request.model = "base";
    request.long_tokens = 32'768;
    int rounds = engines > 1000 ? 200 : 5000;
    Print(size + ", one decision", "us", MicrosPerCall(rounds, [&](int) {
            policy(request, fleet->Candidates("base", {}, kStart, false));
          }));
  }
  Print("memory of one prefix hint", "B",
        BytesPerItem(348 * 32, [] { return MakeFleet(348, 32); }));
}

// ------------------------------------------------------------ the other tables

void MeasureTables() {
  constexpr int kKeys = 200'000;
  Print("memory of one idempotency key", "B", BytesPerItem(kKeys, [] {
          auto table = std::make_shared<ClaimTable>(ClaimTableOptions{});
          for (int i = 0; i < kKeys; ++i) {
            table->Apply({{static_cast<uint64_t>(i % 261), static_cast<uint64_t>(i)},
                          {{ClaimKind::kClaim, static_cast<uint64_t>(i), {1, 1}}}},
                         kStart);
          }
          return table;
        }));
  ClaimTable table(ClaimTableOptions{});
  Print("take one batch of 20 claims, 261 writers", "us", MicrosPerCall(5000, [&](int i) {
          ClaimBatch batch{{static_cast<uint64_t>(i % 261), static_cast<uint64_t>(i)}, {}};
          for (int k = 0; k < 20; ++k) {
            batch.records.push_back({ClaimKind::kClaim, static_cast<uint64_t>(i * 20 + k), {1, 1}});
          }
          table.Apply(batch, kStart);
        }));
  Print("memory of one account's limits", "B", BytesPerItem(kAccounts, [] {
          auto limits = std::make_shared<AccountLimits>();
          for (int i = 0; i < kAccounts; ++i) {
            limits->Admit("account-" + std::to_string(i), {100, 100, 10}, 1, kStart);
          }
          return limits;
        }));
}

// An entry of 87 boxes with 1,000 short requests in flight.
void MeasureRequests() {
  constexpr int kRequests = 1000;
  ConfigFeed feed;
  std::vector<ConfigError> errors;
  auto file = ParseConfigFile(BasicConfig(), "basic", &errors);
  feed.ApplyLogRecords(0, {{0, EncodeRecord(MakeChange(*file, feed.state(), {1, 1}))}});
  auto make = [&] {
    EntryOptions options;
    options.incarnation = 1;
    auto core = std::make_shared<EntryCore>(options, &feed, kStart);
    for (int i = 0; i < 87; ++i) {
      EndpointHeartbeat report = MakeReport(0, 9);
      for (EngineLoad& load : report.engines) load.model = "base";
      core->OnMessage("box-" + std::to_string(i), report, kStart);
    }
    return core;
  };
  RequestInput input = BasicRequest(1500, 200, 1);
  Print("memory of one request in flight (prompt 7.5 kB)", "B", Repeat([&] {
          auto core = make();
          double before = HeapBytes();
          for (int i = 0; i < kRequests; ++i) {
            RequestInput request_input = input;
            request_input.prompt = std::make_shared<const std::string>(*input.prompt);
            core->Submit(std::move(request_input), kStart);
            core->TakeActions();
          }
          return (HeapBytes() - before) / kRequests;
        }));
  Print("submit one short request, 348 engines known", "us", Repeat([&] {
          auto core = make();
          double start = ProcessorSeconds();
          for (int i = 0; i < kRequests; ++i) {
            core->Submit(input, kStart);
            core->TakeActions();
          }
          return (ProcessorSeconds() - start) / kRequests * 1e6;
        }));
  auto core = make();
  for (int i = 0; i < kRequests; ++i) core->Submit(input, kStart);
  core->TakeActions();
  Print("one tick with 1,000 requests in flight", "us",
        MicrosPerCall(1000, [&](int) { core->Tick(kStart); }));
}

int MeasureAll() {
  std::printf("| what | median | spread of %d |\n|---|---|---|\n", kRounds);
  MeasureMessages();
  MeasureConfiguration();
  MeasureFleet();
  MeasureTables();
  MeasureRequests();
  return 0;
}

}  // namespace
}  // namespace gullward

int main(int argc, char** argv) {
  gullward::InitProcess("gullward-capacity: measures the slopes of docs/CAPACITY.md", &argc, &argv);
  return gullward::MeasureAll();
}
