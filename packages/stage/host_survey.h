// Chooses the hosts that a process asks for their host records and evacuations when it starts after
// a rollback of the store (store_era.h), and decides how long it waits for their answers. Only some
// hosts may know a leave, so the first answer is not enough.
//
//   HostSurvey survey(hosts, now);
//   for (const std::string &node : survey.takeHosts()) { ... ask it ... }
//   survey.noteAnswer(now);          // or noteFailure()
//   if (survey.isOver(now)) { ... continue with what is known ... }
#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquat {

struct HostSurveySettings
{
    // Those that a leave is sent to (LeaveConfirmationSettings), in the same order, and three more,
    // as that many hosts in front of them may have been down then.
    std::size_t answers = 8;
    Duration limit = 1500ms; // of the whole wait
    // Wait after the first answer. The other hosts were asked at the same time, and a host that is
    // up answers within a few round trips between regions; a dead one must not delay the start.
    Duration afterFirst = 300ms;
};

// Not thread-safe.
class HostSurvey
{
public:
    // `hosts`: all other hosts, those to ask first in front.
    HostSurvey(std::vector<std::string> hosts, Time started, HostSurveySettings surveySettings = {})
        : settings(surveySettings)
        , left(std::move(hosts))
        , startedAt(started)
    {}

    // Returns the hosts to ask now: the first ones, and later the next one for each that failed.
    std::vector<std::string> takeHosts();

    void noteAnswer(Time now);
    void noteFailure(); // a host can't be reached, or its answer was lost

    bool isOver(Time now) const;
    Time end() const; // of the wait, as far as it is known

    std::size_t answered() const { return this->answerCount; }

private:
    HostSurveySettings settings;
    std::vector<std::string> left; // not asked yet
    Time startedAt;
    std::size_t unanswered = 0;
    std::size_t answerCount = 0;
    std::optional<Time> firstAnswerAt;
};

} // namespace kumquat
