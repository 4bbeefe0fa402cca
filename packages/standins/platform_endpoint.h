// Stand-in for an upstream on the users' platform. It holds keys while they are granted to it, runs
// only requests for these keys and sends heartbeats.
//
//   HoldLedger ledger;
//   PlatformEndpoint endpoint("i-1", "testlog", ledger);
//   endpoint.sendHeartbeatsTo(address);
//   ledger.conflicts(); // describes keys that two upstreams held at the same time
//
// Sections: HoldLedger, PlatformEndpoint.
#pragma once

#include "standins/http.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kumquat {

// ---- HoldLedger ----

// Records which upstream holds which keys until when, for all upstreams of a test. Thread-safe.
class HoldLedger
{
public:
    using Clock = std::chrono::steady_clock;

    // Records a grant. Returns false if the upstream has already seen a higher fence for one of the
    // keys.
    bool grant(const std::string &upstream, std::uint32_t first, std::uint32_t last,
               std::uint64_t fence, Clock::duration hold);
    void release(const std::string &upstream, std::uint32_t first, std::uint32_t last);
    void releaseAll(const std::string &upstream);

    // One range of keys that an upstream holds under one fence.
    struct GrantedRange
    {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;

        bool operator==(const GrantedRange &) const = default;
    };

    std::vector<GrantedRange> grantedRanges(const std::string &upstream);
    bool holds(const std::string &upstream, std::uint32_t key);

    // Returns one line for each invalid grant: another upstream still held some of the keys, or
    // the fence is not above the fences of the other upstreams.
    std::vector<std::string> conflicts();

private:
    // Keys of one grant. A test has few grants at a time, so a linear search is enough.
    struct Hold
    {
        std::string upstream;
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
        Clock::time_point until;
    };

    std::mutex mutex;
    std::vector<Hold> current;
    std::vector<std::string> conflictLines;
};

// ---- PlatformEndpoint ----

struct EndpointOptions
{
    std::uint16_t port = 0; // 0: chooses a free port
    // Port in heartbeats, such as the port of a proxy. 0: the own port.
    std::uint16_t advertisedPort = 0;
    std::chrono::milliseconds workTime{5};
    bool grantsInAnswers = false; // accepts grants in answers to heartbeats instead of grant calls
    int slots = 9;
    // How far the wall clock of the host is ahead while the upstream starts.
    std::chrono::milliseconds clockAhead{};
    std::string handover = "handover"; // in the answers to releases
    HttpFields answerFields;           // added to the answers to requests that ran
};

class PlatformEndpoint
{
public:
    PlatformEndpoint(std::string ownId, std::string ownService, HoldLedger &holdLedger,
                     EndpointOptions endpointOptions = {});
    ~PlatformEndpoint();

    // Ends all connections and releases all keys. runs() still works afterwards.
    void stop();

    std::uint16_t port() const { return this->server->port(); }
    const std::string &instance() const { return this->id; }
    void sendHeartbeatsTo(const Address &address);
    void setDraining() { this->isDraining = true; }

    // Ends the heartbeats and deregisters. Returns whether that was acknowledged. The upstream goes
    // on serving.
    bool deregister(const Address &address);

    // Sends a heartbeat as it was before the upstream deregistered.
    void sendLateHeartbeat(const Address &address);

    // Answers all later requests for a target with endless bytes.
    void setEndlessAnswer(const std::string &target, std::shared_ptr<EndlessBytes> bytes);

    // Returns whether a request got an endless answer here for a key that this upstream held.
    bool hasAnsweredEndlessly(const std::string &requestId);

    // Answers to later requests for a target that run here are padded to this size.
    void setAnswerBytes(const std::string &target, std::size_t bytes);

    // Requests for targets that begin so break their connections without an answer, as in a crash.
    // The caller ends the upstream when takeCrash() says so.
    static constexpr auto crashPrefix = "/r/crash/";
    bool takeCrash() { return this->hasCrashed.exchange(false); }

    // Returns the time from the acknowledgement of the upstream's drain to the start of its last
    // request, or 0 if no request started after the acknowledgement.
    std::chrono::milliseconds servedAfterDrain();

    // Returns the ids of all requests that ran, in the order of their start. The id of a request
    // that ran twice appears twice.
    std::vector<std::string> runs();

private:
    HttpAnswer answer(const HttpRequest &request);
    HttpAnswer handleGrantCall(const HttpRequest &request, bool isGrant);
    HttpAnswer run(const HttpRequest &request);
    void endHeartbeats();
    void runHeartbeatLoop(const Address &address);
    std::string makeHeartbeat(int sequence);
    void applyHeartbeatAnswer(const std::string &body, HoldLedger::Clock::time_point sentAt);

    std::string id;
    std::string service;
    HoldLedger &ledger;
    EndpointOptions options;
    std::int64_t startedMs;
    std::mutex mutex;
    std::vector<std::string> startedRequests;
    std::map<std::string, std::shared_ptr<EndlessBytes>> endless; // keyed by request target
    std::set<std::string> endlessRequests;                        // ids of requests for held keys
    std::map<std::string, std::size_t> answerBytes;               // keyed by request target
    std::vector<HoldLedger::GrantedRange> released; // released since the last answered heartbeat
    HoldLedger::Clock::time_point lastRunAt;
    std::optional<HoldLedger::Clock::time_point> drainAcknowledgedAt;
    std::atomic<bool> isDraining{false};
    std::atomic<bool> isStopping{false};
    std::atomic<bool> hasCrashed{false};
    std::unique_ptr<HttpServer> server;
    std::thread heartbeatThread;
};

} // namespace kumquat
