// Stand-in of an upstream on the users' platform: holds keys for as long as it is granted them,
// runs requests on these keys only and sends heartbeats.
//
//   HoldLedger ledger;
//   PlatformEndpoint endpoint("i-1", "testlog", ledger);
//   endpoint.sendHeartbeatsTo(address);
//   ledger.conflicts(); // keys that two upstreams held at a time
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

// Which upstream holds which keys until when, over all upstreams of a test. Thread-safe.
class HoldLedger
{
public:
    using Clock = std::chrono::steady_clock;

    // Returns false if the upstream has seen a higher fence on one of the keys.
    bool grant(const std::string &upstream, std::uint32_t first, std::uint32_t last,
               std::uint64_t fence, Clock::duration hold);
    void release(const std::string &upstream, std::uint32_t first, std::uint32_t last);
    void releaseAll(const std::string &upstream);

    // One row of what an upstream holds.
    struct GrantedRange
    {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;

        bool operator==(const GrantedRange &) const = default;
    };

    std::vector<GrantedRange> grantedRanges(const std::string &upstream);
    bool holds(const std::string &upstream, std::uint32_t key);

    // Returns a line for each grant of keys that another upstream held, or under a fence that is
    // not above all others.
    std::vector<std::string> conflicts();

private:
    // Keys of one grant; a test has few of them at a time.
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
    std::vector<std::string> lines;
};

// ---- PlatformEndpoint ----

struct EndpointOptions
{
    std::uint16_t port = 0;           // 0: a free one
    std::uint16_t advertisedPort = 0; // in heartbeats, that of a proxy before it; 0: its own
    std::chrono::milliseconds workTime{5};
    bool grantsInAnswers = false; // takes keys from answers to heartbeats, not from calls
    int slots = 9;
};

class PlatformEndpoint
{
public:
    PlatformEndpoint(std::string ownId, std::string ownService, HoldLedger &holdLedger,
                     EndpointOptions endpointOptions = {});
    ~PlatformEndpoint();

    // Ends all connections and holds; the runs can still be asked for.
    void stop();

    std::uint16_t port() const { return this->server->port(); }
    const std::string &instance() const { return this->id; }
    void sendHeartbeatsTo(const Address &address);
    void setDraining() { this->isDraining = true; }

    // Answers all later requests for a target with bytes without end.
    void setEndlessAnswer(const std::string &target, std::shared_ptr<EndlessBytes> bytes);

    // Returns how long after the acknowledgement of its leaving the last request began, or 0.
    std::chrono::milliseconds servedAfterDrain();

    // Returns the ids of all requests that ran, in order; one that ran twice stands twice.
    std::vector<std::string> runs();

private:
    HttpAnswer answer(const HttpRequest &request);
    HttpAnswer order(const HttpRequest &request, bool isGrant);
    HttpAnswer run(const HttpRequest &request);
    void beat(const Address &address);
    std::string describe(int sequence);
    void takeAnswer(const std::string &body, HoldLedger::Clock::time_point sentAt);

    std::string id;
    std::string service;
    HoldLedger &ledger;
    EndpointOptions options;
    std::int64_t bornMs;
    std::mutex mutex;
    std::vector<std::string> ran;
    std::map<std::string, std::shared_ptr<EndlessBytes>> endless; // by target
    std::vector<HoldLedger::GrantedRange> released; // since the last heartbeat with an answer
    HoldLedger::Clock::time_point lastRunAt;
    std::optional<HoldLedger::Clock::time_point> drainAcknowledgedAt;
    std::atomic<bool> isDraining{false};
    std::atomic<bool> isStopping{false};
    std::unique_ptr<HttpServer> server;
    std::thread heartbeats;
};

} // namespace kumquat
