// Estimates how long an answer would wait for the outgoing link of this host. It learns the size of
// the answers of each route, reserves these bytes while a request runs, and drains them at the rate
// of the link. Large answers may use only a share of the link, so that short ones pass beside them.
//
//   meter.setRate(settings.limits.linkBytesPerSecond);
//   if (meter.wait({.route = route, .isLarge = true}, now) <= limit) {
//       meter.reserve(&request, {.route = route, .isLarge = true}, now);
//       ... run ...
//       meter.complete(&request, answer.size(), now);
//   }
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace kumquat {

struct LinkMeterSettings
{
    // Share of the link for answers; the rest is left for requests to other hosts, for messages
    // between processes and for the heads of packets.
    double usableShare = 0.9;
    double largeShare = 0.85; // of the usable rate, for large answers
    // Sizes assumed before the first answer of a route.
    double unknownLargeBytes = 64 * 1024;
    double unknownShortBytes = 2 * 1024;
    // Weights of one answer in the mean size of its route. The mean follows larger answers faster,
    // as an estimate that is too low lets the link fill up.
    double riseWeight = 0.3;
    double fallWeight = 0.05;
    double runTimeWeight = 0.05; // of one run in the mean run time
    // The link sends while requests run, so their bytes count only beyond what it sends in the mean
    // run time, up to this time. It bounds the bytes that runs which end together leave to the
    // link.
    Duration maxRunTime = 250ms;
    std::size_t maxRoutes = 1024;
};

// The route of an answer, and whether the configuration says that its answers are large.
struct AnswerKind
{
    std::uint64_t route = 0;
    bool isLarge = false;
};

// Not thread-safe.
class LinkMeter
{
public:
    using RequestId = const void *; // an address that is unique while the request runs

    explicit LinkMeter(LinkMeterSettings meterSettings = {})
        : settings(meterSettings)
    {}

    // Sets the rate of the link in bytes per second; 0: the meter puts no limit on anything.
    void setRate(double bytesPerSecond);

    bool isActive() const { return this->linkRate > 0; }

    // Reserves the expected bytes of the answer. A repeated call for one request changes nothing.
    void reserve(RequestId request, const AnswerKind &kind, Time now);

    // Replaces the reservation of a request by the bytes of its answer; 0: there is none. Without a
    // reservation it changes nothing.
    void complete(RequestId request, std::size_t bytes, Time now);

    // Returns how long a further answer of this kind would wait for the link.
    Duration wait(const AnswerKind &kind, Time now) const;

    // Returns the time in which the link sends one answer of this kind.
    Duration sendTime(const AnswerKind &kind) const;

    double expectedBytes(const AnswerKind &kind) const;

    // Bytes of completed answers that the link has not sent yet.
    double owedBytes(Time now) const;

private:
    struct Reservation
    {
        AnswerKind kind;
        double bytes = 0;
        Time at{};
    };

    // Bytes that wait for the link. Short answers count as sent first: as they increase, fewer
    // large ones are admitted.
    struct Backlog
    {
        double large = 0;
        double brief = 0; // of short answers

        void add(bool isLarge, double bytes);
    };

    double usableRate() const { return this->linkRate * this->settings.usableShare; }
    double largeRate() const { return this->usableRate() * this->settings.largeShare; }
    Backlog drained(Backlog backlog, Time now) const;
    void drain(Time now);
    Duration waitBehind(const Backlog &backlog, bool isLarge) const;
    Duration &runTime(bool isLarge) { return isLarge ? this->largeRunTime : this->shortRunTime; }
    void learn(const Reservation &reservation, double bytes, Time now);

    LinkMeterSettings settings;
    double linkRate = 0;
    std::unordered_map<std::uint64_t, double> sizes; // mean bytes by route
    std::unordered_map<RequestId, Reservation> reservations;
    // `admitted` drains from the reservation on and so limits the rate of new work. `sent` drains
    // from the answer on. `reserved` does not drain: the answers are still to come.
    Backlog admitted;
    Backlog sent;
    Backlog reserved;
    Time drainedAt{}; // of `admitted` and `sent`
    Duration largeRunTime{};
    Duration shortRunTime{};
};

} // namespace kumquat
