// Requests that this process has accepted for slots that it owns, and that may still run.
//
//   RequestNumber number = inFlight.add(service, keyHash);
//   inFlight.setExpiry(number, expires);   // before the dispatch
//   inFlight.end(number, mayStillRun);
#pragma once

#include "base/time.h"
#include "ownership/cluster_state.h"
#include "traffic/limiter.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace kumquat {

// Thread-safe. No other lock is taken while its mutex is held.
class InFlight
{
public:
    // Registers a request. Call this before the ownership check, so that a handover that starts
    // after the check finds the request here.
    RequestNumber add(const std::string &service, std::uint64_t keyHash);

    // Sets the time until which the upstream may run the request.
    void setExpiry(RequestNumber number, Time expires);

    // Ends a request. A request that may still run at the upstream stays registered until it
    // expires.
    void end(RequestNumber number, bool mayStillRun);

    // Returns whether a request for one of the keys is in flight.
    bool has(const SlotKeys &keys, Time now);

    // Returns whether any request of the service is in flight; an empty name means any service.
    bool hasAny(const std::string &service, Time now);

    std::size_t count() const;

private:
    struct Entry
    {
        std::string service;
        std::uint64_t keyHash = 0;
        Time expires{};
        bool ended = false;
    };

    void dropExpired(Time now);

    mutable std::mutex mutex;
    RequestNumber lastNumber = 0;
    std::unordered_map<RequestNumber, Entry> entries;
};

} // namespace kumquat
