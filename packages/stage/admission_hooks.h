// Connects the executor and the ingress to the state that limits work at the upstream.
#pragma once

#include "stage/admission_state.h"
#include "stage/executor.h"
#include "stage/ingress.h"

namespace kumquat {

using EndedHook = std::function<void(const wire::Execute &, const ExecuteResult &, Time)>;
using RetryAfterHook = std::function<Duration(const wire::Execute &, const Verdict &, Time)>;

// `admission` must outlive the hooks.
EndedHook endedHook(AdmissionState &admission);
RetryAfterHook retryAfterHook(AdmissionState &admission);
CallHooks callHooks(AdmissionState &admission);
RelayHooks relayHooks(AdmissionState &admission);

} // namespace kumquat
