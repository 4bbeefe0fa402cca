// Stand-in for an HTTP upstream with configurable behaviour and faults.
//
//   Upstream upstream(options);
//   HttpAnswer answer = upstream.handle(request);
#pragma once

#include "base/address.h"
#include "base/time.h"
#include "standins/http.h"
#include "standins/ledger.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>

namespace kumquat {

struct UpstreamOptions
{
    std::string name = "upstream"; // name in the ledger
    std::string service = "testlog";
    bool checksGrants = false;
    int slots = 10;        // announced
    int connections = 130; // announced; further concurrent requests are refused
    int workers = 10;      // requests that run concurrently; further requests wait
    Duration serviceTime = 2ms;
    Duration coldTime{}; // time after the start during which requests run slowly
    int coldFactor = 5;  // service time factor while cold
    int shedPercent = 0; // percentage of requests that are refused
    bool isDraining = false;
    bool reportsHealthy = true; // result of GET /health, independent of the real state
    double reportedLoad = 0;
};

// Thread-safe.
class Upstream
{
public:
    explicit Upstream(const UpstreamOptions &initialOptions);

    // Answers a request, including GET /health and /control/...
    HttpAnswer handle(const HttpRequest &request);

    // Returns the body of POST /announce.
    std::string announcement(std::uint16_t port) const;

    // Waits until the timeout expires or the drain state changes.
    void waitForChange(Duration timeout);

    Ledger &ledger() { return this->runs; }

private:
    struct Fence
    {
        std::string slot; // service and slot
        std::uint64_t epoch = 0;
    };

    HttpAnswer serve(const HttpRequest &request);

    // Runs an admitted request and records it in the ledger.
    HttpAnswer run(const HttpRequest &request, Run run);
    HttpAnswer control(const HttpRequest &request);
    HttpAnswer health() const;
    void applyOptions(const HttpRequest &request);

    // Waits for a free worker. Returns false if the request expires or is cancelled first.
    bool acquireWorker(const HttpRequest &request, Time expires);
    void releaseWorker();

    // Sleeps for the service time. Ends early on expiry or cancellation.
    RunResult work(const HttpRequest &request, Time expires, Time &end);

    // Stores the fence. With checksGrants, returns false if the slot has already seen a higher
    // fence or the text is not a fence.
    bool acceptFence(const std::string &text);
    bool isShedding();
    Duration drawServiceTime();
    Run describe(const HttpRequest &request) const;

    const Time startedAt = readBootTime();
    mutable std::mutex mutex; // guards the members below
    std::condition_variable changed;
    UpstreamOptions options;
    std::map<std::string, std::uint64_t> highestEpochs; // by service and slot
    std::minstd_rand random;
    int busyWorkers = 0;
    int activeRequests = 0; // number of requests that wait or run
    Ledger runs;
};

} // namespace kumquat
