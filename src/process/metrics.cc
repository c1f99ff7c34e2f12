// Collects samples as prometheus-cpp's MetricFamily structs, one for each metric name.

#include "process/metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>

namespace gullward {

prometheus::ClientMetric& MetricsText::Add(const std::string& name, const std::string& help,
                                           prometheus::MetricType type,
                                           const MetricLabels& labels) {
  auto found = std::find_if(this->families.begin(), this->families.end(),
                            [&](const auto& family) { return family.name == name; });
  if (found == this->families.end()) {
    this->families.push_back({name, help, type, {}});
    found = std::prev(this->families.end());
  }
  prometheus::ClientMetric metric;
  for (const auto& [label, value] : labels) metric.label.push_back({label, value});
  found->metric.push_back(std::move(metric));
  return found->metric.back();
}

void MetricsText::Counter(const std::string& name, const std::string& help,
                          const MetricLabels& labels, double value) {
  this->Add(name, help, prometheus::MetricType::Counter, labels).counter.value = value;
}

void MetricsText::Gauge(const std::string& name, const std::string& help,
                        const MetricLabels& labels, double value) {
  this->Add(name, help, prometheus::MetricType::Gauge, labels).gauge.value = value;
}

void MetricsText::Histogram(const std::string& name, const std::string& help,
                            const MetricLabels& labels, const LatencyHistogram& histogram) {
  prometheus::ClientMetric& metric =
      this->Add(name, help, prometheus::MetricType::Histogram, labels);
  metric.histogram.sample_count = histogram.count();
  metric.histogram.sample_sum = histogram.sum_seconds();
  for (size_t i = 0; i < LatencyHistogram::kBounds.size(); ++i) {
    prometheus::ClientMetric::Bucket bucket;
    bucket.upper_bound = LatencyHistogram::kBounds[i];
    bucket.cumulative_count = histogram.CumulativeCount(i);
    metric.histogram.bucket.push_back(bucket);
  }
}

std::string MetricsText::Serialize() const {
  return prometheus::TextSerializer().Serialize(this->families);
}

}  // namespace gullward
