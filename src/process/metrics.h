// Formats metrics in Prometheus's text format, with prometheus-cpp.
//
// The decision cores keep plain counters and do not depend on a metrics library.  When the
// metrics are requested, the process's shell copies the counters into a MetricsText.
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

  // Add a sample of a counter, which only increases, or of a gauge, which may also decrease.
  // Samples with the same name belong to one metric; `help` is taken from the first one.
  void Counter(const std::string& name, const std::string& help, const MetricLabels& labels,
               double value);
  void Gauge(const std::string& name, const std::string& help, const MetricLabels& labels,
             double value);

  // Adds a sample of a histogram.
  void Histogram(const std::string& name, const std::string& help, const MetricLabels& labels,
                 const LatencyHistogram& histogram);

  // The metrics page with all samples added so far.
  std::string Serialize() const;

 private:
  prometheus::ClientMetric& Add(const std::string& name, const std::string& help,
                                prometheus::MetricType type, const MetricLabels& labels);

  std::vector<prometheus::MetricFamily> families;
};

}  // namespace gullward

#endif  // GULLWARD_PROCESS_METRICS_H_
