// Sections: actions, checks, timeline, SoakRun.
#include "soak/soak_run.h"

#include "base/durations.h"
#include "standins/platform_caller.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <functional>
#include <optional>
#include <unordered_map>

namespace kumquat {
namespace {

constexpr int keyStep = 4'001; // distributes the probed keys over all ranges
constexpr std::uint32_t lastKey = 65'535;

// Users' limit for how long a caller waits when it sends a request on a connection that is being
// closed.
constexpr Duration closeRaceTime = 200ms;

constexpr auto spoiledHandover = "hand\xe9over"; // not UTF-8, of every other seed

std::string inMilliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration)) + " ms";
}

class SoakRun
{
public:
    explicit SoakRun(const SoakSettings &runSettings)
        : settings(runSettings)
        , cluster({.hosts = runSettings.hosts,
                   .dataCentres = {"a", "b", "c"},
                   .directory = runSettings.directory,
                   .hasProxies = true,
                   .workTime = std::chrono::milliseconds(15),
                   .grantsInAnswers = runSettings.grantMode == GrantMode::Heartbeat,
                   .handover = runSettings.seed % 2 == 0 ? "handover" : spoiledHandover})
        , callers(this->cluster, {.threads = runSettings.callers, .seed = runSettings.seed})
    {}

    SoakReport run()
    {
        if (!this->waitUntilServed(this->settings.maxRecoveryTime)) {
            this->addFinding("not every key was served before the first fault");
            return std::move(this->report);
        }
        this->report.events = planSoak(this->settings.seed,
                                       {.length = this->settings.length,
                                        .hosts = static_cast<std::size_t>(this->settings.hosts),
                                        .faultKinds = this->settings.faultKinds,
                                        .linkKinds = this->settings.linkKinds});
        this->callers.start();
        this->started = readBootTime();
        this->runEvents();
        const Time faultsEnded = readBootTime();
        if (!this->waitUntilServed(this->settings.maxRecoveryTime)) {
            this->addFinding("keys were not served again within "
                             + inMilliseconds(this->settings.maxRecoveryTime)
                             + " of the last fault");
        }
        this->report.recoveryTime = readBootTime() - faultsEnded;
        this->checkConfiguration();
        this->callers.stop();
        this->checkRequests();
        this->checkProcesses();
        this->writeTimeline();
        return std::move(this->report);
    }

private:
    void addFinding(const std::string &finding) { this->report.findings.push_back(finding); }

    // ---- Actions ----

    void runEvents()
    {
        struct Action
        {
            Duration at{};
            const SoakEvent *event = nullptr;
            bool isStart = false;
        };
        std::vector<Action> actions;
        for (const SoakEvent &event : this->report.events) {
            actions.push_back({event.at, &event, true});
            actions.push_back({event.end(), &event, false});
        }
        std::stable_sort(actions.begin(), actions.end(),
                         [](const Action &a, const Action &b) { return a.at < b.at; });
        for (const Action &action : actions) {
            const Duration wait = this->started + action.at - readBootTime();
            std::this_thread::sleep_for(std::max(wait, Duration::zero()));
            this->report.maxActionDelay = std::max(this->report.maxActionDelay, -wait);
            this->checkHolds();
            if (action.isStart) {
                this->startFault(*action.event);
            } else {
                this->endFault(*action.event);
            }
        }
        const Duration rest = this->started + this->settings.length - readBootTime();
        std::this_thread::sleep_for(std::max(rest, Duration::zero()));
    }

    void startFault(const SoakEvent &event)
    {
        PlatformHost &host = this->cluster.host(event.host);
        switch (event.fault) {
        case SoakFault::PauseProcess:
            host.process->signal(SIGSTOP);
            break;
        case SoakFault::KillProcess:
            this->checkAlive(host);
            host.process->kill();
            break;
        case SoakFault::StopProcess:
            this->checkAlive(host);
            host.process->signal(SIGTERM);
            break;
        case SoakFault::KillAllProcesses:
            for (PlatformHost &each : this->cluster.hosts()) {
                this->checkAlive(each);
                each.process->kill();
            }
            break;
        case SoakFault::CrashUpstream:
            this->cluster.endUpstream(host);
            break;
        case SoakFault::DrainUpstream:
            host.endpoint->setDraining();
            break;
        case SoakFault::Publish:
            this->cluster.publish(++this->version);
            break;
        case SoakFault::StoreCompacts:
            this->cluster.store.compact();
            break;
        case SoakFault::StoreLink:
            host.toStore->set(event.link);
            break;
        case SoakFault::UpstreamLink:
            host.toUpstream->set(event.link);
            break;
        case SoakFault::ProcessLink:
            host.toProcess->set(event.link);
            break;
        default:
            this->cluster.store.setFault(storeFaultOf(event.fault));
            break;
        }
    }

