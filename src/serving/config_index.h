// A ServingConfig with the look-ups that each request needs, built once a version.
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

  // The route of that host whose prefix begins `path` and is longest, or null.
  // `host` may carry a port and any case; `path` is without a query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // The account that holds the key, or null.
  const ClientAccount* FindAccount(std::string_view api_key) const;

  const Service* FindService(const std::string& name) const;

 private:
  ServingConfig published;
  // Host and prefix, joined, to the route's place.
  std::unordered_map<std::string, size_t> route_by_prefix;
  std::unordered_map<std::string, size_t> account_by_key;
  std::unordered_map<std::string, size_t> service_by_name;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_CONFIG_INDEX_H_
