// The gateway server's handling of the operator's topic: the configuration, and the evacuations
// of data centres.

#include <utility>

#include "base/absl_view.h"
#include "gateway/gateway_server.h"
#include "platform/documents.h"
#include "platform/operator_records.h"

namespace gullward {
namespace {

// Limit for a key in a log line.
constexpr size_t kMaxLoggedBytes = 80;

std::map<std::string, double> ColdRates(const ServingConfig& config) {
  std::map<std::string, double> rates;
  for (const Service& service : config.services) {
    if (service.cold_per_s > 0) rates[service.name] = service.cold_per_s;
  }
  return rates;
}

}  // namespace

void GatewayServer::OnConfigRecord(const platform::KeyedRecord& record) {
  if (record.key != platform::kConfigKey || record.value.empty()) return;
  absl::StatusOr<ServingConfig> config = platform::DecodeConfig(record.value);
  if (!config.ok()) {
    this->log.Write(LogLine("config_invalid").Text("reason", StdView(config.status().message())));
    return;
  }
  // Never replaces a version by an older one, which a slow read may still return.
  if (this->state.config && config->version <= this->ConfigVersion()) return;
  this->log.Write(LogLine("config")
                      .Number("version", static_cast<double>(config->version))
                      .Number("routes", static_cast<double>(config->routes.size()))
                      .Number("accounts", static_cast<double>(config->accounts.size())));
  this->state.fleet.SetColdRates(ColdRates(*config));
  this->state.config = std::make_shared<const ConfigIndex>(*std::move(config));
  this->LogInvalidRanks();
  auto is_unlisted = [this](const auto& entry) {
    return this->state.config->FindService(entry.first) == nullptr;
  };
  std::erase_if(this->state.rank_losses, is_unlisted);
  std::erase_if(this->state.account_shares, is_unlisted);
  this->state.config_record = std::make_shared<const std::string>(record.value);
}

// Logs the first rank that is out of range, and how many there are.
void GatewayServer::LogInvalidRanks() {
  const std::vector<InvalidRank>& invalid = this->state.config->invalid_ranks();
  if (invalid.empty()) return;
  const ResultCodeInfo& info = Info(ResultCode::kRankOutOfRange);
  this->log.Write(
      LogLine(info.name)
          .Number("code", static_cast<double>(info.code))
          .Number("version", static_cast<double>(this->ConfigVersion()))
          .Number("ranks", static_cast<double>(invalid.size()))
          .Text("name", std::string_view(invalid.front().name).substr(0, kMaxLoggedBytes))
          .Number("rank", invalid.front().rank));
}

// Returns the data centre that the record evacuates, or nothing.  A key that cannot be decoded is
// counted and logged.
std::optional<std::string> GatewayServer::ReadEvacuation(const platform::KeyedRecord& record) {
  absl::StatusOr<std::optional<std::string>> data_centre =
      platform::EvacuatedDataCentre(record.key);
  if (data_centre.ok()) return *std::move(data_centre);
  this->state.counters.operator_records_unreadable += 1;
  const ResultCodeInfo& info = Info(ResultCode::kOperatorRecordUnreadable);
  this->log.Write(LogLine(info.name)
                      .Number("code", static_cast<double>(info.code))
                      .Text("key", std::string_view(record.key).substr(0, kMaxLoggedBytes))
                      .Text("reason", StdView(data_centre.status().message())));
  return std::nullopt;
}

void GatewayServer::OnOperatorRecords(const std::vector<platform::KeyedRecord>& records) {
  std::set<std::string> listed;
  for (const platform::KeyedRecord& record : records) {
    this->OnConfigRecord(record);
    std::optional<std::string> data_centre = this->ReadEvacuation(record);
    if (data_centre) listed.insert(*std::move(data_centre));
  }
  const StoreEpoch& epoch = this->store_recovery.returns().epoch();
  this->evacuations.Replace(listed, epoch.settled_at(), this->config_follower.state().proved());
  this->ApplyEvacuations();
}

void GatewayServer::OnOperatorRecord(const platform::KeyedRecord& record) {
  this->OnConfigRecord(record);
  std::optional<std::string> data_centre = this->ReadEvacuation(record);
  if (!data_centre) return;
  bool is_removal = record.value.empty();
  if (is_removal) {
    this->evacuations.End(*data_centre);
  } else {
    this->evacuations.Begin(*data_centre);
  }
  this->ApplyEvacuations();
}

// Hands the evacuated data centres to the fleet, and logs the changes.  An evacuated data centre
// without engines may be a mistake of the operator, so the line states their number.
void GatewayServer::ApplyEvacuations() {
  Time proved = this->config_follower.state().proved();
  std::set<std::string> current = this->evacuations.DataCentres(proved);
  if (current == this->evacuated) return;
  EngineDirectory& directory = this->state.fleet.directory();
  auto log_change = [&](const std::string& data_centre, const char* change) {
    this->log.Write(LogLine(change)
                        .Text("data_centre", data_centre)
                        .Number("engines", static_cast<double>(directory.CountIn(data_centre))));
  };
  for (const std::string& data_centre : current) {
    if (this->evacuated.count(data_centre) == 0) log_change(data_centre, "evacuation_begun");
  }
  for (const std::string& data_centre : this->evacuated) {
    if (current.count(data_centre) == 0) log_change(data_centre, "evacuation_ended");
  }
  this->evacuated = std::move(current);
  if (this->state.fleet.mechanisms().evacuation) directory.SetEvacuated(this->evacuated);
}

}  // namespace gullward
