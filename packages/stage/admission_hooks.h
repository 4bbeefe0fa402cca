// Connects the executor and the ingress to the state that limits work at the upstream.
#pragma once

#include "stage/admission_state.h"
#include "stage/executor.h"
#include "stage/ingress.h"

namespace kumquat {

// Return the hooks with those set that concern admission. `admission` must outlive them.
ExecutorHooks withAdmission(ExecutorHooks hooks, AdmissionState &admission);
IngressHooks withAdmission(IngressHooks hooks, AdmissionState &admission);

} // namespace kumquat
