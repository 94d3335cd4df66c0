#ifndef DOGWOODVALE_DUTIES_USAGEPORT_H
#define DOGWOODVALE_DUTIES_USAGEPORT_H

#include <functional>
#include <memory>

#include "UsageReport.h"

namespace dogwoodvale {

/// Who carries out a duty, as its receiver is told.
struct DutyCredentials
{
  InstanceName holder;
  FencingToken fencing = 0;
};

/// What became of a report that was sent.
enum class ReportVerdict : std::uint8_t
{
  Accepted,
  /// The receiver has seen a higher fencing token.
  Superseded,
  /// It will not be accepted however often it is sent.
  Rejected,
  /// No answer, or one that says to try again. It may be taken in later.
  Failed,
};

std::string_view
ReportVerdictName(ReportVerdict aVerdict);

/// Where usage is reported.
class UsagePort
{
public:
  using Handler = std::function<void(ReportVerdict, const absl::Status&)>;

  virtual ~UsagePort() = default;
  /// Sends it once. Destroying the call drops the answer.
  [[nodiscard]] virtual std::unique_ptr<StoreCall> Send(
    const UsageReport& aReport,
    const DutyCredentials& aCredentials,
    Handler aHandler) = 0;
};

} // namespace dogwoodvale

#endif
