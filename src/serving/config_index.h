// Adds the look-ups that each request needs to a ServingConfig.  Built once for each version.
//
//   ConfigIndex index(config);
//   const Route* route = index.FindRoute(host, path);
//   const ClientAccount* account = index.FindAccount(api_key);
//   std::optional<RequestRank> rank = index.RankOf(*route, account->priority, service);

#ifndef GULLWARD_SERVING_CONFIG_INDEX_H_
#define GULLWARD_SERVING_CONFIG_INDEX_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "overload/ranks.h"
#include "serving/serving_config.h"

namespace gullward {

// A rank in the configuration that is out of range.  It counts as not stated.
struct InvalidRank {
  // The name of the route or of the account.
  std::string name;
  int rank = 0;

  bool operator==(const InvalidRank&) const = default;
};

class ConfigIndex {
 public:
  explicit ConfigIndex(ServingConfig published);
  ConfigIndex(const ConfigIndex&) = delete;
  ConfigIndex& operator=(const ConfigIndex&) = delete;

  const ServingConfig& config() const { return this->published; }

  // The route of the host with the longest path prefix that `path` begins with, or null.
  // `host` may have a port and is compared without regard to case; `path` has no query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // The account that has the key, or null.
  const ClientAccount* FindAccount(std::string_view api_key) const;

  // The service of that name, or null.
  const Service* FindService(const std::string& name) const;

  // The rank of a request; empty if all requests to the service have the same.  The rank is that of
  // the account, or that of the route if `account_priority` is kUnstatedRank.
  std::optional<RequestRank> RankOf(const Route& route, int account_priority,
                                    const std::string& service) const;

  const std::vector<InvalidRank>& invalid_ranks() const { return this->ranks_invalid; }

 private:
  void DropInvalidRanks();
  void IndexRanks();

  ServingConfig published;
  // The maps hold indices into the vectors of `published`.  The key of a route is its host name
  // followed by its path prefix.
  std::unordered_map<std::string, size_t> route_by_prefix;
  std::unordered_map<std::string, size_t> account_by_key;
  std::unordered_map<std::string, size_t> service_by_name;
  std::unordered_map<std::string, RankRange> ranks_by_service;
  std::vector<InvalidRank> ranks_invalid;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_CONFIG_INDEX_H_
