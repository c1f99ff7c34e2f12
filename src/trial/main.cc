// gullward-trial: measures routing policies under load and under faults.
//
// A run combines a deployment, a load, a condition (a fault or none) and a routing policy.  It
// drives the real cores on simulated time against the time model of the stand-in engine
// (trial/simulation.h).  All policies get the same arrivals.  The program prints one table row
// for each run, in the form of docs/MEASUREMENTS.md.  Runs do not depend on the machine: the same
// command gives the same figures.
//
//   gullward-trial --deployments=catalogue --loads=80 --conditions=calm

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "process/process.h"
#include "standins/answer.h"
#include "trial/fleet_tables.h"
#include "trial/simulation.h"

DEFINE_string(deployments, "catalogue,berkapu", "deployments to simulate");
DEFINE_string(loads, "50,80,100,130", "loads, in per cent of the fleet's capacity");
DEFINE_string(conditions, "calm",
              "calm, engine_dead, engine_slow, zone_lost, reports_late, "
              "hints_lost, log_down, entry_restarted");
DEFINE_string(policies, "estimate,round_robin,least_outstanding,longest_prefix,trapezoid",
              "routing policies to compare");
DEFINE_double(seconds, 600, "simulated time during which requests arrive");
DEFINE_double(long_share, 0,
              "share of engines for long prompts; if positive, replaces the deployments' share");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_int32(threads, 6, "number of runs in parallel");
DEFINE_string(scale, "",
              "instead of the runs above, print the table of costs that grow with the fleet, for "
              "these numbers of gateways, such as 30,100,300,1000 (trial/scale_trial.h)");
DEFINE_string(crashing, "",
              "instead of the runs above, print the table of the cost of requests that crash "
              "engines, for fleets of these numbers of gateways, such as 5,30,103,300 "
              "(trial/crash_trial.h)");
DEFINE_string(crashing_parts, "",
              "fleet sizes as for --crashing, for requests that share a part that crashes engines");
DEFINE_string(limited, "",
              "instead of the runs above, print the table of the load on engines that state a "
              "limit, for fleets of these numbers of gateways, such as 5,30,100,300 "
              "(trial/limit_trial.h)");
DEFINE_double(engines_each, 10, "engines for each gateway, with --scale, --crashing, --limited");

