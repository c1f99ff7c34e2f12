// gullward-endpoint: runs requests on a box's engines, or calls its plain service.

#include "endpoint/endpoint_server.h"
#include "endpoint/settings.h"
#include "process/process.h"

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("gullward-endpoint --settings FILE: runs work on a box's engines", &argc, &argv);
  std::vector<ConfigError> errors;
  std::string file;
  std::optional<toml::table> table = LoadSettings(&errors, &file);
  EndpointSettings settings;
  if (table) settings = ReadEndpointSettings(*table, file, &errors);
  FinishSettings(errors);

  return RunServer<EndpointServer>(settings);
}
