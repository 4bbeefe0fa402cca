#include "soak/soak_plan.h"

#include "base/durations.h"

#include <algorithm>
#include <random>

namespace kumquat {
namespace {

// Kind of component that a fault affects. Two faults of the same component do not overlap.
enum class FaultTarget : std::uint8_t {
    Process,
    Upstream,
    Store,
    StoreLink,
    UpstreamLink,
    ProcessLink
};

FaultTarget targetOf(SoakFault fault)
{
    switch (fault) {
    case SoakFault::PauseProcess:
    case SoakFault::KillProcess:
    case SoakFault::StopProcess:
    case SoakFault::KillAllProcesses:
        return FaultTarget::Process;
    case SoakFault::CrashUpstream:
    case SoakFault::DrainUpstream:
        return FaultTarget::Upstream;
    case SoakFault::StoreLink:
        return FaultTarget::StoreLink;
    case SoakFault::UpstreamLink:
        return FaultTarget::UpstreamLink;
    case SoakFault::ProcessLink:
        return FaultTarget::ProcessLink;
    default:
        return FaultTarget::Store;
    }
}

bool affectsAllHosts(SoakFault fault)
{
    return targetOf(fault) == FaultTarget::Store || fault == SoakFault::KillAllProcesses;
}

bool overlap(const SoakEvent &first, const SoakEvent &second)
{
    const bool isSameTarget = targetOf(first.fault) == targetOf(second.fault);
    const bool isSameHost = first.host == second.host || affectsAllHosts(first.fault)
                            || affectsAllHosts(second.fault);
    return isSameTarget && isSameHost && first.at <= second.end() && second.at <= first.end();
}

// Time that a process has to end after SIGTERM, or an upstream after the start of its drain.
constexpr Duration shutdownTime = 7s;

class Planner
{
public:
    Planner(std::uint64_t seed, const SoakPlanSettings &planSettings)
        : random(seed)
        , settings(planSettings)
    {}

    std::vector<SoakEvent> plan()
    {
        std::vector<SoakEvent> events;
        Duration at{};
        while (at < this->settings.length) {
            at += this->between(this->settings.minGap, this->settings.maxGap);
            const SoakEvent event = this->drawEvent(at);
            const bool isFree =
                    std::none_of(events.begin(), events.end(),
                                 [&](const SoakEvent &other) { return overlap(event, other); });
            if (isFree && event.end() <= this->settings.length) {
                events.push_back(event);
            }
        }
        return events;
    }

private:
    SoakEvent drawEvent(Duration at)
    {
        SoakEvent event{.at = at,
                        .length = this->between(this->settings.minLength, this->settings.maxLength),
                        .fault = this->drawFault(),
                        .host = this->random() % this->settings.hosts};
        if (event.fault == SoakFault::StopProcess || event.fault == SoakFault::DrainUpstream) {
            event.length += shutdownTime;
        }
        if (targetOf(event.fault) >= FaultTarget::StoreLink) {
            event.link = {.fault = soakLinkFaults[this->random() % this->settings.linkKinds],
                          .delay = this->between(20ms, 600ms)};
        }
        return event;
    }

    SoakFault drawFault()
    {
        if (this->share() < this->settings.killAllShare) {
            return SoakFault::KillAllProcesses;
        }
        while (true) {
            const auto &entries = soakFaultNames.entries;
            const SoakFault fault = entries[this->random() % this->settings.faultKinds].value;
            if (fault != SoakFault::KillAllProcesses) {
                return fault;
            }
        }
    }

    double share()
    {
        constexpr double parts = 1'000'000;
        return static_cast<double>(this->random() % static_cast<std::uint64_t>(parts)) / parts;
    }

    Duration between(Duration min, Duration max)
    {
        return min + fromSeconds(this->share() * toSeconds(max - min));
    }

    std::mt19937_64 random;
    const SoakPlanSettings &settings;
};

} // namespace

std::string SoakEvent::text() const
{
    std::string text = std::string(soakFaultNames.nameOf(this->fault)) + " host "
                       + std::to_string(this->host) + " from "
                       + std::to_string(toMilliseconds(this->at)) + " ms to "
                       + std::to_string(toMilliseconds(this->end())) + " ms";
    if (this->link.fault != LinkFault::None) {
        text += " (" + std::string(linkFaultNames.nameOf(this->link.fault)) + ")";
    }
    return text;
}

std::vector<SoakEvent> planSoak(std::uint64_t seed, const SoakPlanSettings &settings)
{
    return Planner(seed, settings).plan();
}

} // namespace kumquat
