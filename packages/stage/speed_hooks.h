// Connects the executor, which sends requests to the upstream, with what measures the upstream's
// speed. Each hook may be empty.
#pragma once

#include "admission/upstream_figures.h"
#include "base/time.h"
#include "traffic/limiter.h"
#include "wire/stage.pb.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace kumquat {

// How a request that was sent to the upstream ended.
struct RunEnd
{
    CallEnd end = CallEnd::Lost;
    std::optional<UpstreamFigures> figures; // from the upstream's answer
};

struct SpeedHooks
{
    std::function<void(std::uint32_t slots, Time now)> instanceChanged;
    std::function<void(const wire::Execute &execute, Time now)> started;
    std::function<void(const wire::Execute &execute, const RunEnd &end, Time now)> ended;
    // Concurrency limit to apply now. Called at least every 50 ms.
    std::function<std::uint32_t(Time now)> concurrencyLimit;
    // Concurrency beyond which the throughput of the upstream stops growing; 0: unknown.
    std::function<std::uint32_t()> usableSlots;
    // Service time to report to other hosts, from the measured one.
    std::function<double(double measured, Time now)> serviceSeconds;
};

} // namespace kumquat
