#include "MetricsRegistry.h"

namespace dogwoodvale {

std::string
MetricsRegistry::Render() const
{
  PrometheusWriter writer(this->lastSize);
  for (const MetricsSource* source : this->sources) {
    source->WriteMetrics(writer);
  }
  std::string text = writer.Take();
  this->lastSize = text.size();
  return text;
}

} // namespace dogwoodvale
