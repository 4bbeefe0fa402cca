#include "stage/leave_confirmation.h"

#include <algorithm>
#include <utility>

namespace kumquat {

std::vector<std::string> LeaveConfirmation::begin(const UpstreamInstance &left,
                                                  std::vector<std::string> reachable, Time now)
{
    if (left != this->instance) {
        this->instance = left;
        this->hasConfirmation = false;
        this->unanswered = 0;
        this->waitEnd = now + this->settings.limit;
    }
    if (this->hasConfirmation || this->unanswered > 0) {
        return {};
    }
    reachable.resize(std::min(reachable.size(), this->settings.hosts));
    this->unanswered = reachable.size();
    return reachable;
}

void LeaveConfirmation::noteResult(const UpstreamInstance &left, bool isConfirmed)
{
    if (left != this->instance || this->unanswered == 0) {
        return;
    }
    --this->unanswered;
    this->hasConfirmation = this->hasConfirmation || isConfirmed;
}

bool LeaveConfirmation::isOver(const UpstreamInstance &left, Time now) const
{
    return left == this->instance
           && (this->hasConfirmation || this->unanswered == 0 || now >= this->waitEnd);
}

bool LeaveConfirmation::isConfirmed(const UpstreamInstance &left) const
{
    return left == this->instance && this->hasConfirmation;
}

} // namespace kumquat
