// Handles a request in the process that owns its key: from the ownership check to the answer of the
// upstream.
//
// Lock order: the engine lock of the driver, journalMutex, upstreamMutex, the locks of the upstream
// and of the requests in flight. No lock is held while a fiber waits.
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
    std::uint32_t initialConcurrency = 0; // 0: the slots that the upstream announces
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

    // Runs a request whose key should be owned by this process, in a fiber of the worker. Refuses
    // the request if the key is not owned here.
    RoutedAnswer serve(std::size_t worker, const RoutedRequest &request);

    // Applies an announcement of the upstream.
    void announce(const Announcement &announcement);

    // Refuses new requests for the upstream from `time` on, even if the record that moves its slots
    // has not been appended to the log yet. The next call of announce() ends this.
    void refuseFrom(Time time) { this->refuseAt = time.count(); }

    // Removes the upstream after it was lost. It may announce itself again.
    void dropUpstream();

    // ---- hooks of the ownership engine, called with the engine lock held ----

    bool hasInFlight(const SlotKeys &keys);
    bool hasAnyInFlight(const std::string &service);
    std::vector<wire::RememberedRequest> remembered(const SlotKeys &keys);
    void importRemembered(const std::vector<wire::RememberedRequest> &requests);

    // ---- control thread ----

    // Applies the state of this process's session: starts a new journal for a new session and
    // updates the peer sets and peers of the journal.
    void followSession(const OwnSession &session);

    // Handles a journal message. Returns false for any other message.
    bool receive(const wire::MeshMessage &message);

    void applyCrash(const wire::CrashSuspect &suspect);

    // Imports the crash counts of a checkpoint. A checkpoint contains no times, so each quarantine
    // starts with its full duration.
    void importCrashes(const CrashCounts &crashes);

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
    RoutedAnswer dispatchPermitted(std::size_t worker, Upstream &target,
                                   const RoutedRequest &request, RequestNumber number, Epoch epoch);
    RoutedAnswer dispatch(std::size_t worker, Upstream &target, const RoutedRequest &request,
                          RequestNumber number, Epoch epoch);
    ServeAnswer waitForOwnership(asio::io_context &io, const RoutedRequest &request);
    std::optional<RoutedAnswer> answerFromMemory(const RoutedRequest &request);
    ErrorKind verifyNew(asio::io_context &io, const RoutedRequest &request, Slot slot);
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
    void noteCrash(const std::vector<Fingerprint> &running);
    bool isQuarantined(const RoutedRequest &request) const;
    RunPermit waitForPermit(asio::io_context &io, const RoutedRequest &request);
    void reportCrashes();
    void reportLost(const Upstream *lost);

    OwnerPathSettings settings;
    OwnerPathHooks hooks;
    OwnershipDriver *driver = nullptr;
    std::vector<FiberThread *> workers;
    std::unique_ptr<DueTimer> timer;      // calls advance() when writer or lookup are due
    std::unique_ptr<DueTimer> crashTimer; // calls reportCrashes() when crashGuard has a report
    InFlight inFlight;
    std::atomic<int> heldRequests{0}; // requests that wait for a handover or takeover
    std::atomic<Duration::rep> refuseAt{std::numeric_limits<Duration::rep>::max()};

    std::mutex journalMutex; // guards the members from here to lookupWaiters
    RequestMemory memory;
    std::unique_ptr<JournalWriter> writer; // journal of the current session
    std::uint64_t writerSession = 0;
    // Journal of the previous session. Requests that were in flight when that session ended still
    // write and erase their ids there.
    std::unique_ptr<JournalWriter> previousWriter;
    std::uint64_t previousSession = 0;
    std::uint32_t generation = 0;          // of the peer sets that the writer has
    std::size_t peerSets = 0;              // number of these peer sets
    std::vector<JournalId> pendingImports; // ids from handovers, not yet written to the peers
    std::size_t importCount = 0;           // how many of them the current write contains
    WriteTicket importTicket = 0;          // 0: no write in progress
    JournalStore store;
    JournalLookup lookup;
    std::map<std::pair<std::uint64_t, WriteTicket>, std::shared_ptr<Waiter>>
            writeWaiters; // by session and ticket
    std::unordered_map<LookupTicket, std::shared_ptr<Waiter>> lookupWaiters;

    mutable std::mutex upstreamMutex; // guards crashGuard and the pointer `upstream`
    UpstreamPtr upstream;
    CrashGuard crashGuard;
};

} // namespace kumquat
