// The process on the users' platform: connects the parts and runs until it is told to stop.
//
//   absl::StatusOr<std::unique_ptr<Stage>> stage = Stage::create(settings, path);
//   return (*stage)->run();
//
// Sections: Stage.
#pragma once

#include "keyspace/lease.h"
#include "net/http_server.h"
#include "platform/store.h"
#include "routing/host_picker.h"
#include "stage/awaited_table.h"
#include "stage/caller_news.h"
#include "stage/cluster_view.h"
#include "stage/coordinator.h"
#include "stage/executor.h"
#include "stage/ingress.h"
#include "stage/key_owner.h"
#include "stage/late_messages.h"
#include "stage/link.h"
#include "stage/metrics.h"
#include "stage/relay_choice.h"
#include "stage/settings.h"
#include "stage/spread.h"
#include "stage/stop_plan.h"
#include "stage/store_follower.h"
#include "stage/ticker.h"
#include "stage/upstream_monitor.h"
#include "stage/work_gate.h"

#include <absl/status/statusor.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kumquat {

class Stage
{
public:
    // Error: SettingsInvalid if an address cannot be bound.
    static absl::StatusOr<std::unique_ptr<Stage>> create(StageSettings settings, std::string path);

    // Serves until SIGTERM or SIGINT, then until no request is in flight and its keys have moved.
    // Blocks these signals and SIGHUP in all threads; call it from the main thread.
    void run();

private:
    Stage(StageSettings stageSettings, std::string settingsPath);

    absl::Status listen();
    void startTimers();

    // Messages of other processes.
    void onMessage(const LinkPeer &peer, LinkMessage message, const LinkReply &reply);
    void onExecute(const LinkPeer &peer, LinkMessage message, const LinkReply &reply);
    void onVouch(const wire::Vouch &vouch, const LinkReply &reply);
    void onState(const std::string &node, const wire::StateReply &state);
    bool hasVoterReleased(const wire::ReleaseQuery &query) const;

    // What others know.
    wire::Known known() const;
    void noteKnown(const std::string &node, const wire::Known &known);
    bool isTableOverdue(std::uint64_t end);
    void fetchState(const std::string &node);
    void spread(const std::shared_ptr<const wire::StateReply> &news,
                const std::vector<std::string> &nodes);
    void sendPart(const std::shared_ptr<const wire::StateReply> &news, const SpreadPart &part);
    void gossip(Time now);
    std::vector<std::string> knownNodes() const;

    // The upstream beside this process.
    HttpResponse onHeartbeat(const HttpRequest &request);
    Duration latenessOfHeartbeat(Time now);
    const ServiceInfo *ownService() const;
    void onUpstreamChanged(Time now);
    void writeHostRecord();
    wire::LoadReport makeReport() const;

    HttpResponse onReadiness(const HttpRequest &request);
    bool isReady() const;
    void advance(Time now);
    void noteDelay(Time now);
    void noteFiberWait(Time now);
    void noteLateMessages(Time now);
    void applyCallerLimits();
    void checkSettingsFile();
    void reload();
    void beginStop();
    bool takesRequest(Time deadline) const;
    std::optional<WorkRefusal> isBehind(WorkKind kind);
    std::size_t countUnanswered() const; // requests in flight, and answers that have not left

    StageSettings settings;
    std::string path;
    std::filesystem::file_time_type settingsWritten{};
    std::uint64_t incarnation;
    Time startedAt;
    FiberThread thread;
    Ticker ticker;
    Metrics metrics;
    platform::StoreClient store;
    LinkPool links;
    ClusterView view;
    UpstreamMonitor monitor;
    LeaseVoter voter;
    HostPicker picker;
    RelayChoice relays;
    WorkGate gate;
    StoreFollower follower;
    KeyOwner keys;
    CallerNews callerNews;
    Executor executor;
    Coordinator coordinator;
    Ingress ingress;
    LinkServer linkServer;
    std::shared_ptr<HttpServer> callerServer;
    std::shared_ptr<HttpServer> readinessServer;
    std::shared_ptr<HttpServer> heartbeatServer;
    std::shared_ptr<HttpServer> metricsServer;
    std::optional<StopPlan> stopPlan; // set once the process was told to stop
    bool isRecordDue = false;         // others do not know yet what this host has to say
    bool isRecordWriting = false;
    std::uint64_t recordChange = 0;
    Time fetchedAt = -1h;
    std::set<std::string> fetching; // nodes that were asked for news and have not answered
    AwaitedTable awaitedTable;
    Time heartbeatAt{};               // of the newest heartbeat
    Time advancedAt = readBootTime(); // last
    Duration longestWait{};           // of a fiber for the thread, not logged yet
    Time waitLoggedAt = -1h;
    LateMessages lateMessages; // of other processes
    std::size_t gossipTurn = 0;
};

} // namespace kumquat
