#include <catch2/catch.hpp>

#include <thread>

#include "dogwoodvale/Gateway"

using namespace dogwoodvale;

// Without this figure a gateway that is short of processor time looks like one
// with a slow link.
TEST_CASE("a busy loop shows in the delay that is measured", "[loopdelay]")
{
  const std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  const LoopDelayMonitor monitor(*loop);
  constexpr Duration kBusy = milliseconds(400);
  Timer busy(*loop, [&] { std::this_thread::sleep_for(kBusy); });
  busy.StartOnce(milliseconds(1));
  Duration longest{ 0 };
  loop->RunUntil(
    [&] {
      longest = std::max(longest, monitor.Last());
      return longest > Duration::zero() && !busy.IsPending() &&
             longest >= kBusy / 2;
    },
    seconds(5));
  CHECK(longest >= kBusy / 2);
  PrometheusWriter writer;
  monitor.WriteMetrics(writer);
  CHECK(writer.Take().find("dogwoodvale_loop_delay_seconds_count") !=
        std::string::npos);
}
