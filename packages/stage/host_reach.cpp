#include "stage/host_reach.h"

#include "base/durations.h"
#include "base/log.h"

#include <algorithm>

namespace kumquat {
namespace {

// Logs a change; `silence`: time since the host last gave a sign of life.
void logReach(const std::string &node, const HostContact &contact, bool isLost, Duration silence)
{
    logInfo(LogPart::Slots, isLost ? "host counts as lost" : "host counts as reachable again",
            {{"node", node},
             {"down", contact.isDown ? "yes" : "no"},
             {"silentMs", std::to_string(toMilliseconds(silence))}});
}

} // namespace

bool HostReach::isReachable(const std::string &node, const HostContact &contact,
                            Time listeningSince, Time now)
{
    State &state = this->contacts.try_emplace(node, State{.knownSince = now}).first->second;
    const Duration silence = now - std::max(contact.answeredAt, state.reportedAt);
    const bool isAnswering = now - contact.answeredAt <= this->limit;
    const Time reportDue =
            std::max({state.reportedAt, state.knownSince, listeningSince}) + this->limit;
    const bool owesReport = contact.sendsReports && now > reportDue;
    const bool hasReported = state.lostAt && state.reportedAt > *state.lostAt;
    const bool wasLost = state.lostAt.has_value();
    if (!isAnswering && (contact.isDown || owesReport)) {
        state.lostAt = now;
    } else if (isAnswering || hasReported) {
        state.lostAt.reset();
    }
    if (state.lostAt.has_value() != wasLost) {
        logReach(node, contact, !wasLost, silence);
    }
    return !state.lostAt;
}

} // namespace kumquat
