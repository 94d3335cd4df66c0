#include "CustomerShares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace dogwoodvale {

namespace {

bool
IsUse(double aValue)
{
  return std::isfinite(aValue) && aValue > 0;
}

double
SumOf(std::span<const CustomerUse> aUses)
{
  return std::accumulate(
    aUses.begin(), aUses.end(), 0.0, [](double aSum, const CustomerUse& aOne) {
      return aSum + aOne.use;
    });
}

} // namespace

double
MaxMinLevel(std::vector<WeightedUse> aUses, double aCapacity)
{
  std::ranges::sort(
    aUses, {}, [](const WeightedUse& aOne) { return aOne.use / aOne.weight; });
  double weight = 0;
  for (const WeightedUse& one : aUses) {
    weight += one.weight * one.count;
  }
  // The uses below the level are known once the equal share of what the smaller
  // ones leave is less than the next one.
  double left = aCapacity;
  for (const WeightedUse& one : aUses) {
    if (one.use / one.weight * weight > left) {
      return std::max(left, 0.0) / weight;
    }
    left -= one.use * one.count;
    weight -= one.weight * one.count;
  }
  return std::numeric_limits<double>::infinity();
}

void
CustomerShares::SetWeights(absl::flat_hash_map<CustomerName, double> aWeights)
{
  this->weights = std::move(aWeights);
  this->refreshedAt.reset();
}

void
CustomerShares::SetGateways(std::size_t aCount)
{
  this->gateways = std::max<std::size_t>(aCount, 1);
  this->refreshedAt.reset();
}

double
CustomerShares::WeightOf(const CustomerName& aCustomer) const
{
  const auto found = this->weights.find(aCustomer);
  return found == this->weights.end() ? 1.0 : found->second;
}

void
CustomerShares::OnUse(const CustomerName& aCustomer,
                      double aTokenSeconds,
                      TimePoint aNow)
{
  if (IsUse(aTokenSeconds)) {
    this->own.Add(aCustomer, aTokenSeconds, aNow);
  }
}

void
CustomerShares::OnPeerUpdate(const InstanceName& aGateway,
                             const ShareUpdate& aUpdate,
                             TimePoint aNow)
{
  Report& report = this->reports[aGateway];
  report.receivedAt = aNow;
  report.update = aUpdate;
  std::vector<CustomerUse>& busiest = report.update.busiest;
  std::erase_if(busiest,
                [](const CustomerUse& aOne) { return !IsUse(aOne.use); });
  if (busiest.size() > kReported) {
    busiest.resize(kReported);
  }
  if (!IsUse(report.update.otherUse)) {
    report.update.otherUse = 0;
    report.update.otherCustomers = 0;
  }
}

std::optional<ShareUpdate>
CustomerShares::TakeUpdate(const ServiceName& aService, TimePoint aNow)
{
  this->Expire(aNow);
  if (this->reportedAt && aNow - *this->reportedAt < kReportPeriod) {
    return std::nullopt;
  }
  ShareUpdate update;
  update.service = aService;
  update.busiest = this->own.Busiest(aNow);
  if (update.busiest.empty()) {
    return std::nullopt;
  }
  this->reportedAt = aNow;
  if (update.busiest.size() > kReported) {
    update.otherCustomers =
      static_cast<std::uint32_t>(update.busiest.size() - kReported);
    update.busiest.resize(kReported);
    update.otherUse = this->own.Total(aNow) - SumOf(update.busiest);
  }
  return update;
}

void
CustomerShares::Expire(TimePoint aNow)
{
  absl::erase_if(this->reports, [aNow](const auto& aItem) {
    return aNow - aItem.second.receivedAt > kReportTtl;
  });
}

std::size_t
CustomerShares::PeerCount(TimePoint aNow)
{
  this->Expire(aNow);
  return this->reports.size();
}

double
CustomerShares::GatewayScale() const
{
  const std::size_t known = this->reports.size() + 1;
  return static_cast<double>(std::max(this->gateways, known)) /
         static_cast<double>(known);
}

void
CustomerShares::Refresh(TimePoint aNow)
{
  if (this->refreshedAt && aNow - *this->refreshedAt < kLevelPeriod) {
    return;
  }
  this->refreshedAt = aNow;
  this->Expire(aNow);
  this->remoteUse.clear();
  std::vector<WeightedUse> uses;
  for (const auto& [gateway, report] : this->reports) {
    for (const CustomerUse& one : report.update.busiest) {
      this->remoteUse[one.customer] += one.use;
    }
    // The others of several gateways may be the same customers. Taken for
    // different ones they seem smaller, which lowers the level only for those
    // beyond it.
    if (report.update.otherCustomers > 0) {
      const double count = report.update.otherCustomers;
      uses.push_back({ report.update.otherUse / count, 1.0, count });
    }
  }
  absl::flat_hash_map<CustomerName, double> all = this->remoteUse;
  const std::vector<CustomerUse> tracked = this->own.Busiest(aNow);
  for (const CustomerUse& one : tracked) {
    all[one.customer] += one.use;
  }
  // If the sketch is full, at least as many customers again are not tracked.
  if (tracked.size() == kTracked) {
    constexpr auto kCount = static_cast<double>(kTracked);
    const double rest = this->own.Total(aNow) - SumOf(tracked);
    uses.push_back({ std::max(rest, 0.0) / kCount, 1.0, kCount });
  }
  for (const auto& [customer, use] : all) {
    uses.push_back({ use, this->WeightOf(customer) });
  }
  double total = 0;
  this->customers = 0;
  for (const WeightedUse& one : uses) {
    total += one.use * one.count;
    this->customers += one.count;
  }
  this->level = MaxMinLevel(std::move(uses), kServedFraction * total);
}

ShareStanding
CustomerShares::StandingOf(const CustomerName& aCustomer, TimePoint aNow)
{
  this->Refresh(aNow);
  ShareStanding standing;
  const auto remote = this->remoteUse.find(aCustomer);
  const double use = this->own.UseOf(aCustomer, aNow) +
                     (remote == this->remoteUse.end() ? 0.0 : remote->second);
  const double fair = this->level * this->WeightOf(aCustomer);
  const double scale = this->GatewayScale();
  standing.use = scale * use;
  standing.fairUse = scale * fair;
  standing.isOver = this->customers > 1 && use > fair;
  if (standing.isOver) {
    const double ratio = fair > 0 ? std::log(use / fair) : kMaxDrain / kDecay;
    const auto drain = Duration(
      static_cast<Duration::rep>(ratio * static_cast<double>(kDecay.count())));
    standing.drain = std::min(drain, kMaxDrain);
  }
  return standing;
}

} // namespace dogwoodvale
