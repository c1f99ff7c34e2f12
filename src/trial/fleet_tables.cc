// Conditions of the trials and the printing of their tables.

#include "trial/fleet_tables.h"

#include <cstdio>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "trial/scale_trial.h"

namespace gullward {
namespace {

size_t EnginesFor(const TableOptions& options, size_t gateways) {
  return static_cast<size_t>(options.engines_each * static_cast<double>(gateways));
}

CrashTrialOptions Calm(size_t gateways, size_t engines) {
  CrashTrialOptions calm;
  calm.gateways = gateways;
  calm.engines = engines;
  // Occupies three of an engine's sixteen slots on average.
  calm.harmless_per_s = 2.0 * static_cast<double>(engines);
  return calm;
}

unsigned long Printable(uint64_t count) { return static_cast<unsigned long>(count); }

}  // namespace

std::optional<std::vector<size_t>> ReadSizes(const std::string& flag, const std::string& text) {
  std::vector<size_t> sizes;
  std::vector<std::string> parts = absl::StrSplit(text, ',');
  for (const std::string& part : parts) {
    size_t gateways = 0;
    if (!absl::SimpleAtoi(part, &gateways) || gateways == 0) {
      std::fprintf(stderr, "--%s: \"%s\" is not a positive number of gateways\n", flag.c_str(),
                   part.c_str());
      return std::nullopt;
    }
    sizes.push_back(gateways);
  }
  return sizes;
}

void PrintScaleTable(const TableOptions& options) {
  std::printf(
      "| gateways | cells | requests | candidates | datagrams/s | KB/s | words | "
      "busiest/mean | found full |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- "
      "|\n");
  for (size_t gateways : options.gateways) {
    for (bool cells : {false, true}) {
      ScaleOptions trial;
      trial.gateways = gateways;
      trial.engines = EnginesFor(options, gateways);
      trial.seed = options.seed;
      trial.mechanisms.cells = cells;
      ScaleResult result = PlayScale(trial);
      std::printf("| %zu | %s | %lu | %.1f | %.0f | %.1f | %zu | %.2f | %.4f |\n", gateways,
                  cells ? "yes" : "no", Printable(result.requests), result.candidates,
                  result.datagrams_per_s, result.bytes_per_s / 1000, result.peer_loads_kept,
                  result.busiest_to_mean, result.found_full);
    }
  }
}

std::vector<CrashCondition> CrashConditions(size_t gateways, size_t engines) {
  CrashTrialOptions calm = Calm(gateways, engines);
  CrashTrialOptions seldom = calm;
  seldom.crashing_per_s = 0.4;
  CrashTrialOptions often = calm;
  often.crashing_per_s = 20;
  CrashTrialOptions several = calm;
  several.crashing_contents = 4;
  CrashTrialOptions many = calm;
  many.crashing_contents = 40;
  many.crashing_per_s = 0.5;
  CrashTrialOptions killed = calm;
  killed.kill_interval = seconds(2);
  CrashTrialOptions all_killed = calm;
  all_killed.kill_all_interval = seconds(8);
  CrashTrialOptions all_killed_seldom = seldom;
  all_killed_seldom.kill_all_interval = seconds(8);
  CrashTrialOptions cut = calm;
  cut.partition_interval = seconds(2);
  CrashTrialOptions suspended = calm;
  suspended.suspend_interval = seconds(2);
  CrashTrialOptions racks = calm;
  racks.rack_crash_interval = seconds(7);
  CrashTrialOptions racks_alone = racks;
  racks_alone.crashing_contents = 0;
  racks_alone.hot_share = 0.3;
  CrashTrialOptions hot = calm;
  hot.hot_share = 0.3;
  return {{"calm", calm},
          {"seldom", seldom},
          {"often", often},
          {"several", several},
          {"many", many},
          {"killed", killed},
          {"all killed", all_killed},
          {"all killed, seldom", all_killed_seldom},
          {"cut", cut},
          {"suspended", suspended},
          {"racks too", racks},
          {"hot", hot},
          {"racks alone", racks_alone}};
}

std::vector<CrashCondition> PartCrashConditions(size_t gateways, size_t engines) {
  std::vector<CrashCondition> conditions;
  for (CrashCondition condition : CrashConditions(gateways, engines)) {
    CrashTrialOptions& options = condition.options;
    // With forty parts at once no engine stays up long enough to answer anything.
    constexpr size_t kMaxParts = 4;
    if (options.crashing_contents == 0 || options.crashing_contents > kMaxParts) continue;
    options.crashing_parts = std::exchange(options.crashing_contents, 0);
    options.crashing_part_per_s = options.crashing_per_s;
    options.shared_parts = 60;
    conditions.push_back(condition);
  }
  CrashTrialOptions one_first_part = conditions.front().options;
  one_first_part.one_first_part = true;
  CrashTrialOptions few_parts = one_first_part;
  few_parts.shared_parts = 2;
  CrashTrialOptions lossy = conditions.front().options;
  lossy.datagram_loss = 0.3;
  conditions.push_back({"one first part", one_first_part});
  conditions.push_back({"two first parts", few_parts});
  conditions.push_back({"datagrams lost", lossy});
  return conditions;
}

std::vector<LimitCondition> LimitConditions(size_t gateways, size_t engines) {
  LimitTrialOptions calm;
  calm.gateways = gateways;
  calm.engines = engines;
  LimitTrialOptions low = calm;
  low.limit_per_s = 0.5;
  LimitTrialOptions none = calm;
  none.limit_per_s = 0;
  LimitTrialOptions high = calm;
  high.limit_per_s = 20;
  LimitTrialOptions all_limited = calm;
  all_limited.limited_share = 1;
  LimitTrialOptions busy = all_limited;
  busy.requests_per_s = 40;
  LimitTrialOptions killed = busy;
  killed.kill_interval = seconds(2);
  LimitTrialOptions all_killed = busy;
  all_killed.kill_all_interval = seconds(12);
  LimitTrialOptions cut = busy;
  cut.partition_interval = seconds(2);
  LimitTrialOptions long_cut = busy;
  long_cut.partition_interval = seconds(4);
  long_cut.fault_duration = seconds(9);
  LimitTrialOptions suspended = busy;
  suspended.suspend_interval = seconds(2);
  LimitTrialOptions added = busy;
  added.added = gateways / 2;
  LimitTrialOptions lossy = busy;
  lossy.datagram_loss = 0.3;
  return {{"calm", calm},
          {"low limit", low},
          {"limit of zero", none},
          {"high limit", high},
          {"all engines", all_limited},
          {"all, busy", busy},
          {"killed", killed},
          {"all killed", all_killed},
          {"cut", cut},
          {"cut for long", long_cut},
          {"suspended", suspended},
          {"added", added},
          {"datagrams lost", lossy}};
}

void PrintLimitTable(const TableOptions& options) {
  std::printf(
      "| gateways | engines | condition | followed | requests | refused | most of allowed | "
      "limit used | lifted after ms | datagrams/s | B/s |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (size_t gateways : options.gateways) {
    size_t engines = EnginesFor(options, gateways);
    for (const LimitCondition& condition : LimitConditions(gateways, engines)) {
      for (bool followed : {false, true}) {
        LimitTrialOptions trial = condition.options;
        trial.engine_notices = followed;
        trial.seed = options.seed;
        LimitTrialResult result = PlayLimits(trial);
        std::printf("| %zu | %zu | %s | %s | %lu | %lu | %.2f | %.2f | %.0f | %.1f | %.0f |\n",
                    gateways, engines, condition.name, followed ? "yes" : "no",
                    Printable(result.requests), Printable(result.refused), result.max_of_allowed,
                    result.limit_used, result.lifted_after_ms, result.datagrams_per_s,
                    result.bytes_per_s);
        std::fflush(stdout);
      }
    }
  }
}

void PrintCrashTable(const TableOptions& options, const CrashConditionsOf& conditions) {
  std::printf(
      "| gateways | engines | condition | remembered | deadly | engines ended | sent after | "
      "known to all ms | innocent | served | refused | quarantined | datagrams | KB |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (size_t gateways : options.gateways) {
    size_t engines = EnginesFor(options, gateways);
    for (const CrashCondition& condition : conditions(gateways, engines)) {
      for (bool quarantine : {false, true}) {
        CrashTrialOptions trial = condition.options;
        trial.quarantine = quarantine;
        trial.seed = options.seed;
        CrashTrialResult result = PlayCrashes(trial);
        std::printf(
            "| %zu | %zu | %s | %s | %lu | %lu | %lu | %.0f | %lu | %lu | %lu | %lu | %.0f "
            "| %.1f |\n",
            gateways, engines, condition.name, quarantine ? "yes" : "no",
            Printable(result.crashing_requests), Printable(result.engines_crashed),
            Printable(result.max_sent_after), result.quarantined_everywhere_ms,
            Printable(result.harmless_requests), Printable(result.harmless_served),
            Printable(result.harmless_refused), Printable(result.harmless_quarantined),
            result.datagrams_per_gateway, result.bytes_per_gateway / 1000);
      }
    }
  }
}

}  // namespace gullward
