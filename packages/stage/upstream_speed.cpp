#include "stage/upstream_speed.h"

#include "base/durations.h"
#include "base/log.h"

namespace kumquat {
namespace {

// A run that ends this soon after the cold time may have been slowed down by it.
constexpr Duration coldAftermath = 500ms;

} // namespace

SpeedHooks UpstreamSpeed::hooks(Metrics &metrics)
{
    return {.instanceChanged =
                    [this, &metrics](std::uint32_t announced, Time now) {
                        this->slots = announced;
                        this->hasFigures = false;
                        this->meter.reset(announced, now);
                        this->reportChange(metrics);
                    },
            .started =
                    [this](const wire::Execute &execute, Time now) {
                        this->meter.noteStarted(&execute, execute.route_hash(), now);
                    },
            .ended = [this, &metrics](const wire::Execute &execute, const RunEnd &end,
                                      Time now) { this->noteEnded(execute, end, metrics, now); },
            .concurrencyLimit =
                    [this, &metrics](Time now) {
                        if (!this->hasFigures || !this->triesLimits) {
                            return this->slots;
                        }
                        this->meter.advance(now);
                        this->reportChange(metrics);
                        return this->meter.concurrencyLimit();
                    },
            .usableSlots = [this] { return this->meter.usableSlots(); },
            .serviceSeconds =
                    [this](double measured, Time now) {
                        return this->hasFigures ? this->meter.reportedServiceSeconds(measured, now)
                                                : measured;
                    }};
}

void UpstreamSpeed::noteEnded(const wire::Execute &execute, const RunEnd &end, Metrics &metrics,
                              Time now)
{
    this->hasFigures = this->hasFigures || end.figures.has_value();
    const bool isCold = now < this->coldUntil + coldAftermath;
    this->meter.noteEnded(&execute, isCold ? CallEnd::Cancelled : end.end, end.figures, now);
    if (end.figures && end.figures->speedPercent) {
        metrics.set(Metric::UpstreamSpeed, *end.figures->speedPercent);
    }
    this->reportChange(metrics);
}

void UpstreamSpeed::reportChange(Metrics &metrics)
{
    metrics.set(Metric::UsableSlots, this->meter.usableSlots());
    const auto change = this->meter.takeChange();
    if (!change) {
        return;
    }
    metrics.count(Metric::UsableSlotsChanges);
    constexpr double percent = 100;
    logInfo(LogPart::Upstream, "usable slots of the upstream changed",
            {{"slots", std::to_string(change->after)},
             {"before", std::to_string(change->before)},
             {"reason", std::string(speedReasonNames.nameOf(change->reason))},
             {"gainPercent", std::to_string(static_cast<int>(change->gain * percent))},
             {"runs", std::to_string(change->samples)},
             {"ageMs", std::to_string(toMilliseconds(change->age))}});
}

} // namespace kumquat
