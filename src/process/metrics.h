// Metrics in Prometheus's text format, by prometheus-cpp.
//
// The decision cores keep plain counters; a process's shell copies them into a
// registry when it is asked, so that the cores know nothing of metrics.
//
//   MetricsText text;
//   text.Counter("gullward_requests_total", "Requests admitted", {}, counters.admitted);
//   return text.Serialize();

#ifndef GULLWARD_PROCESS_METRICS_H_
#define GULLWARD_PROCESS_METRICS_H_

#include <prometheus/metric_family.h>

#include <map>
#include <string>
#include <vector>

#include "process/histogram.h"

namespace gullward {

class MetricsText {
 public:
  using MetricLabels = std::map<std::string, std::string>;

  // A number that only rises, and one that goes both ways.
  void Counter(const std::string& name, const std::string& help, const MetricLabels& labels,
               double value);
  void Gauge(const std::string& name, const std::string& help, const MetricLabels& labels,
             double value);

  void Histogram(const std::string& name, const std::string& help, const MetricLabels& labels,
                 const LatencyHistogram& histogram);

  // The page.
  std::string Serialize() const;

 private:
  prometheus::ClientMetric& Add(const std::string& name, const std::string& help,
                                prometheus::MetricType type, const MetricLabels& labels);

  std::vector<prometheus::MetricFamily> families;
};

}  // namespace gullward

#endif  // GULLWARD_PROCESS_METRICS_H_
