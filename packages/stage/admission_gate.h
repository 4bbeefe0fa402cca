// Decides whether a process takes new work, by how long fibers wait for its thread. One that is
// behind answers late whatever it takes.
//
//   if (const auto refusal = gate.refuse(thread.backlog().delay(), WorkKind::Request, now)) {
//       ... tell the caller to come back ...
//   }
#pragma once

#include "base/names.h"
#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace kumquat {

enum class WorkKind : std::uint8_t {
    Request,
    // May be a call of a request that runs at an upstream, whose work is lost without it.
    Call,
};

inline constexpr NameTable<WorkKind, 2> workKindNames{
        {{{WorkKind::Request, "request"}, {WorkKind::Call, "call"}}}};

struct AdmissionGateSettings
{
    // Wait of a ready fiber up to which requests are taken. A request runs several fibers one after
    // the other at two hosts, and an answer may be half a second late; a core with a quota stands
    // still for up to 90 ms without being behind.
    Duration maxWait = 150ms;
    Duration maxCallWait = 300ms; // the same for calls
    Duration minRetryAfter = 250ms;   // told to refused callers
    Duration maxRetryAfter = 2s;
    Duration retryStep = 5ms;    // between callers that are refused one after the other
    Duration refusalMemory = 1s; // without a refusal, after which they are counted anew
    // Other hosts send nothing for the delay, within these bounds: long enough to be worth it, and
    // a host that has caught up soon has work again.
    Duration minBackoff = 100ms;
    Duration maxBackoff = 1s;
};

struct AdmissionRefusal
{
    Duration retryAfter{}; // for the caller
    Duration backoff{};  // for other hosts: all work of this kind is refused meanwhile
};

// Not thread-safe.
class AdmissionGate
{
public:
    explicit AdmissionGate(AdmissionGateSettings gateSettings = {})
        : settings(gateSettings)
    {}

    // Returns nothing if new work is taken, else when to come back: what is ready now has to be
    // done before. `delay`: for which a fiber waits for the thread.
    std::optional<AdmissionRefusal> refuse(Duration delay, WorkKind kind, Time now)
    {
        const bool isCall = kind == WorkKind::Call;
        if (delay < (isCall ? this->settings.maxCallWait : this->settings.maxWait)) {
            return std::nullopt;
        }
        if (now - this->refusedAt > this->settings.refusalMemory) {
            this->refusals = 0;
        }
        this->refusedAt = now;
        const Duration wait = 2 * delay + this->refusals++ * this->settings.retryStep;
        return AdmissionRefusal{.retryAfter = std::clamp(wait, this->settings.minRetryAfter,
                                                    this->settings.maxRetryAfter),
                           .backoff = std::clamp(delay, this->settings.minBackoff,
                                                   this->settings.maxBackoff)};
    }

private:
    AdmissionGateSettings settings;
    int refusals = 0; // one after the other
    Time refusedAt{};
};

} // namespace kumquat
