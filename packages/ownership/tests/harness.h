// A cluster in virtual time: engines, a log, a mesh and upstreams with injected faults.
// Sections: schedule, options, findings, world.
#pragma once

#include "ownership/engine.h"
#include "wire/trace.pb.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace kumquat::test {

// ---- schedule ----

enum class FaultKind : std::uint8_t {
    Crash,        // the process ends; restarts with an empty memory after `duration`
    Pause,        // the process stops for `duration`; its messages wait
    CutOneWay,    // no messages from `node` to `other`
    CutBothWays,  // no messages between `node` and `other`
    Isolate,      // no messages between `node` and all others
    Mute,         // no messages from `node` to all others
    Zombie,       // as Mute, and the log does not answer `node` for twice as long
    LogOutage,    // the log answers nobody
    LogCut,       // the log does not answer `node`
    LogLag,       // reads of `node` take up to `duration` longer
    LogTrickle,   // reads of `node` give one record each and take 300 ms
    SlowMessages, // messages from `node` to `other` take up to `duration`
    LossyMesh,    // one in two messages of all nodes is lost
    Move,         // `node` moves half of its slots to `other`
    Drain,        // `node` drains, then restarts after `duration`
    Bind,         // `node` binds a key
    Unbind,       // `node` unbinds a key
    Upstream,     // the upstream of `node` goes away for `duration`
};

inline constexpr int faultKinds = 18;

struct Fault
{
    FaultKind kind = FaultKind::Crash;
    int node = 0;
    int other = 0;
    Duration at{0};       // since the start of the world
    Duration duration{0}; // how long it lasts
    bool atOwner = false; // `node` is a key, and the fault hits the node that served it last
};

struct Schedule
{
    std::uint64_t seed = 1; // of delays, losses and clocks
    int nodes = 5;
    std::vector<Fault> faults;
};

// Prints a schedule as RapidCheck reports it.
std::ostream &operator<<(std::ostream &stream, const Schedule &schedule);

// ---- options ----

struct WorldOptions
{
    Guards guards;
    Duration length = 8s; // of the whole run
    Duration lostLease = LeaseTimings().lostLease;
    Duration calls = 40ms;        // between the calls that each node tries to run for each key
    Duration longestCall = 900ms; // deadline of a call
    Duration journal{0};          // until a new peer holds the complete journal
    bool quick = false;           // calls last 1 ms instead of up to the deadline
    bool directed = false;        // node 0 joins first, faults last as long as stated, appends are
                                  // quick; clocks are exact unless slowOwner is set
    bool slowOwner = false;       // node 0 has the slowest clock, all others the fastest
    int traceNode = -1;           // node whose inputs are recorded
    int dataCentres = 2;
};

// ---- findings ----

// One request that an upstream ran: from the check to the granted expiry, in real time.
struct Run
{
    int node = 0;
    int key = 0;
    Duration from{0};
    Duration until{0};
};

// What the traced node answered to a call.
struct TracedAnswer
{
    std::size_t events = 0; // recorded before
    Time at{0};             // local time
    int key = 0;
    ServeAnswer answer;
};

// Times at which a key was served, in real time.
using ServedTimes = std::vector<Duration>;

// ---- world ----

// The world records who ran what and when on its own; it never asks an engine whether that is
// right.
class World
{
public:
    World(Schedule schedule, WorldOptions options);

    // Runs to the end of the options' length.
    void run();

    // Returns the descriptions of runs of one key that overlap on two nodes.
    const std::vector<std::string> &violations() const { return this->found; }

    const ServedTimes &served(int key) const { return this->servedTimes.at(key); }
    const std::vector<Run> &runs() const { return this->allRuns; }

    // Returns the longest time between `from` and `until` without a served call of the key.
    Duration longestGap(int key, Duration from, Duration until) const;

    const std::vector<wire::TraceEvent> &trace() const { return this->recorded; }
    const std::vector<TracedAnswer> &answers() const { return this->allAnswers; }
    Duration localTime(int node, Duration real) const;

    static constexpr int keys = 4;
    static std::uint64_t keyHash(int key) { return static_cast<std::uint64_t>(key); }
    static std::string nodeName(int node) { return "n" + std::to_string(node); }
    static constexpr std::string_view service = "testlog";
    static EngineSettings settingsOf(int node, std::uint64_t incarnation,
                                     const WorldOptions &options);

private:
    struct Node
    {
        std::unique_ptr<OwnershipEngine> engine;
        std::uint64_t incarnation = 0;
        std::uint64_t life = 0; // grows with each start; stops events of earlier lives
        double rate = 1.0;      // of the clock
        Duration offset{0};
        Duration pausedUntil{0};
        Duration logCutUntil{0};
        Duration logLagUntil{0};
        Duration logLag{0};
        Duration trickleUntil{0};
        std::vector<std::function<void()>> waiting; // inputs that came during a pause
        std::vector<Run> running;
        bool drained = false;
        Duration restartAfter{0}; // of a drain
        Duration nextTick{0};
        std::set<std::pair<std::string, std::uint64_t>> journals; // copied or on the way
    };

    struct Event
    {
        Duration at{0};
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    void at(Duration when, std::function<void()> act);
    double random();
    Duration randomUpTo(Duration limit);
    Duration faultDelay(Duration limit);
    double clockRate(int node);
    void start(int node);
    void stop(int node);
    void inject(const Fault &fault);
    void cut(int from, int to, Duration until);
    int findServing(int key) const;
    void input(int node, const std::function<void(OwnershipEngine &, Time)> &give);
    void drainOutput(int node);
    void copyJournal(int node);
    void scheduleTick(int node);
    void sendMessage(int from, const OutgoingMessage &message);
    void appendRecord(int node, const wire::LogRecord &record);
    void storeRecord(const wire::LogRecord &record);
    void poll(int node);
    void answerPoll(int node, std::uint64_t life, Duration asked, Duration deadline);
    void call(int node, int key);

    Schedule schedule;
    WorldOptions options;
    std::uint64_t state = 0; // of the random numbers
    Duration now{0};
    std::uint64_t orders = 0;
    std::priority_queue<Event> events;
    std::vector<Node> nodes;
    std::vector<wire::LogRecord> log;
    Duration logDownUntil{0};
    Duration lossyUntil{0};
    std::map<std::pair<int, int>, Duration> cuts;  // until when, by sender and receiver
    std::map<std::pair<int, int>, Duration> slows; // until when
    std::map<std::pair<int, int>, Duration> slowBy;
    std::vector<Run> allRuns;
    std::vector<ServedTimes> servedTimes;
    std::vector<std::string> found;
    std::vector<wire::TraceEvent> recorded;
    std::vector<TracedAnswer> allAnswers;
};

} // namespace kumquat::test
