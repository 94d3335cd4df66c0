#ifndef DOGWOODVALE_SCHEDULING_FIXEDCONCURRENCYLIMIT_H
#define DOGWOODVALE_SCHEDULING_FIXEDCONCURRENCYLIMIT_H

#include "ConcurrencyLimit.h"

namespace dogwoodvale {

/// A constant limit, set by the operator.
class FixedConcurrencyLimit : public ConcurrencyLimit
{
public:
  /// \return InvalidArgument when \p aLimit is zero.
  static absl::StatusOr<FixedConcurrencyLimit> Create(std::uint32_t aLimit);

  std::uint32_t Limit() const override { return this->limit; }
  void OnStart(TimePoint aNow) override;
  void OnFirstToken(Duration aWait, std::uint32_t aPromptTokens) override;
  void OnToken(Duration aInterval) override;
  void OnFinish(TimePoint aNow) override;
  void OnFinishWithoutFirstToken(TimePoint aNow) override;
  double QueueingSignal() const override { return 0; }

private:
  explicit FixedConcurrencyLimit(std::uint32_t aLimit)
    : limit(aLimit)
  {
  }

  std::uint32_t limit;
};

} // namespace dogwoodvale

#endif
