// Sections: actions, checks, timeline, SoakRun.
#include "soak/soak_run.h"

#include "base/durations.h"
#include "standins/platform_caller.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <optional>
#include <unordered_map>

namespace kumquat {
namespace {

constexpr int keyStep = 4'001; // spreads the keys that are asked for over all ranges
constexpr std::uint32_t lastKey = 65'535;
constexpr Duration crossingTime = 200ms; // the users' bound for it

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
                   .grantsInAnswers = runSettings.grantWay == GrantMode::Heartbeat})
        , callers(this->cluster, {.threads = runSettings.callers, .seed = runSettings.seed})
    {}

    SoakReport run()
    {
        if (!this->waitUntilServed(this->settings.recoverWithin)) {
            this->find("not every key was served before the first fault");
            return std::move(this->report);
        }
        this->report.events = planSoak(this->settings.seed,
                                       {.length = this->settings.length,
                                        .hosts = static_cast<std::size_t>(this->settings.hosts),
                                        .faultKinds = this->settings.faultKinds,
                                        .linkKinds = this->settings.linkKinds});
        this->callers.start();
        this->started = readBootTime();
        this->playEvents();
        const Time calm = readBootTime();
        if (!this->waitUntilServed(this->settings.recoverWithin)) {
            this->find("keys were not served again within "
                       + inMilliseconds(this->settings.recoverWithin) + " of the last fault");
        }
        this->report.recovery = readBootTime() - calm;
        this->checkConfiguration();
        this->callers.stop();
        this->checkRequests();
        this->checkProcesses();
        this->writeTimeline();
        return std::move(this->report);
    }

