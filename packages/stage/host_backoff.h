// Remembers which hosts refuse requests for a while. Callers are then refused at once, and an
// overloaded host does not spend its time on refusals.
//
//   hostBackoff.note(node, WorkKind::Request, 300ms, now);
//   if (const auto left = hostBackoff.remainingBackoff(node, WorkKind::Request, now)) { ... }
#pragma once

#include "stage/admission_gate.h"

#include <map>
#include <optional>
#include <string>

namespace kumquat {

// Not thread-safe.
class HostBackoff
{
public:
    // Records that a host refused work of a kind and will refuse it for `backoff`. A host that
    // refuses calls refuses requests as well.
    void note(const std::string &node, WorkKind kind, Duration backoff, Time now)
    {
        Entry &entry = this->hosts[node];
        entry.requestsUntil = now + backoff;
        if (kind == WorkKind::Call) {
            entry.callsUntil = now + backoff;
        }
    }

    // Returns for how long the host still refuses work of a kind, or nothing if work may be sent to
    // it.
    std::optional<Duration> remainingBackoff(const std::string &node, WorkKind kind, Time now) const
    {
        const auto found = this->hosts.find(node);
        if (found == this->hosts.end()) {
            return std::nullopt;
        }
        const Entry &entry = found->second;
        const Time until = kind == WorkKind::Call ? entry.callsUntil : entry.requestsUntil;
        return until > now ? std::optional(until - now) : std::nullopt;
    }

private:
    struct Entry
    {
        Time requestsUntil{};
        Time callsUntil{};
    };

    std::map<std::string, Entry, std::less<>> hosts; // by node
};

} // namespace kumquat
