// Drives the ownership engine: passes records, messages and ticks to it, carries out its commands,
// and answers queries of the worker threads under a shared lock.
//
// Lock order: the engine lock of the driver is taken before the locks of OwnerPath.
#pragma once

#include "net/fibers.h"
#include "net/log_client.h"
#include "net/mesh.h"
#include "node/due_timer.h"
#include "node/log_relay.h"
#include "ownership/engine.h"
#include "rules/rules.h"
#include "traffic/journal.h"
#include "wire/trace.pb.h"

#include <atomic>
#include <fstream>
#include <functional>
#include <memory>
#include <shared_mutex>
#include <string>
#include <vector>

namespace kumquat {

// Called on the control thread, without the engine lock.
struct DriverHooks
{
    std::function<void(const wire::MeshMessage &message)> receiveOther; // not for the engine
    std::function<void(const OwnSession &session)> reportSession; // after each input of the engine
    std::function<void(const wire::CrashSuspect &suspect)> reportCrash;
    std::function<void(SessionId session)> reportFenced;
};

// One member of the cluster, as GET /status reports it.
struct MemberView
{
    std::string node;
    std::string adminAddress;
    std::string service;
    SessionId session = 0;
    std::uint32_t slots = 0;
};

struct DriverStatus
{
    SessionId session = 0;
    std::string service;
    std::uint64_t rulesVersion = 0;
    Offset logOffset = 0; // offset of the next record to read
    bool logAnswering = false;
    Duration lease{}; // remaining time of the lease
    bool draining = false;
    std::uint32_t slots = 0;
    std::vector<MemberView> members;
};

class OwnershipDriver
{
public:
    // Error: SettingsInvalid if the engine refuses its settings.
    static absl::StatusOr<std::unique_ptr<OwnershipDriver>>
    create(FiberThread &thread, Mesh &mesh, EngineSettings settings, EngineHooks engineHooks,
           LogClientSettings logSettings, DriverHooks hooks);

    // Records the inputs of the engine in a file, for replay. Call before start().
    // Error: SettingsInvalid if the file cannot be written.
    absl::Status recordTrace(const std::string &path);

    // Starts the engine and the log reader; call once, before the thread starts.
    void start();

    // ---- inputs, on the control thread ----

    void receive(wire::MeshMessage &&message);
    void setUpstream(const std::optional<UpstreamInfo> &upstream);
    void requestDrain();
    void requestMove(const std::vector<Slot> &slots, SessionId target);
    void requestBind(std::uint64_t keyHash);
    void requestUnbind(std::uint64_t keyHash);
    void setJournalComplete(const OwnSession &session);
    void append(const wire::LogRecord &record);

    // Advances the engine soon, for example after a request has ended that a handover may be
    // waiting for. Callable from any thread.
    void wake();

    // Sends a message to a node. A message to an unknown node is dropped. Callable from any thread.
    void sendTo(const std::string &receiver, const wire::MeshMessage &message);

    // ---- queries, from any thread ----

    ServeAnswer mayServe(std::string_view service, std::uint64_t keyHash) const;
    RouteAnswer route(std::string_view service, std::uint64_t keyHash) const;
    Slot slotOf(std::string_view service, std::uint64_t keyHash) const;

    // Returns the sessions whose journals must be queried before a request with a new id may run
    // for a key of the slot.
    std::vector<LineageSession> findLineage(std::string_view service, Slot slot) const;

    bool hasReleased(SessionId session) const;
    std::string meshAddressOf(std::string_view node) const; // empty: unknown node
    std::string nodeOf(SessionId session) const;            // empty: unknown session
    bool isLogAnswering() const { return this->logAnswering; }
    SessionId session() const;
    Offset nextOffset() const;
    bool isDraining() const;
    bool isDrained() const;
    DriverStatus status() const;
    RulesState rulesText() const;
    std::optional<RouteAnswer> findOwner(const std::string &service, const std::string &key,
                                         std::string &adminAddress) const;

    // Returns the rules in force, or nullptr before the first rules have been read.
    std::shared_ptr<const RuleSet> rules() const;

    std::uint64_t appends() const { return this->log.appends(); }

    // Calls a function with the engine, under the shared lock.
    template <typename Function>
    auto withEngine(Function function) const
    {
        const std::shared_lock lock(this->engineMutex);
        return function(static_cast<const OwnershipEngine &>(*this->engine));
    }

private:
    OwnershipDriver(FiberThread &thread, Mesh &mesh, std::unique_ptr<OwnershipEngine> engine,
                    std::string node, LogClientSettings logSettings, DriverHooks hooks);

    template <typename Function>
    void applyInput(Function function);
    void writeTrace(const wire::TraceEvent &event);
    void carryOut(EngineOutput &&output);
    void armTick();
    void advanceEngine();
    void acceptRecord(std::uint64_t offset, const wire::LogRecord &record);
    void updateRules(std::uint64_t previousVersion);
    void noteOffset(const wire::MeshMessage &message);
    bool receiveRelay(const wire::MeshMessage &message);
    void acceptRelayed(const wire::RelayReply &reply);
    void advanceRelay(Time now);

    FiberThread &thread;
    Mesh &mesh;
    std::string node;
    DriverHooks hooks;
    mutable std::shared_mutex engineMutex; // guards engine and trace
    std::ofstream trace;                   // open only if inputs are recorded
    std::unique_ptr<OwnershipEngine> engine;
    LogClient log;
    DueTimer tick;
    LogRelay relay;
    DueTimer relayTick;
    std::atomic<bool> wakePosted{false};
    std::atomic<bool> logAnswering{false};
    mutable std::shared_mutex rulesMutex; // guards currentRules
    std::shared_ptr<const RuleSet> currentRules;
};

} // namespace kumquat
