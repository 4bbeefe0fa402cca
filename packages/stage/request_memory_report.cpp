#include "stage/request_memory_report.h"

#include "base/log.h"

#include <string>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration logInterval = 1s;

} // namespace

void RequestMemoryReport::advance(Time now)
{
    const std::uint64_t refused = this->budget.refusedCount();
    const std::uint64_t evicted = this->budget.evictedCount();
    this->metrics.set(Metric::RequestBytesHeld, this->budget.held());
    this->metrics.set(Metric::RequestBytesRefused, refused);
    this->metrics.set(Metric::RequestBytesEvicted, evicted);
    const bool isNew = refused != this->loggedRefused || evicted != this->loggedEvicted;
    if (!isNew || now - this->loggedAt < logInterval) {
        return;
    }
    this->loggedAt = now;
    logWarning(
            LogPart::Request, "no room for bytes of callers",
            {{"held", std::to_string(this->budget.held())},
             {"capacity", std::to_string(this->budget.capacity())},
             {"refused", std::to_string(refused - std::exchange(this->loggedRefused, refused))},
             {"evicted", std::to_string(evicted - std::exchange(this->loggedEvicted, evicted))}});
}

} // namespace kumquat
