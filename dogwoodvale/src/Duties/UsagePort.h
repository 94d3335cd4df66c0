#ifndef DOGWOODVALE_DUTIES_USAGEPORT_H
#define DOGWOODVALE_DUTIES_USAGEPORT_H

#include <functional>
#include <memory>

#include "UsageReport.h"

namespace dogwoodvale {

/// Identifies the holder of a duty to the receiver.
struct DutyCredentials
{
  InstanceName holder;
  FencingToken fencing = 0;
};

/// Result of sending a report.
enum class ReportVerdict : std::uint8_t
{
  Accepted,
  /// The receiver has seen a higher fencing token.
  Superseded,
  /// Permanent failure: a retry will not be accepted either.
  Rejected,
  /// No answer, or a retryable error. The report may still be accepted later.
  Failed,
};

std::string_view
ReportVerdictName(ReportVerdict aVerdict);

/// Receiver of usage reports.
class UsagePort
{
public:
  using Handler = std::function<void(ReportVerdict, const absl::Status&)>;

  virtual ~UsagePort() = default;
  /// Sends the report once. Destroying the call drops the answer.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> Send(
    const UsageReport& aReport,
    const DutyCredentials& aCredentials,
    Handler aHandler) = 0;
};

} // namespace dogwoodvale

#endif
