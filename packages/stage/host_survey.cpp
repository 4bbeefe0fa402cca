#include "stage/host_survey.h"

#include <algorithm>

namespace kumquat {

std::vector<std::string> HostSurvey::takeHosts()
{
    const std::size_t inUse = this->answerCount + this->unanswered;
    const std::size_t wanted = this->settings.answers - std::min(this->settings.answers, inUse);
    const auto end =
            this->left.begin() + static_cast<std::ptrdiff_t>(std::min(wanted, this->left.size()));
    std::vector<std::string> taken(this->left.begin(), end);
    this->left.erase(this->left.begin(), end);
    this->unanswered += taken.size();
    return taken;
}

void HostSurvey::noteAnswer(Time now)
{
    --this->unanswered;
    ++this->answerCount;
    this->firstAnswerAt = this->firstAnswerAt.value_or(now);
}

void HostSurvey::noteFailure()
{
    --this->unanswered;
}

bool HostSurvey::isOver(Time now) const
{
    const bool isComplete = this->answerCount >= this->settings.answers || this->left.empty();
    return (this->unanswered == 0 && isComplete) || now >= this->end();
}

Time HostSurvey::end() const
{
    const Time limit = this->startedAt + this->settings.limit;
    return this->firstAnswerAt ? std::min(limit, *this->firstAnswerAt + this->settings.afterFirst)
                               : limit;
}

} // namespace kumquat