    static StoreFault storeFaultOf(SoakFault fault)
    {
        switch (fault) {
        case SoakFault::StoreDown:
            return StoreFault::Down;
        case SoakFault::StoreClosesConnections:
            return StoreFault::ClosedConnections;
        case SoakFault::StoreSlow:
            return StoreFault::Slow;
        case SoakFault::StoreLosesAnswers:
            return StoreFault::LostAnswers;
        case SoakFault::StoreUnanswered:
            return StoreFault::Unanswered;
        case SoakFault::StoreGoesBack:
            return StoreFault::Down;
        default:
            return StoreFault::None;
        }
    }

    void endFault(const SoakEvent &event)
    {
        PlatformHost &host = this->cluster.host(event.host);
        switch (event.fault) {
        case SoakFault::PauseProcess:
            host.process->signal(SIGCONT);
            break;
        case SoakFault::KillProcess:
            this->cluster.startProcess(host);
            break;
        case SoakFault::StopProcess:
            this->checkStopped(host);
            this->cluster.startProcess(host);
            break;
        case SoakFault::KillAllProcesses:
            for (PlatformHost &each : this->cluster.hosts()) {
                this->cluster.startProcess(each);
            }
            break;
        case SoakFault::CrashUpstream:
            this->cluster.startUpstream(host, clockAheadAt(event));
            break;
        case SoakFault::DrainUpstream:
            this->checkDrained(host);
            this->cluster.endUpstream(host);
            this->cluster.startUpstream(host);
            break;
        case SoakFault::Publish:
        case SoakFault::StoreCompacts:
            break;
        case SoakFault::StoreGoesBack:
            this->cluster.store.rollBack(1 + event.host);
            this->cluster.store.setFault(StoreFault::None);
            break;
        case SoakFault::StoreLink:
            host.toStore->set({});
            break;
        case SoakFault::UpstreamLink:
            host.toUpstream->set({});
            break;
        case SoakFault::ProcessLink:
            host.toProcess->set({});
            break;
        default:
            this->cluster.store.setFault(StoreFault::None);
            break;
        }
    }

    // Returns how far the wall clock of the host is ahead while its upstream starts. Drawn from the
    // time of the event, so that the plans of earlier seeds stay the same.
    static std::chrono::milliseconds clockAheadAt(const SoakEvent &event)
    {
        constexpr std::array steps{-2s, 0s, 2s};
        return steps.at(static_cast<std::size_t>(toMilliseconds(event.at)) % steps.size());
    }

    bool waitUntilServed(Duration timeout)
    {
        const Time deadline = readBootTime() + timeout;
        for (const PlatformHost &host : this->cluster.hosts()) {
            for (std::uint32_t key = 0; key <= lastKey; key += keyStep) {
                bool isServed = false;
                while (!isServed) {
                    if (readBootTime() >= deadline) {
                        return false;
                    }
                    HttpClient client(host.callers);
                    const SoakRequest request = SoakCallers::send(
                            client, {.id = "probe-" + std::to_string(++this->lastProbe),
                                     .key = key,
                                     .isIdempotent = true});
                    isServed = request.outcome == SoakOutcome::Answered;
                }
            }
        }
        return true;
    }

    // ---- Checks ----

    // Leaves all waiting reads of the store unanswered, publishes a new version shortly after, and
    // requests the route of that version from every host.
    void checkConfiguration()
    {
        this->cluster.store.setFault(StoreFault::Unanswered);
        std::this_thread::sleep_for(this->settings.storeSilence);
        this->cluster.store.setFault(StoreFault::None);
        const Time publish =
                readBootTime() + this->settings.settleTime - this->settings.maxApplyTime;
        std::this_thread::sleep_for(publish - readBootTime());
        this->cluster.publish(++this->version);
        std::this_thread::sleep_for(publish + this->settings.maxApplyTime - readBootTime());
        for (const PlatformHost &host : this->cluster.hosts()) {
            const std::string id = "probe-" + std::to_string(++this->lastProbe);
            const std::string prefix = PlatformCluster::versionPrefix(this->version);
            HttpClient client(host.callers);
            const HttpExchange exchange = client.send(
                    makeCallerRequest({.id = id, .isIdempotent = true, .prefix = prefix}), 2s);
            constexpr int statusNotFound = 404;
            if (exchange.result != ExchangeResult::Answered
                || exchange.answer.status == statusNotFound) {
                this->addFinding(host.node + " does not have version "
                                 + std::to_string(this->version) + " of the configuration "
                                 + inMilliseconds(readBootTime() - publish)
                                 + " after its acknowledgement");
            }
        }
    }

    void checkHolds()
    {
        const std::vector<std::string> conflicts = this->cluster.ledger.conflicts();
        for (std::size_t i = this->conflictsSeen; i < conflicts.size(); ++i) {
            this->addFinding(inMilliseconds(readBootTime() - this->started) + ": " + conflicts[i]);
        }
        this->conflictsSeen = conflicts.size();
    }

    // Checks that a process that no fault has ended still runs.
    void checkAlive(PlatformHost &host)
    {
        if (const std::optional<int> status = host.process->waitForExit(Duration::zero())) {
            this->addFinding(host.node + " ended by itself with status " + std::to_string(*status));
        }
    }

