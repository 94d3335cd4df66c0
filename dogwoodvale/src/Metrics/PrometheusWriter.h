#ifndef DOGWOODVALE_METRICS_PROMETHEUSWRITER_H
#define DOGWOODVALE_METRICS_PROMETHEUSWRITER_H

#include <span>
#include <string>
#include <string_view>

#include "LatencyHistogram.h"

namespace dogwoodvale {

struct Label
{
  std::string_view name;
  std::string_view value;
};

enum class MetricType
{
  Counter,
  Gauge,
  Histogram,
};

/// Writes Prometheus' text form; names get the prefix "dogwoodvale_".
class PrometheusWriter
{
public:
  /// \param aSizeHint bytes to make room for, e.g. the last text's size.
  explicit PrometheusWriter(std::size_t aSizeHint = 0);

  /// Begins a family: what follows are its samples.
  void Family(std::string_view aName, std::string_view aHelp, MetricType aType);
  void Sample(std::span<const Label> aLabels, std::uint64_t aValue);
  void Sample(std::span<const Label> aLabels, double aValue);
  /// _bucket, _sum and _count, in seconds.
  void Sample(std::span<const Label> aLabels,
              const LatencyHistogram& aHistogram);

  /// A family of one sample.
  void Single(std::string_view aName,
              std::string_view aHelp,
              MetricType aType,
              double aValue);

  std::string Take() { return std::move(this->text); }

private:
  std::string text;
  std::string family;
};

/// Something that has metrics to show.
class MetricsSource
{
public:
  virtual ~MetricsSource() = default;
  virtual void WriteMetrics(PrometheusWriter& aWriter) const = 0;
};

} // namespace dogwoodvale

#endif
