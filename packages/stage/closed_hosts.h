// Remembers which hosts take no requests for a while, so that callers are refused at once and a
// host that is behind does not spend its time on refusals.
//
//   closed.note(node, WorkKind::Request, 300ms, now);
//   if (const auto left = closed.leftOf(node, WorkKind::Request, now)) { ... refuse ... }
#pragma once

#include "stage/admission_gate.h"

#include <map>
#include <optional>
#include <string>

namespace kumquat {

// Not thread-safe.
class ClosedHosts
{
public:
    // Takes that a host refused work of a kind and will for `closedFor`. One that refuses calls
    // refuses requests as well.
    void note(const std::string &node, WorkKind kind, Duration closedFor, Time now)
    {
        Closing &closing = this->hosts[node];
        closing.requestsUntil = now + closedFor;
        if (kind == WorkKind::Call) {
            closing.callsUntil = now + closedFor;
        }
    }

    // Returns for how long the host still takes no work of a kind, or nothing if it may.
    std::optional<Duration> leftOf(const std::string &node, WorkKind kind, Time now) const
    {
        const auto found = this->hosts.find(node);
        if (found == this->hosts.end()) {
            return std::nullopt;
        }
        const Closing &closing = found->second;
        const Time until = kind == WorkKind::Call ? closing.callsUntil : closing.requestsUntil;
        return until > now ? std::optional(until - now) : std::nullopt;
    }

private:
    struct Closing
    {
        Time requestsUntil{};
        Time callsUntil{};
    };

    std::map<std::string, Closing, std::less<>> hosts; // by node
};

} // namespace kumquat
