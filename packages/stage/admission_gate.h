// Decides whether a process accepts new work, from the time that fibers wait for its thread. If an
// overloaded process accepted more work, it would answer all of it late.
//
//   if (const auto refusal = gate.refuse(thread.backlog().delay(), WorkKind::Request, now)) {
//       ... tell the caller when to retry ...
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
    // May be made by a request that runs at an upstream; the work of that request is lost if the
    // call is refused.
    Call,
};

inline constexpr NameTable<WorkKind, 2> workKindNames{
        {{{WorkKind::Request, "request"}, {WorkKind::Call, "call"}}}};

struct AdmissionGateSettings
{
    // Time that a ready fiber waits for the thread, up to which requests are accepted. A request
    // runs several fibers in sequence on two hosts, and an answer may be half a second late. A core
    // with a CPU quota stalls for up to 90 ms without being overloaded.
    Duration maxWait = 150ms;
    Duration maxCallWait = 300ms;   // like maxWait, for calls
    Duration minRetryAfter = 250ms; // lower bound of the retry time that refused callers are told
    Duration maxRetryAfter = 2s;
    // Added to the retry time for each consecutive refusal, so that callers spread out.
    Duration retryStep = 5ms;
    // After this time without a refusal the consecutive refusals count from zero again.
    Duration refusalMemory = 1s;
    // Other hosts send nothing for the measured delay, within these bounds. The lower bound makes
    // the backoff worth its cost; the upper bound gives work back soon to a host that has
    // recovered.
    Duration minBackoff = 100ms;
    Duration maxBackoff = 1s;
};

struct AdmissionRefusal
{
    Duration retryAfter{}; // when the caller may retry
    Duration backoff{};    // for which other hosts send no work of this kind
};

// Not thread-safe.
class AdmissionGate
{
public:
    explicit AdmissionGate(AdmissionGateSettings gateSettings = {})
        : settings(gateSettings)
    {}

    // Returns nothing if new work is accepted, else the refusal with the retry time, in which the
    // work that is ready now should finish. `delay`: time that a fiber waits for the thread.
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
        return AdmissionRefusal{
                .retryAfter = std::clamp(wait, this->settings.minRetryAfter,
                                         this->settings.maxRetryAfter),
                .backoff = std::clamp(delay, this->settings.minBackoff, this->settings.maxBackoff)};
    }

private:
    AdmissionGateSettings settings;
    int refusals = 0; // consecutive
    Time refusedAt{};
};

} // namespace kumquat
