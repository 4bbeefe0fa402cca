// An HTTP upstream with settable behaviour and faults.
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
    std::string name = "upstream"; // in the ledger
    std::string service = "testlog";
    bool checksGrants = false;
    int slots = 10;        // announced
    int connections = 130; // announced; more requests at a time than this are refused
    int workers = 10;      // requests that run at a time; further ones wait
    Duration serviceTime = 2ms;
    Duration coldTime{}; // slow for this long after the start
    int coldFactor = 5;  // service time factor while cold
    int shedPercent = 0; // share of requests refused
    bool isDraining = false;
    bool reportsHealthy = true; // what GET /health says, whatever the state is
    double reportedLoad = 0;
};

// Thread-safe.
class Upstream
{
public:
    explicit Upstream(const UpstreamOptions &initialOptions);

    // Answers requests, GET /health and /control/...
    HttpAnswer handle(const HttpRequest &request);

    // Returns the body of POST /announce.
    std::string announcement(std::uint16_t port) const;

    // Waits until the time has passed or the drain state has changed.
    void waitForChange(Duration longest);

    Ledger &ledger() { return this->runs; }

private:
    struct Fence
    {
        std::string slot; // service and slot
        std::uint64_t epoch = 0;
    };

    HttpAnswer serve(const HttpRequest &request);

    // Runs an admitted request and records it.
    HttpAnswer run(const HttpRequest &request, Run run);
    HttpAnswer control(const HttpRequest &request);
    HttpAnswer health() const;
    void set(const HttpRequest &request);

    // Waits for a free worker; false if the request expired or was cancelled meanwhile.
    bool takeWorker(const HttpRequest &request, Time expires);
    void returnWorker();

    // Sleeps for the service time; ends early on expiry or cancellation.
    RunResult work(const HttpRequest &request, Time expires, Time &end);

    // Remembers the fence; false if a higher one has been seen for the slot.
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
    int present = 0; // requests that wait or run
    Ledger runs;
};

} // namespace kumquat