    void checkStopped(PlatformHost &host)
    {
        // The plan gives a stopping process longer than maxStopTime, so it must have ended by now.
        const std::optional<int> status = host.process->waitForExit(Duration::zero());
        if (!status || *status != 0) {
            this->addFinding(host.node + " did not stop gracefully: "
                             + (status ? "status " + std::to_string(*status)
                                       : "still running after "
                                                 + inMilliseconds(this->settings.maxStopTime)));
        }
    }

    void checkDrained(PlatformHost &host)
    {
        const Duration served = host.endpoint->servedAfterDrain();
        if (served > this->settings.maxDrainTime) {
            this->addFinding(host.endpoint->instance() + " started a request "
                             + inMilliseconds(served) + " after its drain was acknowledged");
        }
    }

    void checkProcesses()
    {
        for (PlatformHost &host : this->cluster.hosts()) {
            this->checkAlive(host);
        }
    }

    void checkRequests()
    {
        this->checkHolds();
        std::unordered_map<std::string, std::size_t> runs;
        for (const std::string &id : this->cluster.collectRuns()) {
            ++runs[id];
        }
        for (const SoakRequest &request : this->callers.requests()) {
            ++this->report.outcomes[request.outcome];
            const auto found = runs.find(request.id);
            this->checkRequest(request, found == runs.end() ? 0 : found->second);
        }
    }

    void checkRequest(const SoakRequest &request, std::size_t runs)
    {
        const std::string description = request.id + " (key " + std::to_string(request.key)
                                        + ", host " + std::to_string(request.host) + ", sent at "
                                        + inMilliseconds(request.sent - this->started) + ") ";
        if (!request.isIdempotent && runs > 1) {
            this->addFinding(description + "ran " + std::to_string(runs) + " times");
        }
        if (!request.isIdempotent && request.outcome == SoakOutcome::Refused && runs > 0) {
            this->addFinding(description + "was refused and ran");
        }
        if (request.outcome == SoakOutcome::Answered && runs == 0) {
            this->addFinding(description + "was answered and did not run");
        }
        if (request.outcome == SoakOutcome::Wrong) {
            this->addFinding(description + "got the answer of another request");
        }
        // A request that is sent while its connection is being closed is lost at once and does not
        // run.
        const bool hasRacedClose = runs == 0 && request.ended - request.sent <= closeRaceTime;
        const bool isLost = request.outcome == SoakOutcome::Lost && !hasRacedClose;
        if (isLost && this->hadPlannedWorkOnly(request)) {
            this->addFinding(description
                             + "lost its connection although only planned work was in progress");
        }
    }

    // Returns whether only planned work (graceful stops, draining upstreams, publications, store
    // compactions) took place from recoveryPeriod before the request to its end, and the process
    // that received the request was stopped in that time.
    bool hadPlannedWorkOnly(const SoakRequest &request) const
    {
        constexpr Duration recoveryPeriod = 4s; // until leases and sessions are restored
        bool isStopped = false;
        for (const SoakEvent &event : this->report.events) {
            const bool isNear = this->started + event.at <= request.ended
                                && this->started + event.end() + recoveryPeriod >= request.sent;
            if (!isNear) {
                continue;
            }
            switch (event.fault) {
            case SoakFault::StopProcess:
                isStopped = isStopped || event.host == request.host;
                break;
            case SoakFault::DrainUpstream:
            case SoakFault::Publish:
            case SoakFault::StoreCompacts:
                break;
            default:
                return false;
            }
        }
        return isStopped;
    }

    // ---- Timeline ----

    // Writes one line per second: requests by outcome, and the faults that began.
    void writeTimeline() const
    {
        std::map<std::int64_t, std::map<SoakOutcome, std::size_t>> seconds;
        for (const SoakRequest &request : this->callers.requests()) {
            ++seconds[toMilliseconds(request.sent - this->started) / 1000][request.outcome];
        }
        std::ofstream file(this->settings.directory + "/timeline.csv");
        file << "second";
        for (const auto &entry : soakOutcomeNames.entries) {
            file << "," << entry.name;
        }
        file << ",faults\n";
        for (const auto &[second, outcomes] : seconds) {
            file << second;
            for (const auto &entry : soakOutcomeNames.entries) {
                const auto found = outcomes.find(entry.value);
                file << "," << (found == outcomes.end() ? 0 : found->second);
            }
            file << ",";
            for (const SoakEvent &event : this->report.events) {
                if (toMilliseconds(event.at) / 1000 == second) {
                    file << soakFaultNames.nameOf(event.fault) << " ";
                }
            }
            file << "\n";
        }
    }

    SoakSettings settings;
    PlatformCluster cluster;
    SoakCallers callers;
    SoakReport report;
    Time started{};
    std::size_t conflictsSeen = 0;
    int version = 1;
    int lastProbe = 0;
};

} // namespace

SoakReport runSoak(const SoakSettings &settings)
{
    return SoakRun(settings).run();
}

} // namespace kumquat
