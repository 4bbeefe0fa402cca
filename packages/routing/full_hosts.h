// Remembers which hosts have just refused requests because their upstream was full, so that the
// next ones are refused where they came in and not after a trip to another region.
//
//   fullHosts.noteFull("node-7", 2, 300ms, now);
//   if (std::optional<Duration> wait = fullHosts.waitFor("node-7", 2, now)) { ... refuse ... }
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace kumquat {

struct FullHostsSettings
{
    // An upstream that is full has about this much work waiting; hosts that stay away for longer
    // would leave it idle.
    Duration memory = 400ms;
};

// Not thread-safe.
class FullHosts
{
public:
    explicit FullHosts(FullHostsSettings hostsSettings = {})
        : settings(hostsSettings)
    {}

    // Notes a refusal of a request of this rank; lower ranks may still have room. `retryAfter`:
    // what the host told the caller.
    void noteFull(const std::string &node, std::uint32_t rank, Duration retryAfter, Time now);

    // Returns what to tell a caller of this rank, or nothing if the host may have room.
    std::optional<Duration> waitFor(const std::string &node, std::uint32_t rank, Time now) const;

private:
    struct Refusal
    {
        std::uint32_t rank = 0;
        Duration retryAfter{};
        Time until{};
    };

    FullHostsSettings settings;
    std::map<std::string, Refusal, std::less<>> refusals; // by node, the latest
};

} // namespace kumquat
