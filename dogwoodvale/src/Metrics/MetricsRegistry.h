#ifndef DOGWOODVALE_METRICS_METRICSREGISTRY_H
#define DOGWOODVALE_METRICS_METRICSREGISTRY_H

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "PrometheusWriter.h"

namespace dogwoodvale {

struct NoLabels
{
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14's false finding.
  auto operator<=>(const NoLabels&) const = default;
  std::array<Label, 0> Pairs() const { return {}; }
};

struct ReasonLabels
{
  std::string reason;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14's false finding.
  auto operator<=>(const ReasonLabels&) const = default;
  std::array<Label, 1> Pairs() const
  {
    return { Label{ "reason", this->reason } };
  }
};

struct InstanceLabels
{
  InstanceName instance;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14's false finding.
  auto operator<=>(const InstanceLabels&) const = default;
  std::array<Label, 1> Pairs() const
  {
    return { Label{ "instance", this->instance.Value() } };
  }
};

/// Counters or gauges of one name, one for each value of its labels.
///
/// \tparam Value std::uint64_t for counters, double for gauges.
/// \tparam Labels an ordered type whose Pairs() gives an array of Label.
template<class Value, class Labels>
class MetricFamily final : public MetricsSource
{
public:
  /// Label values beyond the bound share the series of Labels{}.
  static constexpr std::size_t kMaxSeries = 1024;

  MetricFamily(std::string aName, std::string aHelp, MetricType aType)
    : name(std::move(aName))
    , help(std::move(aHelp))
    , type(aType)
  {
  }

  /// Stays valid until Remove() of the same labels.
  Value& At(const Labels& aLabels = {})
  {
    const auto found = this->series.find(aLabels);
    if (found != this->series.end()) {
      return found->second;
    }
    return this->series[this->series.size() < kMaxSeries ? aLabels : Labels{}];
  }

  /// Drops a series whose subject is gone, e.g. an instance.
  void Remove(const Labels& aLabels) { this->series.erase(aLabels); }

  void WriteMetrics(PrometheusWriter& aWriter) const override
  {
    aWriter.Family(this->name, this->help, this->type);
    for (const auto& [labels, value] : this->series) {
      aWriter.Sample(labels.Pairs(), value);
    }
  }

private:
  std::string name;
  std::string help;
  MetricType type;
  std::map<Labels, Value> series;
};

template<class Labels>
using CounterFamily = MetricFamily<std::uint64_t, Labels>;
template<class Labels>
using GaugeFamily = MetricFamily<double, Labels>;

/// Everything that a process shows at /metrics.
class MetricsRegistry
{
public:
  /// The family lives as long as the registry. \param aName without prefix.
  template<class Labels = NoLabels>
  CounterFamily<Labels>& AddCounter(std::string aName, std::string aHelp)
  {
    return this->Own(std::make_unique<CounterFamily<Labels>>(
      std::move(aName), std::move(aHelp), MetricType::Counter));
  }

  template<class Labels = NoLabels>
  GaugeFamily<Labels>& AddGauge(std::string aName, std::string aHelp)
  {
    return this->Own(std::make_unique<GaugeFamily<Labels>>(
      std::move(aName), std::move(aHelp), MetricType::Gauge));
  }

  /// Shows what another object counts; it must outlive the registry.
  void AddSource(const MetricsSource& aSource)
  {
    this->sources.push_back(&aSource);
  }

  /// Prometheus text form 0.0.4.
  std::string Render() const;

private:
  template<class Family>
  Family& Own(std::unique_ptr<Family> aFamily)
  {
    Family& family = *aFamily;
    this->sources.push_back(&family);
    this->owned.push_back(std::move(aFamily));
    return family;
  }

  std::vector<std::unique_ptr<MetricsSource>> owned;
  std::vector<const MetricsSource*> sources;
  mutable std::size_t lastSize = 0;
};

} // namespace dogwoodvale

#endif
