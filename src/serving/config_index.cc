// Path prefixes begin and end with a slash, so the longest matching one is found by a hash look-up
// at each slash of the path, starting from its end.

#include "serving/config_index.h"

#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "base/absl_view.h"

namespace gullward {
namespace {

std::string HostName(std::string_view host) {
  return absl::AsciiStrToLower(AbslView(host.substr(0, host.find(':'))));
}

int EffectiveRank(const Route& route, int account_rank) {
  return account_rank == kUnstatedRank ? route.priority : account_rank;
}

std::string PrefixKey(const std::string& host_name, std::string_view prefix) {
  return host_name + std::string(prefix);
}

}  // namespace

ConfigIndex::ConfigIndex(ServingConfig config) : published(std::move(config)) {
  for (size_t i = 0; i < this->published.routes.size(); ++i) {
    const Route& route = this->published.routes[i];
    this->route_by_prefix[PrefixKey(HostName(route.host), route.path_prefix)] = i;
  }
  for (size_t i = 0; i < this->published.accounts.size(); ++i) {
    for (const std::string& key : this->published.accounts[i].api_keys) {
      this->account_by_key[key] = i;
    }
  }
  for (size_t i = 0; i < this->published.services.size(); ++i) {
    this->service_by_name[this->published.services[i].name] = i;
  }
  this->DropInvalidRanks();
  this->IndexRanks();
}

void ConfigIndex::DropInvalidRanks() {
  for (Route& route : this->published.routes) {
    if (IsRank(route.priority)) continue;
    this->ranks_invalid.push_back({route.name, route.priority});
    route.priority = Route{}.priority;
  }
  for (ClientAccount& account : this->published.accounts) {
    if (account.priority == kUnstatedRank || IsRank(account.priority)) continue;
    this->ranks_invalid.push_back({account.name, account.priority});
    account.priority = kUnstatedRank;
  }
}

// Adds, for each service, the ranks that requests by its routes can have.
void ConfigIndex::IndexRanks() {
  std::set<int> account_ranks;
  for (const ClientAccount& account : this->published.accounts) {
    account_ranks.insert(account.priority);
  }
  for (const Route& route : this->published.routes) {
    bool needs_account = !account_ranks.empty() && !route.is_public;
    const std::set<int> without_account = {kUnstatedRank};
    for (const ServiceShare& share : route.services) {
      if (share.weight <= 0) continue;
      for (int account_rank : needs_account ? account_ranks : without_account) {
        this->ranks_by_service[share.service].Add(EffectiveRank(route, account_rank));
      }
    }
  }
}

const Route* ConfigIndex::FindRoute(std::string_view host, std::string_view path) const {
  std::string host_name = HostName(host);
  size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    auto found = this->route_by_prefix.find(PrefixKey(host_name, path.substr(0, end + 1)));
    if (found != this->route_by_prefix.end()) return &this->published.routes[found->second];
    if (end == 0) break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const ClientAccount* ConfigIndex::FindAccount(std::string_view api_key) const {
  auto found = this->account_by_key.find(std::string(api_key));
  return found == this->account_by_key.end() ? nullptr : &this->published.accounts[found->second];
}

const Service* ConfigIndex::FindService(const std::string& name) const {
  auto found = this->service_by_name.find(name);
  return found == this->service_by_name.end() ? nullptr : &this->published.services[found->second];
}

std::optional<RequestRank> ConfigIndex::RankOf(const Route& route, int account_priority,
                                               const std::string& service) const {
  auto found = this->ranks_by_service.find(service);
  if (found == this->ranks_by_service.end()) return std::nullopt;
  return found->second.Find(EffectiveRank(route, account_priority));
}

}  // namespace gullward
