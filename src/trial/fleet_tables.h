// The tables that `gullward-trial --scale`, `--crashing` and `--limited` print: one row or more
// for each size of a fleet.

#ifndef GULLWARD_TRIAL_FLEET_TABLES_H_
#define GULLWARD_TRIAL_FLEET_TABLES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "trial/crash_trial.h"
#include "trial/limit_trial.h"

namespace gullward {

// Reads "30,100,300"; nothing, and a line on standard error, if a part is no number of
// gateways.
std::optional<std::vector<size_t>> ReadSizes(const std::string& flag, const std::string& text);

struct TableOptions {
  std::vector<size_t> gateways;
  double engines_each = 10;
  uint64_t seed = 1;
};

// Undivided and in cells.
void PrintScaleTable(const TableOptions& options);

// What befalls a fleet in which requests end engines.
struct CrashCondition {
  const char* name;
  CrashTrialOptions options;
};

// Every condition that the table and the test play, for a fleet of that size.
std::vector<CrashCondition> CrashConditions(size_t gateways, size_t engines);

void PrintCrashTable(const TableOptions& options);

// What befalls a fleet with engines in need.
struct LimitCondition {
  const char* name;
  LimitTrialOptions options;
};

// Every condition that the table and the test play, for a fleet of that size.
std::vector<LimitCondition> LimitConditions(size_t gateways, size_t engines);

void PrintLimitTable(const TableOptions& options);

}  // namespace gullward

#endif  // GULLWARD_TRIAL_FLEET_TABLES_H_
