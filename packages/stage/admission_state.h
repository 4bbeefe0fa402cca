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
#include "stage/upstream_speed.h"
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

    // Adds to a report what the key table writer needs to know about the upstream's capacity.
    void addKeyCapacity(wire::LoadReport &report, const wire::UpstreamLoad &load, Time now) const;

    // Measures the upstream's speed from the requests that the executor sends.
    SpeedHooks speedHooks(Metrics &metrics) { return this->speed.hooks(metrics); }

    // Applies the limits of a new configuration.
    void applyConfiguration();

private:
    std::uint32_t slotsForKeys(const wire::UpstreamLoad &load, Time now) const;

    const StageSettings &settings;
    const ClusterView &view;
    ColdGate coldGate;
    UpstreamSpeed speed;
};

} // namespace kumquat
