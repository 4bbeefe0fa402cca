#include "stage/host_reach.h"

#include <algorithm>

namespace kumquat {

bool HostReach::isReachable(const std::string &node, const HostContact &contact,
                            Time listeningSince, Time now)
{
    State &state = this->contacts[node];
    if (now - contact.answeredAt <= this->limit) {
        state.lostAt.reset();
        return true;
    }
    const Time reportDue = std::max(state.reportedAt, listeningSince) + this->limit;
    if (contact.isDown || (contact.sendsReports && now > reportDue)) {
        state.lostAt = now;
    } else if (state.lostAt && state.reportedAt > *state.lostAt) {
        state.lostAt.reset();
    }
    return !state.lostAt;
}

} // namespace kumquat