private:
    void find(const std::string &finding) { this->report.findings.push_back(finding); }

    // ---- Actions ----

    void playEvents()
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
            this->report.latestAction = std::max(this->report.latestAction, -wait);
            this->checkHolds();
            if (action.isStart) {
                this->begin(*action.event);
            } else {
                this->undo(*action.event);
            }
        }
        const Duration rest = this->started + this->settings.length - readBootTime();
        std::this_thread::sleep_for(std::max(rest, Duration::zero()));
    }

    void begin(const SoakEvent &event)
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
        case SoakFault::StoreSilent:
            return StoreFault::Silent;
        case SoakFault::StoreSlow:
            return StoreFault::Slow;
        case SoakFault::StoreLosesAnswers:
            return StoreFault::LostAnswers;
        case SoakFault::StoreUnanswered:
            return StoreFault::Unanswered;
        default:
            return StoreFault::None;
        }
    }

    void undo(const SoakEvent &event)
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
            this->cluster.startUpstream(host);
            break;
        case SoakFault::DrainUpstream:
            this->checkDrained(host);
            this->cluster.endUpstream(host);
            this->cluster.startUpstream(host);
            break;
        case SoakFault::Publish:
        case SoakFault::StoreCompacts:
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

    bool waitUntilServed(Duration longest)
    {
        const Time deadline = readBootTime() + longest;
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
                    isServed = request.end == SoakEnd::Answered;
                }
            }
        }
        return true;
    }

    // ---- Checks ----

    // Leaves all reads of the store that wait unanswered, publishes a version soon after and asks
    // every host for its route.
    void checkConfiguration()
    {
        this->cluster.store.setFault(StoreFault::Unanswered);
        std::this_thread::sleep_for(this->settings.silence);
        this->cluster.store.setFault(StoreFault::None);
        const Time publish = readBootTime() + this->settings.calmAfter - this->settings.applyWithin;
        std::this_thread::sleep_for(publish - readBootTime());
        this->cluster.publish(++this->version);
        std::this_thread::sleep_for(publish + this->settings.applyWithin - readBootTime());
        for (const PlatformHost &host : this->cluster.hosts()) {
            const std::string id = "probe-" + std::to_string(++this->lastProbe);
            const std::string prefix = PlatformCluster::versionPrefix(this->version);
            HttpClient client(host.callers);
            const HttpExchange exchange = client.send(
                    makeCallerRequest({.id = id, .isIdempotent = true, .prefix = prefix}), 2s);
            constexpr int statusNotFound = 404;
            if (exchange.result != ExchangeResult::Answered
                || exchange.answer.status == statusNotFound) {
                this->find(host.node + " does not have version " + std::to_string(this->version)
                           + " of the configuration " + inMilliseconds(readBootTime() - publish)
                           + " after its acknowledgement");
            }
        }
    }

    void checkHolds()
    {
        const std::vector<std::string> conflicts = this->cluster.ledger.conflicts();
        for (std::size_t i = this->conflictsSeen; i < conflicts.size(); ++i) {
            this->find(inMilliseconds(readBootTime() - this->started) + ": " + conflicts[i]);
        }
        this->conflictsSeen = conflicts.size();
    }

    // A process that nobody told to end still runs.
    void checkAlive(PlatformHost &host)
    {
        if (const std::optional<int> status = host.process->waitForExit(Duration::zero())) {
            this->find(host.node + " ended by itself with status " + std::to_string(*status));
        }
    }

    void checkStopped(PlatformHost &host)
    {
        // The time that the plan gives is longer than the bound.
        const std::optional<int> status = host.process->waitForExit(Duration::zero());
        if (!status || *status != 0) {
            this->find(host.node + " did not stop gracefully: "
                       + (status ? "status " + std::to_string(*status)
                                 : "it runs after " + inMilliseconds(this->settings.stopWithin)));
        }
    }

    void checkDrained(PlatformHost &host)
    {
        const Duration served = host.endpoint->servedAfterDrain();
        if (served > this->settings.drainWithin) {
            this->find(host.endpoint->instance() + " got a request " + inMilliseconds(served)
                       + " after its leaving was acknowledged");
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
            ++this->report.ends[request.end];
            const auto found = runs.find(request.id);
            this->checkRequest(request, found == runs.end() ? 0 : found->second);
        }
    }

    void checkRequest(const SoakRequest &request, std::size_t runs)
    {
        const std::string what = request.id + " (key " + std::to_string(request.key) + ", host "
                                 + std::to_string(request.host) + ", sent at "
                                 + inMilliseconds(request.sent - this->started) + ") ";
        if (!request.isIdempotent && runs > 1) {
            this->find(what + "ran " + std::to_string(runs) + " times");
        }
        if (!request.isIdempotent && request.end == SoakEnd::Refused && runs > 0) {
            this->find(what + "was refused and ran");
        }
        if (request.end == SoakEnd::Answered && runs == 0) {
            this->find(what + "was answered and did not run");
        }
        if (request.end == SoakEnd::Wrong) {
            this->find(what + "got the answer of another request");
        }
        // A request that crosses the close of its connection is lost at once and does not run.
        const bool isCrossing = runs == 0 && request.ended - request.sent <= crossingTime;
        const bool isLost = request.end == SoakEnd::Lost && !isCrossing;
        if (isLost && this->isPlannedWorkAlone(request)) {
            this->find(what + "lost its connection beside planned work only");
        }
    }

    // Says whether nothing but graceful stops, leaving upstreams and publications happened from
    // some time before the request to its end, and the process that took it was told to stop
    // meanwhile.
    bool isPlannedWorkAlone(const SoakRequest &request) const
    {
        constexpr Duration afterEffect = 4s; // until leases and sessions are back
        bool isStopped = false;
        for (const SoakEvent &event : this->report.events) {
            const bool isNear = this->started + event.at <= request.ended
                                && this->started + event.end() + afterEffect >= request.sent;
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

    // One line a second: requests by their end, and the faults that began.
    void writeTimeline() const
    {
        std::map<std::int64_t, std::map<SoakEnd, std::size_t>> seconds;
        for (const SoakRequest &request : this->callers.requests()) {
            ++seconds[toMilliseconds(request.sent - this->started) / 1000][request.end];
        }
        std::ofstream file(this->settings.directory + "/timeline.csv");
        file << "second";
        for (const auto &entry : soakEndNames.entries) {
            file << "," << entry.name;
        }
        file << ",faults\n";
        for (const auto &[second, ends] : seconds) {
            file << second;
            for (const auto &entry : soakEndNames.entries) {
                const auto found = ends.find(entry.value);
                file << "," << (found == ends.end() ? 0 : found->second);
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
