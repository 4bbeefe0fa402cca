// Traces that the benchmark of decisions replays, and the random numbers of their requests.
//
// Sections: random numbers, events, load, Trace.
#pragma once

#include "base/hash.h"
#include "base/names.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat::bench {

// --- random numbers ---

// A Poisson distribution with the probability of no event, which is costly to compute.
struct Poisson
{
    double mean = 0;
    double none = 1; // exp(-mean)

    static Poisson of(double mean);
};

// SplitMix64: the same numbers on every machine and with every library.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : state(seed)
    {}

    std::uint64_t next();

    // Returns a number in [0, 1).
    double uniform();

    // Returns a Poisson count. Above 30 a normal distribution with steps of a quarter of the
    // deviation stands in, which is fast enough for thousands of slots a step.
    std::uint32_t poisson(const Poisson &distribution);

private:
    std::uint64_t state;
};

// --- events ---

enum class EventKind : std::uint8_t {
    FreezeUpstream, // of node `subject`; its process goes on
    ThawUpstream,
    LoseNode,
    LoseDataCentre, // all nodes of data centre `subject`
    RestoreNodes,   // every lost node joins again, cold
    LogDown,
    LogUp,
    CutRegion, // region `subject` from the others
    JoinRegions,
};

struct Event
{
    double at = 0; // s since the start of the trace
    EventKind kind{};
    std::uint32_t subject = 0;
};

// --- load ---

inline constexpr std::uint32_t regionCount = 3;
inline constexpr std::uint32_t hemisphereCount = 2;

// A time in which one key receives extra requests.
struct HotPhase
{
    std::uint64_t keyHash = 0;
    std::uint32_t region = 0; // of its callers
    double from = 0;          // s
    double to = 0;            // s
    double share = 0;         // of a server's fair share at the base rate
};

// How the rates change over time.
enum class Season : std::uint8_t {
    Steady,   // daily wave, shifted between regions; the north busier than the south
    Shutdown, // a refinery shutdown week: the north at a high plateau
    NewYear,  // the rate doubles within five minutes, in one region after the other
};

// --- Trace ---

struct Trace
{
    std::string name;
    std::string user;
    std::string service;
    std::uint32_t nodes = 0;
    std::uint32_t dataCentres = 6; // node i is in data centre i % dataCentres
    double rate = 0;               // requests/s of the service
    double capacity = 0;           // requests/s of one server
    double keys = 0;
    double zipf = 0;     // exponent of the key popularity
    double step = 1;     // s
    double length = 0;   // s, with the warm-up
    double warmUp = 300; // s that are not measured
    Season season{};
    std::vector<HotPhase> hotPhases;
    std::vector<Event> events;
    std::vector<double> shifts; // s; times after which the load must settle again
    std::uint64_t seed = 0;

    // Returns the factor on the rate of a region's keys of a hemisphere.
    double factorOf(std::uint32_t region, std::uint32_t hemisphere, double time) const;
};

// Returns the traces of both users at the sizes of today and the one at 550 nodes. Short versions
// have the same events in less time, for tests.
std::vector<Trace> makeTraces(std::uint64_t seed, bool isShort);

} // namespace kumquat::bench
