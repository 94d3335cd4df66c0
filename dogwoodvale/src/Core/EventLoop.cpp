#include "dogwoodvale/Core"

#include <event2/event.h>

#include <array>
#include <atomic>
#include <csignal>

namespace dogwoodvale {

namespace {

constexpr long kMicrosecondsPerSecond = 1000000;
/// With three, libevent's default is the middle one, EventPriority::Control.
constexpr int kPriorities = 3;

timeval
ToTimeval(Duration aDuration)
{
  const long micros = std::max<long>(aDuration.count(), 0);
  return { micros / kMicrosecondsPerSecond, micros % kMicrosecondsPerSecond };
}

/// Of one signal.
struct SignalState
{
  /// When it came, in ticks of the clock; 0 if no callback is due.
  std::atomic<TimePoint::rep> cameAt{ 0 };
  /// Wakes the loop.
  std::atomic<void (*)(int)> loopHandler{ nullptr };
};

std::array<SignalState, NSIG> signalStates;

extern "C" void
OnSignal(int aSignal)
{
  SignalState& state = signalStates.at(static_cast<std::size_t>(aSignal));
  TimePoint::rep none = 0;
  state.cameAt.compare_exchange_strong(none, Now().time_since_epoch().count());
  state.loopHandler.load()(aSignal);
}

/// Puts OnSignal() before the handler of the loop.
void
RecordArrivals(int aSignal)
{
  struct sigaction action = {};
  sigaction(aSignal, nullptr, &action);
  if (action.sa_handler != &OnSignal) {
    signalStates.at(static_cast<std::size_t>(aSignal))
      .loopHandler.store(action.sa_handler);
    action.sa_handler = &OnSignal;
    sigaction(aSignal, &action, nullptr);
  }
}

} // namespace

absl::StatusOr<std::unique_ptr<EventLoop>>
EventLoop::Create()
{
  event_config* config = event_config_new();
  // Coarse timers round up to 4 ms, which is as long as an engine step.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  const timeval slice = ToTimeval(kTrafficSlice);
  constexpr int kNoLimit = -1;
  event_config_set_max_dispatch_interval(
    config, &slice, kNoLimit, static_cast<int>(EventPriority::Traffic));
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base == nullptr || event_base_priority_init(base, kPriorities) != 0) {
    return absl::InternalError("libevent gave no event base");
  }
  return std::unique_ptr<EventLoop>(new EventLoop(base));
}

EventLoop::EventLoop(event_base* aBase)
  : base(aBase)
{
}

EventLoop::~EventLoop()
{
  event_base_free(this->base);
}

void
EventLoop::Run()
{
  event_base_loop(this->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

bool
EventLoop::RunUntil(const std::function<bool()>& aDone, Duration aLimit)
{
  const TimePoint end = Now() + aLimit;
  // EVLOOP_ONCE alone does not return while traffic is waiting.
  Timer tick(
    *this, [this] { this->Stop(); }, EventPriority::Control);
  tick.StartRepeating(milliseconds(1));
  while (!aDone()) {
    if (Now() >= end) {
      return false;
    }
    event_base_loop(this->base, EVLOOP_ONCE);
  }
  return true;
}

void
EventLoop::Stop()
{
  event_base_loopbreak(this->base);
}

Timer::Timer(EventLoop& aLoop,
             std::function<void()> aCallback,
             EventPriority aPriority)
  : callback(std::move(aCallback))
  , timeout(event_new(aLoop.Base(), -1, 0, &Timer::OnTimeout, this))
{
  event_priority_set(this->timeout, static_cast<int>(aPriority));
}

Timer::~Timer()
{
  event_free(this->timeout);
}

void
Timer::OnTimeout(int /*aDescriptor*/, short /*aWhat*/, void* aSelf)
{
  auto* self = static_cast<Timer*>(aSelf);
  if (self->repeats) {
    const timeval delay = ToTimeval(self->period);
    event_add(self->timeout, &delay);
  }
  // A copy, since the callback may destroy this timer and itself with it.
  const std::function<void()> call = self->callback;
  call();
}

void
Timer::StartOnce(Duration aDelay)
{
  this->repeats = false;
  const timeval delay = ToTimeval(aDelay);
  event_add(this->timeout, &delay);
}

void
Timer::StartRepeating(Duration aPeriod)
{
  this->repeats = true;
  this->period = aPeriod;
  const timeval delay = ToTimeval(aPeriod);
  event_add(this->timeout, &delay);
}

void
Timer::Stop()
{
  this->repeats = false;
  event_del(this->timeout);
}

bool
Timer::IsPending() const
{
  return event_pending(this->timeout, EV_TIMEOUT, nullptr) != 0;
}

SignalWatch::SignalWatch(EventLoop& aLoop,
                         int aSignal,
                         std::function<void(TimePoint)> aCallback)
  : callback(std::move(aCallback))
  , number(aSignal)
  , watch(event_new(
      aLoop.Base(),
      aSignal,
      EV_SIGNAL | EV_PERSIST,
      [](evutil_socket_t, short, void* aSelf) {
        auto& self = *static_cast<SignalWatch*>(aSelf);
        const TimePoint::rep cameAt =
          signalStates.at(static_cast<std::size_t>(self.number))
            .cameAt.exchange(0);
        if (cameAt != 0) {
          self.callback(TimePoint(TimePoint::duration(cameAt)));
        }
      },
      this))
{
  event_add(this->watch, nullptr);
  RecordArrivals(aSignal);
}

SignalWatch::~SignalWatch()
{
  event_free(this->watch);
}

} // namespace dogwoodvale
