#include "admission/decision.h"

#include <algorithm>
#include <string_view>

namespace kumquat {

bool isRegionAllowed(const std::vector<std::string> &allowedRegions, std::string_view region)
{
    return allowedRegions.empty()
           || std::find(allowedRegions.begin(), allowedRegions.end(), region)
                      != allowedRegions.end();
}

// The order matters: what no time cures comes first, so that a caller is not told to wait for a
// limit behind which another one stands.
Verdict decide(const WorkFacts &work, const AdmissionFigures &figures,
               const DecisionSettings &settings)
{
    // Only one host owns the key, so no other one can run a request that has one.
    const AdmissionAction notHere =
            work.hasKey ? AdmissionAction::Refuse : AdmissionAction::Elsewhere;
    if (work.allowedRegions != nullptr && !isRegionAllowed(*work.allowedRegions, figures.region)) {
        return {notHere, AdmissionReason::RegionNotAllowed, settings.placeRetry};
    }
    if (figures.isEvacuated) {
        return {notHere, AdmissionReason::Evacuated, settings.placeRetry};
    }
    if (figures.memoryWait > Duration::zero()) {
        return {AdmissionAction::Refuse, AdmissionReason::MemoryFull, figures.memoryWait};
    }
    // The run would hold a slot and then fail at every upstream of its service.
    if (figures.callsWait > Duration::zero()) {
        return {AdmissionAction::Refuse, AdmissionReason::CallsRefused, figures.callsWait};
    }
    if (figures.coldWait > Duration::zero()) {
        return {notHere, AdmissionReason::ColdUpstream, figures.coldWait};
    }
    const Duration maxLinkWait = work.isCall ? settings.maxCallLinkWait : settings.maxLinkWait;
    if (figures.linkWait > std::min(maxLinkWait, work.remaining)) {
        return {notHere, AdmissionReason::LinkFull, figures.linkWait};
    }
    return {};
}

} // namespace kumquat
