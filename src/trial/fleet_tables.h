// The tables that `gullward-trial --scale`, `--crashing`, `--crashing_parts` and `--limited` print,
// with one or more rows for each fleet size.

#ifndef GULLWARD_TRIAL_FLEET_TABLES_H_
#define GULLWARD_TRIAL_FLEET_TABLES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "trial/crash_trial.h"
#include "trial/limit_trial.h"

namespace gullward {

// Parses a list of gateway counts such as "30,100,300", the value of --`flag`.  If a part is not
// a positive number, prints an error to standard error and returns nullopt.
std::optional<std::vector<size_t>> ReadSizes(const std::string& flag, const std::string& text);

struct TableOptions {
  // Fleet sizes, as numbers of gateways.
  std::vector<size_t> gateways;
  // Engines for each gateway.
  double engines_each = 10;
  uint64_t seed = 1;
};

// Prints the results of PlayScale, for each size once without and once with cells.
void PrintScaleTable(const TableOptions& options);

// A named set of faults and loads for a fleet in which requests crash engines.
struct CrashCondition {
  const char* name;
  CrashTrialOptions options;
};

// All conditions that the table and the test run, for a fleet of this size.
std::vector<CrashCondition> CrashConditions(size_t gateways, size_t engines);

// The same for requests that differ in content and share a part that crashes engines.
std::vector<CrashCondition> PartCrashConditions(size_t gateways, size_t engines);

// Prints the results of PlayCrashes, for each condition without and with the quarantine.
using CrashConditionsOf =
    std::function<std::vector<CrashCondition>(size_t gateways, size_t engines)>;
void PrintCrashTable(const TableOptions& options, const CrashConditionsOf& conditions);

// A named set of faults and loads for a fleet with engines that state a limit.
struct LimitCondition {
  const char* name;
  LimitTrialOptions options;
};

// All conditions that the table and the test run, for a fleet of this size.
std::vector<LimitCondition> LimitConditions(size_t gateways, size_t engines);

// Prints the results of PlayLimits, for each condition without and with engine notices.
void PrintLimitTable(const TableOptions& options);

}  // namespace gullward

#endif  // GULLWARD_TRIAL_FLEET_TABLES_H_
