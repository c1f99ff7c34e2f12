// Adds the look-ups that each request needs to a ServingConfig.  Built once for each version.
//
//   ConfigIndex index(config);
//   const Route* route = index.FindRoute(host, path);
//   const ClientAccount* account = index.FindAccount(api_key);

#ifndef GULLWARD_SERVING_CONFIG_INDEX_H_
#define GULLWARD_SERVING_CONFIG_INDEX_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "serving/serving_config.h"

namespace gullward {

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

 private:
  ServingConfig published;
  // The maps hold indices into the vectors of `published`.  The key of a route is its host name
  // followed by its path prefix.
  std::unordered_map<std::string, size_t> route_by_prefix;
  std::unordered_map<std::string, size_t> account_by_key;
  std::unordered_map<std::string, size_t> service_by_name;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_CONFIG_INDEX_H_
