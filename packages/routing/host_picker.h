// Chooses the host for a request without a key, by distance, reported load and recent failures.
//
//   std::optional<std::string> node = picker.pick(candidates, now);
//   picker.noteSent(*node);
//   picker.noteEnd(*node, CallEnd::Answered, now);
//
// Sections: loads, settings, HostPicker.
#pragma once

#include "base/time.h"
#include "traffic/limiter.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat {

// ---- Loads ----

// Distance of a host, from the lowest to the highest cost.
enum class HostDistance : std::uint8_t { SameHost, SameDataCentre, SameRegion, OtherRegion };

// The last report of a host about its upstream.
struct HostLoad
{
    bool isUsable = true;       // the upstream accepts requests
    std::uint32_t inFlight = 0; // requests at the upstream
    std::uint32_t slots = 1;    // requests that the upstream runs concurrently
    double serviceSeconds = 0;  // mean time of one request; 0: unknown
    // Concurrency beyond which the throughput of the upstream stops growing; 0: unknown.
    std::uint32_t usableSlots = 0;
    Duration coldWait{}; // until a cold upstream takes the next request; 0: it is not cold
    Duration linkWait{}; // until the link of the host has sent what waits for it
};

struct HostCandidate
{
    std::string node;
    HostDistance distance = HostDistance::SameHost;
    bool isAdmitted = true; // may get the request now
};

// What is known about the request to place.
struct PlacedWork
{
    std::uint64_t route = 0; // hash of its route; 0: unknown
    // Answers of the route are large. They leave the region only if no host of the region is up:
    // one of 90,000 bytes costs as much between regions as 18 usual ones, and the links of the
    // hosts, which they fill first, would carry them twice.
    bool hasLargeAnswer = false;
    // A call where links limit the answers: placed by its own usual time, and as it goes before the
    // requests of callers in the queue of the upstream, it waits for one slot only.
    bool staysNear = false;
};

// ---- Settings ----

struct HostPickerSettings
{
    // Additional cost of a host in another data centre or region, as expected time. Answers between
    // data centres are billed, and those between regions far more; a round trip between regions
    // also takes about 60 ms.
    Duration otherDataCentreCost = 40ms;
    Duration otherRegionCost = 250ms;
    Duration avoidAfterFailure = 600ms; // doubles with each further failure
    Duration maxAvoid = 5s;
    Duration loadReportMaxAge = 1s; // a host with an older report counts as idle
    // Cost of a request that certainly fails: another attempt, and the caller's additional wait.
    Duration failureCost = 400ms;
    double failureWeight = 0.1;          // weight of one request in the average share of failures
    Duration failureDecayTime = 3s;      // the share decays to 1/e, so that the host is tried again
    double assumedServiceSeconds = 0.05; // used before any host has been measured
};

// ---- HostPicker ----

// Not thread-safe.
class HostPicker
{
public:
    explicit HostPicker(HostPickerSettings pickerSettings = {});

    void noteLoad(const std::string &node, const HostLoad &load, Time now);

    // Returns the last report of the host, nullptr if there is none or it is too old.
    const HostLoad *recentLoad(const std::string &node, Time now) const;

    // Records that a request was sent to the host; noteEnd follows.
    void noteSent(const std::string &node);

    // Records the end of a request. Lost, TimedOut and Refused count as failures, and the share of
    // failures raises the cost of the host. After Lost or TimedOut the host is also avoided for a
    // time. Refused means that the upstream rejected or failed the request. Cancelled says nothing
    // about the host.
    void noteEnd(const std::string &node, CallEnd end, Time now);

    // Records the time until a request of a route was answered.
    void noteAnswered(std::uint64_t route, Duration elapsed);

    // Returns the admitted host with the lowest expected cost, or std::nullopt if there is none.
    std::optional<std::string> pick(const std::vector<HostCandidate> &candidates, Time now,
                                    const PlacedWork &work = {});

private:
    struct HostState
    {
        HostLoad load;
        Time reportedAt{};
        std::uint32_t sent = 0;     // requests of this process in progress
        std::uint32_t failures = 0; // consecutive Lost or TimedOut
        Time avoidUntil{};
        double failedShare = 0; // failed share of the recent requests
        Time endedAt{};         // end of the latest request
    };

    double failedShare(const HostState &state, Time now) const;

    // What the cost of a host depends on beside its state.
    struct CostInputs
    {
        double assumedService = 0; // in seconds, of hosts that were never measured
        // Share of the mean time of one request at a host that the request itself takes.
        double ownShare = 1;
        bool staysNear = false;
    };

    CostInputs costInputs(const std::vector<HostCandidate> &candidates,
                          const PlacedWork &work) const;
    double cost(const HostCandidate &candidate, const CostInputs &inputs, Time now) const;
    double fastestServiceSeconds(const std::vector<HostCandidate> &candidates) const;
    double meanServiceSeconds(const std::vector<HostCandidate> &candidates) const;

    HostPickerSettings settings;
    std::map<std::string, HostState, std::less<>> states;    // by node
    std::unordered_map<std::uint64_t, double> answerSeconds; // mean until an answer, by route
    std::size_t rotation = 0; // distributes requests over hosts of equal cost
};

} // namespace kumquat
