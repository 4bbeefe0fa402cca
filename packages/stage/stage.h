// Main object of the process that runs beside an upstream on the users' platform: connects the
// components and runs until a signal ends the process.
//
//   absl::StatusOr<std::unique_ptr<Stage>> stage = Stage::create(settings, path);
//   (*stage)->run();
//
// Sections: Stage.
#pragma once

#include "keyspace/lease.h"
#include "net/answer_delivery.h"
#include "net/http_server.h"
#include "platform/store.h"
#include "routing/host_picker.h"
#include "stage/admission_gate.h"
#include "stage/admission_state.h"
#include "stage/awaited_table.h"
#include "stage/broadcast.h"
#include "stage/caller_freshness.h"
#include "stage/cluster_view.h"
#include "stage/coordinator.h"
#include "stage/executor.h"
#include "stage/host_write_back.h"
#include "stage/ingress.h"
#include "stage/key_owner.h"
#include "stage/late_messages.h"
#include "stage/leave_confirmation.h"
#include "stage/link.h"
#include "stage/metrics.h"
#include "stage/relay_choice.h"
#include "stage/request_memory_report.h"
#include "stage/settings.h"
#include "stage/shutdown_schedule.h"
#include "stage/store_follower.h"
#include "stage/ticker.h"
#include "stage/upstream_monitor.h"

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

    // Serves requests until SIGTERM or SIGINT, then answers the requests in flight and exits the
    // process, at the latest shortly before the platform sends SIGKILL. Does not return. Blocks
    // these signals and SIGHUP in all threads; call it from the main thread.
    void run();

private:
    Stage(StageSettings stageSettings, std::string settingsPath);

    absl::Status listen();
    void startTimers();

    // Messages of other processes.
    void onMessage(const LinkPeer &peer, LinkMessage message, const LinkReply &reply);
    void onExecute(const LinkPeer &peer, LinkMessage message, const LinkReply &reply);
    void onVoteRequest(const wire::Vouch &request, const LinkReply &reply);
    void onState(const std::string &node, const wire::StateReply &state);
    bool hasVoterReleased(const wire::ReleaseQuery &query) const;

    // State exchange: configuration, hosts and key tables that other processes know.
    wire::Known known() const;
    void noteKnown(const std::string &node, const wire::Known &known);
    void noteTableAge(const wire::Known &known, Time askedAt);
    bool isTableOverdue(std::uint64_t end);
    void fetchState(const std::string &node);
    void broadcast(const std::shared_ptr<const wire::StateReply> &update,
                   const std::vector<std::string> &nodes);
    void sendBranch(const std::shared_ptr<const wire::StateReply> &update,
                    const BroadcastBranch &branch);
    void gossip(Time now);
    void broadcastCrash(const CrashReport &crash);
    void broadcastCleared(Fingerprint fingerprint);
    void addQuarantined(wire::Vouch &request, Time now);
    void applyQuarantined(const wire::Vouch &request, Time now);
    std::vector<std::string> knownNodes() const;

    // The upstream beside this process.
    HttpResponse onHeartbeat(const HttpRequest &request);
    Duration heartbeatLateness(Time now);
    void onEraChanged(std::uint32_t era);
    void beginRestore();
    void askForHosts();
    void restoreUpstream(Time now);
    bool waitForLeaveRecord();
    bool isLeaveStored() const;
    void tellLeave(Time now);
    void noteLeaveTold(const std::string &node, const UpstreamInstance &instance, bool isConfirmed,
                       Time sentAt);
    bool applyRecordedLeave(Time now);
    void checkOwnRecord(const KnownHost &host);
    const ServiceInfo *ownService() const;
    void onUpstreamChanged(Time now);
    void writeHostRecord();
    wire::LoadReport makeReport() const;

    HttpResponse onReadiness(const HttpRequest &request);
    bool isReady() const;
    void advance(Time now);
    void noteTimerDelay(Time now);
    void noteFiberWait(Time now);
    void noteLateMessages(Time now);
    void noteLateAnswers(Time now);
    void noteLinkTraffic(Time now);
    void applyCallerLimits();
    void checkSettingsFile();
    void reload();
    void beginShutdown();
    bool acceptsRequest(Time deadline) const;
    std::optional<AdmissionRefusal> isOverloaded(WorkKind kind);
    std::size_t countUnanswered() const; // requests in flight and answers that have not been sent

    StageSettings settings;
    std::string path;
    std::filesystem::file_time_type settingsWritten{};
    std::uint64_t incarnation;
    Time startedAt;
    ByteBudget memory; // for the bytes that callers make this process hold
    LinkTraffic traffic;
    AnswerDelivery deliveries; // of answers to callers
    FiberThread thread;
    Ticker ticker;
    Metrics metrics;
    RequestMemoryReport memoryReport;
    platform::StoreClient store;
    LinkPool links;
    ClusterView view;
    UpstreamMonitor monitor;
    LeaseVoter voter;
    TableFreshness freshness;
    HostPicker picker;
    RelayChoice relays;
    AdmissionGate gate;
    StoreFollower follower;
    HostWriteBack writeBack;
    AdmissionState admission;
    KeyOwner keys;
    CallerFreshness callerFreshness;
    Executor executor;
    Coordinator coordinator;
    Ingress ingress;
    LinkServer linkServer;
    std::shared_ptr<HttpServer> callerServer;
    std::shared_ptr<HttpServer> readinessServer;
    std::shared_ptr<HttpServer> heartbeatServer;
    std::shared_ptr<HttpServer> metricsServer;
    std::optional<ShutdownSchedule> shutdownSchedule; // set once the process has been told to stop
    bool isRecordDue = false; // the record of this host in the store is out of date
    bool isWritingRecord = false;
    bool isRestoring = false; // waits for the host records of other hosts
    std::uint64_t recordChange = 0;
    std::uint64_t storedRecordEnd = 0;    // offset after the last stored record of this process
    UpstreamInstance recordedLeave;       // instance whose leave is in the store
    LeaveConfirmation leaveConfirmation;  // by other hosts
    std::vector<FiberEvent *> leaveWaits; // notified when one of the two above changes
    Time lastFetchAt = -1h;
    std::set<std::string> fetchesInProgress; // nodes that have not answered a state query yet
    AwaitedTable awaitedTable;
    Time lastHeartbeatAt{};
    Time lastAdvanceAt = readBootTime();
    // Longest wait of a fiber for the thread since the last log line.
    Duration maxFiberWait{};
    Time waitLoggedAt = -1h;
    LateMessages lateMessages;
    LateAnswers lateAnswers; // since the last log line
    Time deliveriesLoggedAt = -1h;
    std::size_t gossipRound = 0;
};

} // namespace kumquat
