// Load and fault traces that bench_decisions replays, and the random number generator that draws
// the requests of a trace.
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

// A Poisson distribution. The probability of zero events is stored, because exp() is costly.
struct Poisson
{
    double mean = 0;
    double zeroProbability = 1; // exp(-mean)

    static Poisson of(double mean);
};

// SplitMix64 generator. It gives the same numbers on every machine and with every standard library.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : state(seed)
    {}

    std::uint64_t next();

    // Returns a number in [0, 1).
    double uniform();

    // Returns a Poisson-distributed count. For a mean above 30, the count is drawn from a normal
    // distribution in steps of a quarter of its standard deviation. This is fast enough to draw
    // the counts of thousands of slots in each step.
    std::uint32_t poisson(const Poisson &distribution);

private:
    std::uint64_t state;
};

// --- events ---

enum class EventKind : std::uint8_t {
    FreezeUpstream, // the upstream of node `subject` hangs; the kumquatstage process keeps running
    UnfreezeUpstream, // the upstream of node `subject` runs again
    LoseNode,         // node `subject` ends
    LoseDataCentre,   // all nodes of data centre `subject` end
    RestoreNodes,     // every lost node joins again with a cold upstream
    LogDown,
    LogUp,
    IsolateRegion,    // region `subject` cannot reach the other regions
    ReconnectRegions, // all regions reach each other again
};

struct Event
{
    double at = 0; // s since the start of the trace
    EventKind kind{};
    std::uint32_t subject = 0;
};

// --- load ---

inline constexpr std::uint32_t regionCount = 3;
inline constexpr std::uint32_t hemisphereCount = 2; // 0: north, 1: south

// A period in which one key receives extra requests.
struct HotPhase
{
    std::uint64_t keyHash = 0;
    std::uint32_t region = 0; // region of the key's callers
    double from = 0;          // s
    double to = 0;            // s
    double share = 0;         // extra load as a share of the mean load per server at the base rate
};

// How the rates change over time.
enum class LoadProfile : std::uint8_t {
    Steady,   // daily sine wave with a phase shift per region; the north is busier than the south
    Shutdown, // refinery shutdown week: constant high load in the north
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
    double zipf = 0;     // Zipf exponent of the key popularity
    double step = 1;     // s
    double length = 0;   // s, including the warm-up
    double warmUp = 300; // s at the start that are not measured
    LoadProfile profile{};
    std::vector<HotPhase> hotPhases;
    std::vector<Event> events;
    std::vector<double> shifts; // s; load changes after which the balance must recover
    std::uint64_t seed = 0;

    // Returns the factor by which the base rate of the keys of a region and hemisphere is
    // multiplied at a time.
    double rateFactor(std::uint32_t region, std::uint32_t hemisphere, double time) const;
};

// Returns the traces of both deployments, teranga and sahya, at their current sizes, and the trace
// of the design size of 550 nodes. Short versions have the same events in less time, for tests.
std::vector<Trace> makeTraces(std::uint64_t seed, bool isShort);

} // namespace kumquat::bench
