#include "base/containment.h"

#include "base/log.h"

#include <atomic>
#include <string>

namespace kumquat {
namespace {

std::atomic<std::uint64_t> count{0};

} // namespace

void noteContained(ContainedWork work, std::string_view reason)
{
    ++count;
    if (hasRoomForRequestLine()) {
        logError(LogPart::Main, "exception contained",
                 {{"work", std::string(containedWorkNames.nameOf(work))},
                  {"reason", std::string(reason)}});
    }
}

std::uint64_t containedCount()
{
    return count;
}

} // namespace kumquat
