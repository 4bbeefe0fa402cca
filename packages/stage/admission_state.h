// What limits work at the upstream beside this process: owns the parts that measure it, and gives
// their figures to the admission decision.
//
//   AdmissionState admission(settings, view);
//   admission.noteHeartbeat(heartbeat.coldLeft, now);
//   const AdmissionFigures figures = admission.figures(&execute, now);
#pragma once

#include "admission/cold_gate.h"
#include "admission/decision.h"
#include "stage/cluster_view.h"
#include "stage/settings.h"
#include "wire/stage.pb.h"

namespace kumquat {

// Used on fibers of one thread.
class AdmissionState
{
public:
    AdmissionState(const StageSettings &stageSettings, const ClusterView &clusterView)
        : settings(stageSettings)
        , view(clusterView)
    {}

    // Returns what limits a request now. `execute`: nullptr for any request.
    AdmissionFigures figures(const wire::Execute *execute, Time now) const;

    // Records that a request is sent to the upstream now.
    void noteSending(const wire::Execute &execute, Time now);

    // Applies the remaining cold time of the upstream, 0 if it is warm.
    void noteHeartbeat(Duration coldLeft, Time now);

    // Applies the limits of a new configuration.
    void applyConfiguration();

    // Call after a change of the evacuated data centres. An upstream that was out of use counts as
    // cold until its next heartbeat.
    void applyEvacuations(Time now);

private:
    const StageSettings &settings;
    const ClusterView &view;
    ColdGate coldGate;
    bool wasClosed = true; // the data centre was evacuated, or that was unknown
};

} // namespace kumquat
