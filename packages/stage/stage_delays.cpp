// Log lines and metrics about late fibers and late messages.
#include "stage/stage.h"

#include "base/durations.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration minLoggedWait = 100ms; // of one fiber; a request runs several of them
constexpr Duration waitLogInterval = 500ms;
constexpr Duration deliveryLogInterval = 500ms;

} // namespace

// Logs long waits of fibers. Timers don't show these waits, because the thread runs handlers before
// fibers.
void Stage::noteFiberWait(Time now)
{
    this->maxFiberWait = std::max(this->maxFiberWait, this->thread.takeLongestWait());
    if (this->maxFiberWait < minLoggedWait || now - this->waitLoggedAt < waitLogInterval) {
        return;
    }
    this->waitLoggedAt = now;
    const Duration wait = std::exchange(this->maxFiberWait, Duration::zero());
    this->metrics.count(Metric::FiberDelays, toMilliseconds(wait));
    const FiberBacklog backlog = this->thread.backlog();
    logWarning(LogPart::Main, "fibers were late",
               {{"ms", std::to_string(toMilliseconds(wait))},
                {"ready", std::to_string(backlog.ready)},
                {"oldestMs", std::to_string(toMilliseconds(backlog.oldest))},
                {"expectedMs", std::to_string(toMilliseconds(backlog.expected))},
                {"requests", std::to_string(this->ingress.count())},
                {"running", std::to_string(this->executor.count())},
                {"waiting", std::to_string(this->executor.waitingCount())}});
}

// Logs late messages of other processes. Messages wait in the queues of both hosts and of the
// network between them while timers and fibers are on time.
void Stage::noteLateMessages(Time now)
{
    const auto line = this->lateMessages.take(now);
    if (!line) {
        return;
    }
    this->metrics.count(Metric::MessageDelays, toMilliseconds(line->longest));
    logWarning(LogPart::Mesh, "messages were late",
               {{"ms", std::to_string(toMilliseconds(line->longest))},
                {"from", line->from},
                {"messages", std::to_string(line->messages)},
                {"peers", std::to_string(line->peers)}});
}

// Logs answers that were written and have not reached their callers: the link of this host is full,
// loses packets, or a caller does not read.
void Stage::noteLateAnswers(Time now)
{
    if (const auto late = this->deliveries.check(now)) {
        this->lateAnswers.answers = std::max(this->lateAnswers.answers, late->answers);
        this->lateAnswers.bytes = std::max(this->lateAnswers.bytes, late->bytes);
        this->lateAnswers.oldest = std::max(this->lateAnswers.oldest, late->oldest);
    }
    if (this->lateAnswers.answers == 0 || now - this->deliveriesLoggedAt < deliveryLogInterval) {
        return;
    }
    this->deliveriesLoggedAt = now;
    const LateAnswers line = std::exchange(this->lateAnswers, {});
    this->metrics.count(Metric::AnswerDelays, static_cast<std::uint64_t>(line.answers));
    logWarning(LogPart::Request, "answers have not reached their callers",
               {{"answers", std::to_string(line.answers)},
                {"bytes", std::to_string(line.bytes)},
                {"oldestMs", std::to_string(toMilliseconds(line.oldest))}});
}

// Logs what this process sends while it uses more than half of the link of its host.
void Stage::noteLinkTraffic(Time now)
{
    const auto summary = this->traffic.take(this->settings.limits.linkBytesPerSecond, now);
    if (!summary) {
        return;
    }
    LogFields fields{{"windowMs", std::to_string(toMilliseconds(summary->window))},
                     {"sendMs", std::to_string(toMilliseconds(summary->sendTime))}};
    for (const auto &entry : trafficKindNames.entries) {
        fields.push_back({entry.name,
                          std::to_string(summary->bytes[static_cast<std::size_t>(entry.value)])});
    }
    logWarning(LogPart::Mesh, "the link of this host is busy", fields);
}

} // namespace kumquat
