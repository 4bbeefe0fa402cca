// Chooses the host for a request without a key: near ones first, by what was seen of each.
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
#include <vector>

namespace kumquat {

// ---- Loads ----

// How far a host is, in the order of cost.
enum class HostDistance : std::uint8_t { SameHost, SameDataCentre, SameRegion, OtherRegion };

// What a host said last of the upstream beside it.
struct HostLoad
{
    bool isUsable = true;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 1;
    double serviceSeconds = 0; // 0: not known
};

struct HostCandidate
{
    std::string node;
    HostDistance distance = HostDistance::SameHost;
};

// ---- Settings ----

struct HostPickerSettings
{
    // Expected time that a nearer host may cost more. Answers are billed between data centres and
    // far more between regions, where a round trip also takes some 60 ms.
    Duration otherCentreCost = 40ms;
    Duration otherRegionCost = 250ms;
    Duration avoidAfterFailure = 600ms; // doubles with each further failure
    Duration longestAvoid = 5s;
    Duration loadMemory = 1s; // an older report counts as idle
    // Cost of a request that is sure to fail: another attempt, and the caller's own work meanwhile.
    Duration failureCost = 400ms;
    double failureWeight = 0.1; // of one request in the share that fails
    Duration failureMemory =
            3s; // without requests the share fades, so that the host is tried again
    double assumedServiceSeconds = 0.05; // before any host has been measured
};

// ---- HostPicker ----

// Not thread-safe.
class HostPicker
{
public:
    explicit HostPicker(HostPickerSettings pickerSettings = {});

    void noteLoad(const std::string &node, const HostLoad &load, Time now);
    void noteSent(const std::string &node);

    // Lost and TimedOut make the host less wanted for a time; Refused stands for a request that the
    // upstream did not run or failed, and makes it less wanted by the share of these.
    void noteEnd(const std::string &node, CallEnd end, Time now);

    // Returns the host with the least expected time and cost, or nothing if all are unusable.
    std::optional<std::string> pick(const std::vector<HostCandidate> &candidates, Time now);

private:
    struct State
    {
        HostLoad load;
        Time reported{};
        std::uint32_t sent = 0;     // own requests under way
        std::uint32_t failures = 0; // in a row
        Time avoidUntil{};
        double failedShare = 0; // of the latest requests
        Time endedAt{};         // of the latest request
    };

    double failedShare(const State &state, Time now) const;

    double cost(const HostCandidate &candidate, double assumedService, Time now) const;
    double fastestService(const std::vector<HostCandidate> &candidates) const;

    HostPickerSettings settings;
    std::map<std::string, State, std::less<>> states; // by node
    std::size_t turn = 0;                             // spreads requests over equal hosts
};

} // namespace kumquat