namespace gullward {
namespace {

// Exit status if a flag has an invalid value.
constexpr int kUsageError = 2;
constexpr size_t kEndpoints = 7;
constexpr size_t kEnginesPerEndpoint = 3;
constexpr size_t kEntries = 2;
constexpr uint32_t kAnswerTokens = 16;

// When the fault is injected after the start, and for how long it lasts.
constexpr Duration kFaultDelay = seconds(30);
constexpr Duration kFaultDuration = seconds(40);

// ---------------------------------------------------------------- deployments

// Requests of similar length: their share of the fleet's work and their timeout.
struct Band {
  const char* account;
  uint64_t min_tokens;
  uint64_t max_tokens;
  double work_share;
  Duration timeout;
  // Share of the requests that repeat one of the last five texts of the band.
  double repeat_share;
};

struct Deployment {
  std::string name;
  std::vector<Band> bands;
  std::string routing;
  double long_share;
};

const std::vector<Deployment>& Deployments() {
  static const std::vector<Deployment> all = {
      {"catalogue",
       {{"counter", 800, 2000, 0.35, seconds(20), 0},
        {"clerk", 20'000, 30'000, 0.15, seconds(120), 0.3},
        {"clerk", 60'000, 180'000, 0.25, seconds(240), 0.3},
        {"archive", 600'000, 1'000'000, 0.25, seconds(900), 0}},
       "long_tokens = 16384\n",
       1.0},
      {"berkapu",
       {{"counter", 800, 2000, 0.55, seconds(20), 0},
        {"clerk", 20'000, 30'000, 0.15, seconds(120), 0.3},
        {"clerk", 60'000, 180'000, 0.20, seconds(240), 0.3},
        {"archive", 600'000, 800'000, 0.10, seconds(900), 0}},
       "long_tokens = 16384\n",
       0.75},
  };
  return all;
}

std::string Key(char digit) { return std::string(64, digit); }

std::string KeyOf(const std::string& account) {
  return Key(account == "counter" ? 'a' : account == "clerk" ? 'b' : 'c');
}

std::string ConfigOf(const Deployment& deployment, const std::string& policy) {
  std::string text =
      "[[class]]\nname = \"short\"\ntimeout_seconds = 20\npriority = 0\nvalue = 10\n"
      "[[class]]\nname = \"manual\"\ntimeout_seconds = 120\npriority = 2\nvalue = 10\n"
      "[[class]]\nname = \"binder\"\ntimeout_seconds = 900\npriority = 2\nvalue = 30\n"
      "[[model]]\nname = \"base\"\nbytes_per_token = 5\ncontext_tokens = 1200000\n";
  text += "[[account]]\nname = \"counter\"\nclass = \"short\"\nkey_sha256 = \"" + Key('a') + "\"\n";
  text += "[[account]]\nname = \"clerk\"\nclass = \"manual\"\nkey_sha256 = \"" + Key('b') + "\"\n";
  text +=
      "[[account]]\nname = \"archive\"\nclass = \"binder\"\nkey_sha256 = \"" + Key('c') + "\"\n";
  text += "[[routing]]\nname = \"default\"\npolicy = \"" + policy + "\"\n" + deployment.routing;
  double share = FLAGS_long_share > 0 ? FLAGS_long_share : deployment.long_share;
  text += "long_share = " + std::to_string(share) + "\n";
  return text;
}

// -------------------------------------------------------------------- arrivals

struct Arrival {
  Time at;
  size_t band;
  uint64_t tokens;
  // Requests with the same number have the same text, up to their length.
  uint64_t text;
};

double PrefillSeconds(uint64_t tokens) { return Seconds(EngineModelOptions{}.speed, 0, tokens); }

std::vector<Arrival> MakeArrivals(const Deployment& deployment, double load, bool short_band_only) {
  std::vector<Arrival> arrivals;
  Time start{std::chrono::hours(1)};
  double capacity = static_cast<double>(kEndpoints * kEnginesPerEndpoint);
  for (size_t b = 0; b < deployment.bands.size(); ++b) {
    if (short_band_only && b > 0) break;
    const Band& band = deployment.bands[b];
    // Each band has its own random numbers, so that the short requests are the same in a run
    // with this band only and in the mix.
    std::mt19937_64 random(FLAGS_seed * 1000 + b);
    std::uniform_int_distribution<uint64_t> length(band.min_tokens, band.max_tokens);
    double mean_work = PrefillSeconds((band.min_tokens + band.max_tokens) / 2);
    double rate = load * capacity * band.work_share / mean_work;
    std::exponential_distribution<double> gap(rate);
    uint64_t text = 0;
    std::vector<uint64_t> recent;
    for (double at = gap(random); at < FLAGS_seconds; at += gap(random)) {
      bool repeats_text = !recent.empty() &&
                          std::uniform_real_distribution<double>(0, 1)(random) < band.repeat_share;
      uint64_t tokens = length(random);
      uint64_t number = (b + 1) * 1'000'000 + text++;
      if (repeats_text) {
        number = recent[random() % recent.size()];
      } else {
        recent.push_back(number);
        if (recent.size() > 5) recent.erase(recent.begin());
      }
      arrivals.push_back({start + seconds(1) + FromSeconds(at), b, tokens, number});
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

RequestInput MakeInput(const Deployment& deployment, const Arrival& arrival) {
  const Band& band = deployment.bands[arrival.band];
  RequestInput input = BasicRequest(arrival.tokens, kAnswerTokens, arrival.text);
  input.key_sha256 = KeyOf(band.account);
  input.timeout = band.timeout;
  return input;
}

// ------------------------------------------------------------------------ runs

struct Run {
  const Deployment* deployment;
  int load;
  std::string condition;
  std::string policy;
  bool short_band_only = false;
};

struct Figures {
  std::array<std::vector<double>, 4> first;
  size_t sent = 0;
  size_t in_time = 0;
  size_t refused = 0;
  double refused_after = 0;
  double retries = 0;
  std::vector<std::string> broken;
};

void ScheduleFault(Simulation* simulation, const std::string& condition) {
  Time at = simulation->now() + kFaultDelay;
  if (condition == "engine_dead") {
    simulation->At(at, [simulation] {
      simulation->KillEngine(0, 0);
      simulation->FreezeEngine(0, 0, kFaultDuration);
    });
  } else if (condition == "engine_slow") {
    simulation->At(at, [simulation] { simulation->SlowEngine(0, 0, 10); });
  } else if (condition == "zone_lost") {
    for (size_t i = 0; i < 2; ++i) {
      simulation->At(at, [simulation, i] { simulation->KillEndpoint(i); });
      simulation->At(at + kFaultDuration, [simulation, i] { simulation->RestartEndpoint(i); });
    }
  } else if (condition == "log_down") {
    simulation->At(at, [simulation] { simulation->SetLogDown(true); });
  } else if (condition == "entry_restarted") {
    simulation->At(at, [simulation] { simulation->KillEntry(1); });
    simulation->At(at + seconds(2), [simulation] { simulation->RestartEntry(1); });
  }
}

Figures Measure(const Run& run) {
  SimulationOptions options;
  options.entries = kEntries;
  options.endpoints = kEndpoints;
  options.engines_per_endpoint = kEnginesPerEndpoint;
  options.seed = FLAGS_seed;
  if (run.condition == "reports_late") options.report_lag = seconds(5);
  if (run.condition == "hints_lost") options.hint_loss = 0.5;
  Simulation simulation(options);
  simulation.Publish(ConfigOf(*run.deployment, run.policy));
  simulation.RunFor(seconds(1));
  ScheduleFault(&simulation, run.condition);
  std::vector<Arrival> arrivals =
      MakeArrivals(*run.deployment, run.load / 100.0, run.short_band_only);
  std::vector<size_t> band_of;
  for (size_t i = 0; i < arrivals.size(); ++i) {
    simulation.RunUntil(arrivals[i].at);
    // Callers use the other entry while theirs is down.
    size_t entry = i % kEntries;
    if (simulation.entry(entry) == nullptr) entry = 0;
    simulation.Submit(entry, MakeInput(*run.deployment, arrivals[i]));
    band_of.push_back(arrivals[i].band);
  }
  auto all_ended = [&] {
    return std::all_of(simulation.all_calls().begin(), simulation.all_calls().end(),
                       [](const Call& call) { return call.ended; });
  };
  while (!all_ended()) simulation.RunFor(seconds(5));

  Figures figures;
  for (size_t i = 0; i < simulation.all_calls().size(); ++i) {
    const Call& call = simulation.call(i);
    ++figures.sent;
    if (call.finished) ++figures.in_time;
    if (call.finished) {
      figures.first[band_of[i]].push_back(ToSeconds(call.first_token_at - call.submitted));
    }
    bool refused = !call.finished && !call.broken && call.failure.ran == Ran::kNo;
    if (!refused) continue;
    ++figures.refused;
    figures.refused_after += ToSeconds(call.ended_at - call.submitted);
  }
  double retries = 0;
  for (size_t e = 0; e < kEntries; ++e) {
    retries += static_cast<double>(simulation.entry(e)->counters().retries);
  }
  figures.retries = retries / static_cast<double>(std::max<size_t>(figures.sent, 1));
  figures.broken = simulation.CheckInvariants(false);
  return figures;
}

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return std::nan("");
  std::sort(values.begin(), values.end());
  auto index = static_cast<size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)));
  return values[index];
}

std::string Triple(const std::vector<double>& values) {
  if (values.empty()) return "-";
  char text[64];
  std::snprintf(text, sizeof(text), "%.2f / %.2f / %.2f", Percentile(values, 0.5),
                Percentile(values, 0.95), Percentile(values, 0.99));
  return text;
}

void PrintRow(const Run& run, const Figures& figures, double baseline_p95) {
  double p95 = Percentile(figures.first[0], 0.95);
  double refused_after =
      figures.refused == 0 ? 0 : figures.refused_after / static_cast<double>(figures.refused);
  std::printf("| %s | %d | %s | %s | %s | %s | %s | %s | %.2f | %.1f | %zu | %.3f | %.4f |%s\n",
              run.deployment->name.c_str(), run.load, run.condition.c_str(), run.policy.c_str(),
              Triple(figures.first[0]).c_str(), Triple(figures.first[1]).c_str(),
              Triple(figures.first[2]).c_str(), Triple(figures.first[3]).c_str(),
              p95 / baseline_p95,
              100.0 * static_cast<double>(figures.in_time) / static_cast<double>(figures.sent),
              figures.refused, refused_after, figures.retries,
              figures.broken.empty() ? "" : " PROMISE BROKEN");
  for (const std::string& what : figures.broken) std::printf("    %s\n", what.c_str());
  std::fflush(stdout);
}

std::vector<std::string> SplitList(const std::string& text) {
  return absl::StrSplit(text, ',', absl::SkipEmpty());
}

std::vector<Run> PlanRuns() {
  std::vector<Run> runs;
  for (const Deployment& deployment : Deployments()) {
    std::vector<std::string> wanted = SplitList(FLAGS_deployments);
    if (std::find(wanted.begin(), wanted.end(), deployment.name) == wanted.end()) continue;
    for (const std::string& load : SplitList(FLAGS_loads)) {
      // The short requests without the other bands: the baseline for their slowdown in the mix.
      runs.push_back({&deployment, std::stoi(load), "calm", "estimate", true});
      for (const std::string& condition : SplitList(FLAGS_conditions)) {
        for (const std::string& policy : SplitList(FLAGS_policies)) {
          runs.push_back({&deployment, std::stoi(load), condition, policy, false});
        }
      }
    }
  }
  return runs;
}

int RunAll() {
  std::vector<Run> runs = PlanRuns();
  std::vector<Figures> figures(runs.size());
  std::atomic<size_t> next{0};
  std::vector<std::thread> threads;
  for (int t = 0; t < FLAGS_threads; ++t) {
    threads.emplace_back([&] {
      for (size_t i = next++; i < runs.size(); i = next++) figures[i] = Measure(runs[i]);
    });
  }
  for (std::thread& thread : threads) thread.join();
  std::printf(
      "| deployment | load %% | condition | policy | short, first token s p50/p95/p99 | "
      "to 32k | to 200k | above | short slowdown | in time %% | refused | refused after s "
      "| retries a request |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  double baseline_p95 = 1;
  bool broken = false;
  for (size_t i = 0; i < runs.size(); ++i) {
    if (runs[i].short_band_only) {
      baseline_p95 = Percentile(figures[i].first[0], 0.95);
      continue;
    }
    PrintRow(runs[i], figures[i], baseline_p95);
    broken = broken || !figures[i].broken.empty();
  }
  return broken ? 1 : 0;
}

// Prints a table for the fleet sizes listed in the value of `flag`.
int RunTable(const std::string& flag, const std::string& sizes,
             const std::function<void(const TableOptions&)>& print) {
  std::optional<std::vector<size_t>> gateways = ReadSizes(flag, sizes);
  if (!gateways) return kUsageError;
  print({*gateways, FLAGS_engines_each, FLAGS_seed});
  return 0;
}

}  // namespace
}  // namespace gullward

int main(int argc, char** argv) {
  gullward::InitProcess("gullward-trial: measures routing policies", &argc, &argv);
  using gullward::RunTable;
  if (!FLAGS_scale.empty()) {
    return RunTable("scale", FLAGS_scale, gullward::PrintScaleTable);
  }
  if (!FLAGS_crashing.empty()) {
    return RunTable("crashing", FLAGS_crashing, [](const gullward::TableOptions& options) {
      gullward::PrintCrashTable(options, gullward::CrashConditions);
    });
  }
  if (!FLAGS_crashing_parts.empty()) {
    return RunTable("crashing_parts", FLAGS_crashing_parts,
                    [](const gullward::TableOptions& options) {
                      gullward::PrintCrashTable(options, gullward::PartCrashConditions);
                    });
  }
  if (!FLAGS_limited.empty()) {
    return RunTable("limited", FLAGS_limited, gullward::PrintLimitTable);
  }
  return gullward::RunAll();
}
