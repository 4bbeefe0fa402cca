// A simulated cluster in virtual time: engines, a log, a mesh and upstreams with injected faults.
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
    Crash,             // the process ends and restarts with empty memory after `duration`
    Pause,             // the process stops for `duration`; its inputs wait
    CutOneWay,         // no messages from `node` to `other`
    CutBothWays,       // no messages between `node` and `other`
    Isolate,           // no messages between `node` and any other node
    CutOutgoing,       // no messages from `node` to any other node
    CutOutgoingAndLog, // as CutOutgoing, and the log does not answer `node` for twice as long
    LogOutage,         // the log answers no node
    LogCut,            // the log does not answer `node`
    LogLag,            // log reads of `node` take up to `duration` longer
    LogSingleReads,    // log reads of `node` return one record each and take 300 ms
    SlowMessages,      // messages from `node` to `other` take up to `duration` longer
    LossyMesh,         // half of the messages of all nodes are lost
    Move,              // `node` moves about 60 % of its slots to `other`
    Drain,             // `node` drains, then restarts after `duration`
    Bind,              // `node` binds each of its keys with a probability of 50 %
    Unbind,            // `node` unbinds all of its bound keys
    Upstream,          // the upstream of `node` is absent for `duration`
};

inline constexpr int faultKindCount = 18;

struct Fault
{
    FaultKind kind = FaultKind::Crash;
    int node = 0;
    int other = 0;
    Duration at{0}; // since the start of the simulation
    Duration duration{0};
    bool atOwner = false; // `node` is a key; the fault hits the node that served the key last
};

struct Schedule
{
    std::uint64_t seed = 1; // of the random delays, losses and clock rates
    int nodes = 5;
    std::vector<Fault> faults;
};

// Prints a schedule for the reports of RapidCheck.
std::ostream &operator<<(std::ostream &stream, const Schedule &schedule);

// ---- options ----

struct WorldOptions
{
    Guards guards;
    Duration length = 8s; // of the whole run
    Duration lostLeaseTimeout = LeaseTimings().lostLeaseTimeout;
    Duration callInterval = 40ms; // mean time between the calls of each node for each key
    Duration maxCallTime = 900ms; // deadline of a call
    Duration journalCopyTime{0};  // time until a new peer has the complete journal
    bool quickCalls = false;      // calls last 1 ms instead of up to the deadline
    // Node 0 joins first, delays caused by faults have their full length instead of a random part,
    // and no append is slow. Clocks are exact unless slowOwner is set.
    bool directed = false;
    bool slowOwner = false; // node 0 has the slowest clock, all others have the fastest
    int traceNode = -1;     // node whose inputs are recorded; -1: none
    int dataCentres = 2;
};

// ---- findings ----

// One request that an upstream ran, from the check to the granted expiry, in simulated real time.
struct Run
{
    int node = 0;
    int key = 0;
    Duration from{0};
    Duration until{0};
};

// The answer of the traced node to a call.
struct TracedAnswer
{
    std::size_t events = 0; // number of trace events recorded before the answer
    Time at{0};             // local time of the node
    int key = 0;
    ServeAnswer answer;
};

// Times at which a key was served, in simulated real time.
using ServedTimes = std::vector<Duration>;

// ---- world ----

// Runs a schedule. The world itself records which node ran which request and when, so that its
// check for overlaps does not depend on the engines.
class World
{
public:
    World(Schedule schedule, WorldOptions options);

    // Runs the simulation for options.length.
    void run();

    // Returns descriptions of pairs of runs of one key that overlap on two nodes.
    const std::vector<std::string> &violations() const { return this->foundViolations; }

    const ServedTimes &served(int key) const { return this->servedTimes.at(key); }
    const std::vector<Run> &runs() const { return this->allRuns; }

    // Returns the longest time between `from` and `until` without a served call of the key.
    Duration findMaxGap(int key, Duration from, Duration until) const;

    const std::vector<wire::TraceEvent> &trace() const { return this->recorded; }
    const std::vector<TracedAnswer> &answers() const { return this->allAnswers; }
    // Returns the clock reading of a node at a simulated real time.
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
        std::uint64_t instance = 0; // changes at start and stop, which cancels earlier events
        double rate = 1.0;          // of the clock, relative to real time
        Duration offset{0};
        Duration pausedUntil{0};
        Duration logCutUntil{0};
        Duration logLagUntil{0};
        Duration logLag{0};
        Duration singleReadsUntil{0};
        std::vector<std::function<void()>> pausedInputs; // inputs that arrived during a pause
        std::vector<Run> running;
        bool drained = false;
        Duration restartAfter{0}; // from the end of a drain
        Duration nextTick{0};
        // Journals that are being copied, by peer and incarnation.
        std::set<std::pair<std::string, std::uint64_t>> journals;
    };

    struct Event
    {
        Duration at{0};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    void runAt(Duration when, std::function<void()> action);
    double random();
    Duration randomUpTo(Duration limit);
    Duration faultDelay(Duration limit);
    double clockRate(int node);
    void start(int node);
    void stop(int node);
    void inject(const Fault &fault);
    void cut(int from, int to, Duration until);
    int findLastServingNode(int key) const;
    void input(int node, const std::function<void(OwnershipEngine &, Time)> &applyInput);
    void drainOutput(int node);
    void copyJournal(int node);
    void scheduleTick(int node);
    void sendMessage(int from, const OutgoingMessage &message);
    void appendRecord(int node, const wire::LogRecord &record);
    void storeRecord(const wire::LogRecord &record);
    void poll(int node);
    void answerPoll(int node, std::uint64_t instance, Duration asked, Duration deadline);
    void call(int node, int key);

    Schedule schedule;
    WorldOptions options;
    std::uint64_t state = 0; // of the random number generator
    Duration now{0};
    std::uint64_t eventCount = 0;
    std::priority_queue<Event> events;
    std::vector<Node> nodes;
    std::vector<wire::LogRecord> log;
    Duration logDownUntil{0};
    Duration lossyUntil{0};
    std::map<std::pair<int, int>, Duration> cutUntil;  // end times, by sender and receiver
    std::map<std::pair<int, int>, Duration> slowUntil; // end times
    std::map<std::pair<int, int>, Duration> slowBy;
    std::vector<Run> allRuns;
    std::vector<ServedTimes> servedTimes;
    std::vector<std::string> foundViolations;
    std::vector<wire::TraceEvent> recorded;
    std::vector<TracedAnswer> allAnswers;
};

} // namespace kumquat::test
