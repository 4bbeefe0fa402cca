// The owner's side of a request: from the ownership check to the upstream's answer.
//
// Locks, in this order: engine lock of the driver, then journalMutex, then upstreamMutex, then the
// locks of the upstream and of the requests in flight. No lock is held while a fiber waits.
//
// Sections: settings and hooks, OwnerPath.
#pragma once

#include "net/fibers.h"
#include "node/due_timer.h"
#include "node/in_flight.h"
#include "node/ownership_driver.h"
#include "node/request.h"
#include "traffic/crash_guard.h"
#include "traffic/journal.h"
#include "traffic/limiter.h"
#include "traffic/request_memory.h"

#include <atomic>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat {

class Upstream;
struct Announcement;

// ---- Settings and hooks ----

struct OwnerPathSettings
{
    std::string node;
    std::uint64_t incarnation = 0;
    std::size_t queueLength = 128;
    std::uint32_t initialConcurrency = 0; // 0: the announced slots
};

struct OwnerPathHooks
{
    std::function<void(const std::string &node, wire::MeshMessage &&message)> send; // any thread
    std::function<void(const wire::LogRecord &record)> append;                      // any thread
    std::function<void()> reportUpstreamLost;                                       // any thread
    std::function<void(Slot slot, std::uint64_t keyHash)> countRequest;             // any thread
};

// ---- OwnerPath ----

class OwnerPath
{
public:
    OwnerPath(OwnerPathSettings settings, OwnerPathHooks hooks);
    ~OwnerPath();

    // Sets the driver and the threads; call once, before requests arrive.
    void connect(OwnershipDriver &driver, FiberThread &control,
                 const std::vector<std::unique_ptr<FiberThread>> &workers);

    // Runs a request of a key that should be owned here, in a fiber of the worker.
    RoutedAnswer serve(std::size_t worker, const RoutedRequest &request);

    // Takes over what the upstream announced.
    void announce(const Announcement &announcement);

    // Refuses new requests for the upstream from this time on, whether or not the log has taken the
    // record that hands its slots over. The next announce() without a drain ends this.
    void refuseFrom(Time time) { this->refuseAt = time.count(); }

    // Forgets the upstream after it was lost; it may announce itself again.
    void dropUpstream();

    // ---- hooks of the ownership engine, called with the engine lock held ----

    bool hasInFlight(const SlotKeys &keys);
    bool hasAnyInFlight(const std::string &service);
    std::vector<wire::RememberedRequest> remembered(const SlotKeys &keys);
    void importRemembered(const std::vector<wire::RememberedRequest> &requests);

    // ---- control thread ----

    // Follows the own session: a new journal for a new session, its peer sets and peers.
    void followSession(const OwnSession &session);

    // Takes a journal message; returns false for any other.
    bool receive(const wire::MeshMessage &message);

    void applyCrash(const wire::CrashSuspect &suspect);

    // Returns the number of requests that may run at the upstream or wait for it.
    std::size_t inFlightCount() const { return this->inFlight.count(); }

    // Returns how much of the learned concurrency limit is in use, 0 to 1.
    double utilisation() const;

private:
    struct Waiter;
    using UpstreamPtr = std::shared_ptr<Upstream>;

    UpstreamPtr findUpstream() const;
    RoutedAnswer serveRegistered(std::size_t worker, const RoutedRequest &request,
                                 RequestNumber number, bool &mayStillRun);
    RoutedAnswer dispatchWithRetries(std::size_t worker, const RoutedRequest &request,
                                     RequestNumber number, Epoch epoch, bool &mayStillRun);
    RoutedAnswer dispatch(std::size_t worker, Upstream &target, const RoutedRequest &request,
                          RequestNumber number, Epoch epoch);
    ServeAnswer waitForOwnership(asio::io_context &io, const RoutedRequest &request);
    std::optional<RoutedAnswer> answerFromMemory(const RoutedRequest &request);
    ErrorKind proveNew(asio::io_context &io, const RoutedRequest &request, Slot slot);
    ErrorKind writeJournal(asio::io_context &io, const RoutedRequest &request);
    void remember(const RoutedRequest &request, const RoutedAnswer &answer);
    void forget(const RoutedRequest &request);
    void sendJournalOutput();
    void takeWriterOutput(JournalWriter *source, std::uint64_t session,
                          std::vector<JournalMessage> &messages);
    void wakeLookups(const LookupOutput &found);
    void startImport(Time now);
    void finishImport(bool isWritten);
    void advance(Time now);
    void blame(const std::vector<Fingerprint> &running);
    bool isQuarantined(const RoutedRequest &request) const;
    void reportCrashes();
    void reportLost(const Upstream *lost);

    OwnerPathSettings settings;
    OwnerPathHooks hooks;
    OwnershipDriver *driver = nullptr;
    std::vector<FiberThread *> workers;
    std::unique_ptr<DueTimer> timer;      // of writer and lookup
    std::unique_ptr<DueTimer> crashTimer; // of crashGuard
    InFlight inFlight;
    std::atomic<int> heldRequests{0}; // wait for a handover or takeover
    std::atomic<Duration::rep> refuseAt{std::numeric_limits<Duration::rep>::max()};

    std::mutex journalMutex; // guards the members below, up to lookupWaiters
    RequestMemory memory;
    std::unique_ptr<JournalWriter> writer; // of the own session
    std::uint64_t writerSession = 0;
    // Of the session before: requests that were in flight at its end still write and erase there.
    std::unique_ptr<JournalWriter> endedWriter;
    std::uint64_t endedSession = 0;
    std::uint32_t generation = 0; // peer sets that the writer has
    std::size_t peerSets = 0;
    std::vector<JournalId> imports; // from handovers, not yet at the own peers
    std::size_t importCount = 0;    // of them, in the write that is under way
    WriteTicket importTicket = 0;   // 0: none under way
    JournalStore store;
    JournalLookup lookup;
    std::map<std::pair<std::uint64_t, WriteTicket>, std::shared_ptr<Waiter>>
            writeWaiters; // by session
    std::unordered_map<LookupTicket, std::shared_ptr<Waiter>> lookupWaiters;

    mutable std::mutex upstreamMutex; // guards upstream (the pointer) and crashGuard
    UpstreamPtr upstream;
    CrashGuard crashGuard;
};

} // namespace kumquat
