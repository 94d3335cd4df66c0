#include "PrometheusWriter.h"

#include <array>
#include <iterator>

namespace dogwoodvale {

namespace {

constexpr std::string_view kPrefix = "dogwoodvale_";

std::string_view
TypeName(MetricType aType)
{
  switch (aType) {
    case MetricType::Counter:
      return "counter";
    case MetricType::Gauge:
      return "gauge";
    case MetricType::Histogram:
      return "histogram";
  }
  return "untyped";
}

void
AppendEscaped(std::string& aOut, std::string_view aText, bool aQuotes)
{
  for (const char c : aText) {
    if (c == '\\') {
      aOut += "\\\\";
    } else if (c == '\n') {
      aOut += "\\n";
    } else if (c == '"' && aQuotes) {
      aOut += "\\\"";
    } else {
      aOut += c;
    }
  }
}

/// The labels, as name="value" pairs with commas between.
std::string
LabelText(std::span<const Label> aLabels)
{
  std::string text;
  for (const Label& label : aLabels) {
    text += text.empty() ? "" : ",";
    text += label.name;
    text += "=\"";
    AppendEscaped(text, label.value, true);
    text += '"';
  }
  return text;
}

/// The bucket edges as text; they are the same for every histogram.
const std::array<std::string, LatencyHistogram::kBuckets + 1>&
EdgeTexts()
{
  static const auto texts = [] {
    std::array<std::string, LatencyHistogram::kBuckets + 1> made;
    std::size_t next = 0;
    LatencyHistogram().ForEachBucket([&](double aEdge, std::uint64_t) {
      made.at(next++) = fmt::format("{:.4g}", aEdge);
    });
    return made;
  }();
  return texts;
}

} // namespace

PrometheusWriter::PrometheusWriter(std::size_t aSizeHint)
{
  this->text.reserve(aSizeHint);
}

void
PrometheusWriter::Family(std::string_view aName,
                         std::string_view aHelp,
                         MetricType aType)
{
  this->family.assign(kPrefix).append(aName);
  this->text.append("# HELP ").append(this->family).append(" ");
  AppendEscaped(this->text, aHelp, false);
  fmt::format_to(std::back_inserter(this->text),
                 "\n# TYPE {} {}\n",
                 this->family,
                 TypeName(aType));
}

void
PrometheusWriter::Sample(std::span<const Label> aLabels, std::uint64_t aValue)
{
  this->text += this->family;
  if (!aLabels.empty()) {
    this->text.append("{").append(LabelText(aLabels)).append("}");
  }
  fmt::format_to(std::back_inserter(this->text), " {}\n", aValue);
}

void
PrometheusWriter::Sample(std::span<const Label> aLabels, double aValue)
{
  this->text += this->family;
  if (!aLabels.empty()) {
    this->text.append("{").append(LabelText(aLabels)).append("}");
  }
  fmt::format_to(std::back_inserter(this->text), " {}\n", aValue);
}

void
PrometheusWriter::Sample(std::span<const Label> aLabels,
                         const LatencyHistogram& aHistogram)
{
  const std::string labels = LabelText(aLabels);
  const std::string_view comma = labels.empty() ? "" : ",";
  const auto out = std::back_inserter(this->text);
  const std::string start =
    fmt::format("{}_bucket{{{}{}le=\"", this->family, labels, comma);
  std::size_t next = 0;
  aHistogram.ForEachBucket([&](double, std::uint64_t aCount) {
    this->text.append(start).append(EdgeTexts().at(next++));
    fmt::format_to(out, "\"}} {}\n", aCount);
  });
  fmt::format_to(out, "{}+Inf\"}} {}\n", start, aHistogram.Count());
  const std::string braced =
    labels.empty() ? "" : fmt::format("{{{}}}", labels);
  fmt::format_to(
    out, "{}_sum{} {}\n", this->family, braced, aHistogram.SumSeconds());
  fmt::format_to(
    out, "{}_count{} {}\n", this->family, braced, aHistogram.Count());
}

void
PrometheusWriter::Single(std::string_view aName,
                         std::string_view aHelp,
                         MetricType aType,
                         double aValue)
{
  this->Family(aName, aHelp, aType);
  this->Sample({}, aValue);
}

} // namespace dogwoodvale
