// Finds answers that were written to a connection but have not reached the caller. Neither the time
// of a request nor its log line shows this wait.
//
//   deliveries.note(stream, readBootTime());          // after each answer
//   if (const auto late = deliveries.check(now)) { ... log it ... } // periodically
#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace kumquat {

class HttpStream;

struct LateAnswers
{
    int answers = 0;
    std::uint64_t bytes = 0; // unacknowledged on the connections of these answers
    Duration oldest{};       // time since the oldest of them was written
};

// Not thread-safe.
class AnswerDelivery
{
public:
    void note(const std::shared_ptr<HttpStream> &stream, Time now);

    // Returns the answers that were written `checkAfter` ago or earlier and are not acknowledged.
    std::optional<LateAnswers> check(Time now);

private:
    static constexpr Duration checkAfter = 250ms;
    static constexpr std::size_t maxAnswers = 1'000; // older ones are no longer followed

    struct Answer
    {
        std::weak_ptr<HttpStream> stream;
        std::uint64_t end = 0; // bytes written to the connection up to the end of the answer
        Time writtenAt{};
    };

    std::deque<Answer> answers; // oldest first
};

} // namespace kumquat
