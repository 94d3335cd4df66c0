#include "DelayLine.h"

namespace dogwoodvale::standins {

DelayLine::DelayLine(EventLoop& aLoop, std::function<void(Exchange&)> aOnDue)
  : onDue(std::move(aOnDue))
  , timer(aLoop, [this] { this->Release(); })
{
}

void
DelayLine::Add(Exchange& aExchange, Duration aDelay)
{
  const TimePoint due = Now() + aDelay;
  this->byTime.emplace(due, &aExchange);
  this->times.emplace(&aExchange, due);
  this->Schedule();
}

void
DelayLine::Remove(Exchange& aExchange)
{
  const auto found = this->times.find(&aExchange);
  if (found != this->times.end()) {
    this->byTime.erase({ found->second, &aExchange });
    this->times.erase(found);
  }
}

void
DelayLine::Clear()
{
  this->byTime.clear();
  this->times.clear();
}

void
DelayLine::Stop(bool aIsStopped)
{
  this->stopped = aIsStopped;
  this->Schedule();
}

void
DelayLine::Schedule()
{
  if (this->stopped || this->byTime.empty()) {
    this->timer.Stop();
  } else {
    this->timer.StartOnce(Between(Now(), this->byTime.begin()->first));
  }
}

void
DelayLine::Release()
{
  const TimePoint now = Now();
  while (!this->stopped && !this->byTime.empty() &&
         this->byTime.begin()->first <= now) {
    Exchange* exchange = this->byTime.begin()->second;
    this->Remove(*exchange);
    this->onDue(*exchange);
  }
  this->Schedule();
}

} // namespace dogwoodvale::standins
