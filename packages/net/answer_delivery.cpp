#include "net/answer_delivery.h"

#include "net/http_stream.h"
#include "net/socket_state.h"

#include <algorithm>

namespace kumquat {

void AnswerDelivery::note(const std::shared_ptr<HttpStream> &stream, Time now)
{
    this->answers.push_back({.stream = stream, .end = stream->writtenBytes(), .writtenAt = now});
    if (this->answers.size() > maxAnswers) {
        this->answers.pop_front();
    }
}

std::optional<LateAnswers> AnswerDelivery::check(Time now)
{
    LateAnswers late;
    std::deque<Answer> kept;
    while (!this->answers.empty() && now - this->answers.front().writtenAt >= checkAfter) {
        const Answer answer = std::move(this->answers.front());
        this->answers.pop_front();
        const std::shared_ptr<HttpStream> stream = answer.stream.lock();
        if (!stream || !stream->isOpen()) {
            continue;
        }
        const std::size_t unacknowledged = unacknowledgedBytes(stream->socket().native_handle());
        if (stream->writtenBytes() - std::min<std::uint64_t>(stream->writtenBytes(), unacknowledged)
            >= answer.end) {
            continue;
        }
        ++late.answers;
        late.bytes += unacknowledged;
        late.oldest = std::max(late.oldest, now - answer.writtenAt);
        kept.push_back(answer);
    }
    this->answers.insert(this->answers.begin(), kept.begin(), kept.end());
    return late.answers > 0 ? std::optional<LateAnswers>(late) : std::nullopt;
}

} // namespace kumquat
