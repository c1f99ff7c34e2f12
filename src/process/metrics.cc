// metrics.h tells what for.

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

std::string MetricsText::Serialize() const {
  return prometheus::TextSerializer().Serialize(this->families);
}

}  // namespace gullward
