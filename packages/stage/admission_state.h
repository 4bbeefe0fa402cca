// What limits work at the upstream beside this process: owns the parts that measure it, and gives
// their figures to the admission decision.
//
//   AdmissionState admission(settings, view);
//   admission.noteHeartbeat(heartbeat.coldLeft, now);
//   const AdmissionFigures figures = admission.figures(&execute, now);
#pragma once

#include "admission/call_room.h"
#include "admission/call_source.h"
#include "admission/cold_gate.h"
#include "admission/decision.h"
#include "admission/link_meter.h"
#include "admission/retry_spread.h"
#include "net/byte_budget.h"
#include "stage/cluster_view.h"
#include "stage/metrics.h"
#include "stage/settings.h"
#include "stage/upstream_speed.h"
#include "wire/stage.pb.h"

#include <array>

namespace kumquat {

// Used on fibers of one thread.
class AdmissionState
{
public:
    AdmissionState(const StageSettings &stageSettings, const ClusterView &clusterView)
        : settings(stageSettings)
        , view(clusterView)
        , speed(stageSettings.limits.learnsConcurrency)
    {}

    // Returns what limits a request now. `execute`: nullptr for any request.
    // `execute` must be the same object until noteEnded, which is needed for each request.
    AdmissionFigures figures(const wire::Execute *execute, Time now);

    // Requests are refused while the budget is full. nullptr: none is for this reason.
    void setMemory(ByteBudget *budget) { this->memory = budget; }

    // Records that a request is sent to the upstream now, and that it has ended, whether it was
    // sent or not. `answerBytes`: 0 without an answer. `execute` must be the same object.
    void noteSending(const wire::Execute &execute, Time now);
    void noteEnded(const wire::Execute &execute, std::size_t answerBytes, Time now);

    // Returns whether a request from the own host is a call that a run at the upstream makes.
    // noteCallEnded follows for a call, with the status of its answer.
    bool isCall(const wire::Execute &execute, Time now);
    void noteCallEnded(const wire::Execute &execute, int status, Time now);

    // Returns whether the link limits answers: the configuration has routes with large ones.
    bool isLinkLimited() const { return this->linkMeter.isActive(); }

    // The next three functions concern answers of other hosts that go to callers of this one.
    // Returns how long such an answer would wait for the link.
    Duration relayWait(const wire::Execute &execute, Time now) const;
    void noteRelaying(const wire::Execute &execute, Time now);
    void noteRelayed(const wire::Execute &execute, std::size_t answerBytes, Time now);

    // Records a refusal and returns the retry time that the caller is told.
    Duration retryAfter(const wire::Execute &execute, const Verdict &verdict, Time now);

    // Applies the remaining cold time of the upstream, 0 if it is warm.
    void noteHeartbeat(Duration coldLeft, Time now);

    // Adds to a report what the key table writer needs to know about the upstream's capacity.
    void addKeyCapacity(wire::LoadReport &report, const wire::UpstreamLoad &load, Time now) const;

    // Measures the upstream's speed from the requests that the executor sends.
    SpeedHooks speedHooks(Metrics &metrics) { return this->speed.hooks(metrics); }

    // Applies the instance of the upstream. What was learned of another one is forgotten.
    void noteUpstream(const UpstreamInstance &newInstance);

    // Applies the limits of a new configuration.
    void applyConfiguration();

    // Call after a change of the evacuated data centres. An upstream that was out of use counts as
    // cold until its next heartbeat.
    void applyEvacuations(Time now);
    void addMetrics(Metrics &metrics, Time now) const;

private:
    // Refusals for one reason.
    struct Refusals
    {
        std::uint64_t count = 0;
        std::uint64_t loggedCount = 0; // at the last log line
        Time loggedAt{};
        RetrySpread spread;
    };

    bool isMemoryFull(bool isLarge, Time now) const;
    void logRefusal(const wire::Execute &execute, const Verdict &verdict, Duration retryAfter,
                    Time now);
    std::uint32_t slotsForKeys(const wire::UpstreamLoad &load, Time now) const;

    const StageSettings &settings;
    const ClusterView &view;
    ByteBudget *memory = nullptr;
    ColdGate coldGate;
    bool wasClosed = true; // the data centre was evacuated, or that was unknown
    LinkMeter linkMeter;
    CallRoom callRoom;
    CallSource callSource;
    UpstreamInstance instance;
    std::array<Refusals, admissionReasonNames.entries.size()> refusals; // by reason
    UpstreamSpeed speed;
};

} // namespace kumquat
