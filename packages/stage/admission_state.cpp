#include "stage/admission_state.h"

#include "base/durations.h"
#include "base/log.h"
#include "keyspace/range_planner.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

AdmissionFigures AdmissionState::figures(const wire::Execute * /*execute*/, Time now) const
{
    AdmissionFigures figures{.region = this->settings.region};
    figures.coldWait = this->coldGate.wait(now);
    return figures;
}

void AdmissionState::noteSending(const wire::Execute & /*execute*/, Time now)
{
    this->coldGate.noteSent(now);
}

void AdmissionState::noteHeartbeat(Duration coldLeft, Time now)
{
    const bool wasCold = this->coldGate.isCold(now);
    this->coldGate.noteState(coldLeft, now);
    this->speed.noteHeartbeat(coldLeft, now);
    if (this->coldGate.isCold(now) != wasCold) {
        logInfo(LogPart::Upstream, wasCold ? "upstream is warm" : "upstream is cold",
                {{"coldMs", std::to_string(toMilliseconds(coldLeft))},
                 {"waitMs", std::to_string(toMilliseconds(this->coldGate.wait(now)))}});
    }
}

void AdmissionState::addKeyCapacity(wire::LoadReport &report, const wire::UpstreamLoad &load,
                                    Time now) const
{
    report.set_slots(load.slots());
    report.set_service_ms(load.service_ms());
    report.set_usable_slots(this->slotsForKeys(load, now));
}

// Returns the slots that the key table writer may fill: the usable ones, or while the upstream is
// cold those that the requests that it tolerates keep busy.
std::uint32_t AdmissionState::slotsForKeys(const wire::UpstreamLoad &load, Time now) const
{
    const std::uint32_t usable = load.usable_slots() > 0 ? load.usable_slots() : load.slots();
    if (!this->coldGate.isCold(now)) {
        return usable;
    }
    const double serviceSeconds = load.service_ms() > 0
                                          ? toSeconds(std::chrono::milliseconds(load.service_ms()))
                                          : PlannerSettings{}.assumedServiceSeconds;
    const double slots = this->coldGate.toleratedRate() * serviceSeconds;
    return std::clamp(static_cast<std::uint32_t>(std::lround(slots)), 1U, std::max(1U, usable));
}

void AdmissionState::applyConfiguration()
{
    const ConfigurationPtr configuration = this->view.configuration();
    const ServiceInfo *service =
            configuration ? configuration->service(this->settings.service) : nullptr;
    this->coldGate.setLimits({.perSecond = service != nullptr ? service->coldPerSecond : 0,
                              .excess = this->settings.limits.coldExcess,
                              .slack = this->settings.limits.coldSlack});
}

} // namespace kumquat
