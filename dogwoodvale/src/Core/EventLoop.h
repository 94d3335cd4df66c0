#ifndef DOGWOODVALE_CORE_EVENTLOOP_H
#define DOGWOODVALE_CORE_EVENTLOOP_H

#include <cstdint>
#include <functional>
#include <memory>

#include "Clock.h"
#include "Status.h"

struct event;
struct event_base;

namespace dogwoodvale {

/// Which of the events that are due the loop handles first.
enum class EventPriority : std::uint8_t
{
  /// Connections of the control plane; the default of libevent and so of what
  /// its helpers create.
  Control = 1,
  /// Requests, their answers, and timers: a time limit that passes must not be
  /// noticed before bytes that came earlier.
  Traffic = 2,
};

/// The one loop of a process; everything runs on its thread.
///
/// Events of the control plane are handled before those of the traffic, and
/// are looked for again at least every kTrafficSlice. A process that is short
/// of processor time would otherwise handle each connection once a turn, and a
/// document of many pieces would take as many turns.
class EventLoop
{
public:
  static absl::StatusOr<std::unique_ptr<EventLoop>> Create();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// For libraries that are built on libevent.
  event_base* Base() const { return this->base; }

  /// Runs until Stop().
  void Run();
  /// Runs until \p aDone gives true or \p aLimit has passed; for tests and
  /// tools. \return whether \p aDone became true.
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);
  void Stop();

  static constexpr Duration kTrafficSlice = milliseconds(10);

private:
  explicit EventLoop(event_base* aBase);
  event_base* base;
};

/// Calls back once or again and again; stops when destroyed.
/// \note The callback may destroy or re-arm its own timer.
class Timer
{
public:
  Timer(EventLoop& aLoop,
        std::function<void()> aCallback,
        EventPriority aPriority = EventPriority::Traffic);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void StartOnce(Duration aDelay);
  void StartRepeating(Duration aPeriod);
  void Stop();
  bool IsPending() const;

private:
  static void OnTimeout(int aDescriptor, short aWhat, void* aSelf);
  std::function<void()> callback;
  event* timeout;
  bool repeats = false;
  Duration period{ 0 };
};

/// Calls back when the process gets a signal. At most one for each signal.
class SignalWatch
{
public:
  /// \param aCallback gets the time at which the signal came, which on a busy
  /// loop is well before the call; signals that come before it count as one.
  SignalWatch(EventLoop& aLoop,
              int aSignal,
              std::function<void(TimePoint)> aCallback);
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

private:
  std::function<void(TimePoint)> callback;
  int number;
  event* watch;
};

} // namespace dogwoodvale

#endif
