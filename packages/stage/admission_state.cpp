#include "stage/admission_state.h"

#include "base/durations.h"
#include "base/log.h"

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
