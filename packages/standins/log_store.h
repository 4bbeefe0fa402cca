// Record store of the log service stand-in, with faults that tests inject.
//
//   LogStore store({});
//   AppendResult result = store.append("record", "node-a"); // result.offset
//   ReadResult batch = store.read(0, 100, 10s, "node-a", nullptr); // waits up to 10 s for a record
#pragma once

#include "base/time.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// How the service answers requests during an outage.
enum class OutageMode : std::uint8_t {
    None,
    Refuse, // answers with status 503
    Close,  // closes the connection without an answer
    Hang,   // does not answer until the outage ends
};

struct LogStoreLimits
{
    std::size_t retainedRecords = 1'000'000;
    Duration retention{};    // 0: records do not expire by age
    double appendRate = 500; // appends/s; the design assumes several hundred
};

enum class AppendStatus : std::uint8_t { Written, ReplyLost, Refused, Closed };

struct AppendResult
{
    AppendStatus status = AppendStatus::Refused;
    std::uint64_t offset = 0; // valid if Written or ReplyLost
};

enum class ReadStatus : std::uint8_t { Done, Refused, Closed };

struct ReadResult
{
    ReadStatus status = ReadStatus::Refused;
    std::uint64_t firstKept = 0; // lowest offset that is still stored
    std::uint64_t end = 0;       // offset of the next record
    std::uint64_t from = 0;      // offset of records.front()
    std::vector<std::string> records;
};

// Counters for tests.
struct LogStoreCounts
{
    std::uint64_t firstKept = 0;
    std::uint64_t end = 0;
    std::uint64_t appends = 0;
    std::uint64_t lostReplies = 0;
    std::uint64_t refused = 0;
    std::uint64_t reads = 0;
};

// Thread-safe.
class LogStore
{
public:
    explicit LogStore(const LogStoreLimits &initialLimits);

    // Appends a record. Waits as the append rate and the injected delay require.
    AppendResult append(std::string record, const std::string &node);

    // Returns up to `limit` records from offset `from`. Waits up to `wait` if there are none, and
    // returns early if `isDisconnected` becomes true.
    ReadResult read(std::uint64_t from, std::size_t limit, Duration wait, const std::string &node,
                    const std::function<bool()> &isDisconnected);

    void setOutage(OutageMode mode);
    void setDelay(Duration append, Duration read);

    // Drops the replies to the next `count` appends; their records are written.
    void loseReplies(int count);

    // Cuts one node off from the log, or reconnects it. Requests of a cut node get no answer.
    void setCut(const std::string &node, bool isCut);

    void setLimits(const LogStoreLimits &newLimits);
    LogStoreLimits limits() const;
    LogStoreCounts counts() const;

private:
    struct Entry
    {
        std::string record;
        Time appendedAt{};
    };

    using Lock = std::unique_lock<std::mutex>;

    // Returns the outage mode that applies to this node: Hang while the node is cut off.
    OutageMode modeFor(const std::string &node) const;

    // Waits while the node's requests hang. Returns false if the request must be abandoned.
    bool waitWhileHanging(Lock &lock, const std::string &node,
                          const std::function<bool()> &isDisconnected);

    // Waits for the next write time that the append rate allows. Returns false if that time is too
    // far away.
    bool waitForAppendRate(Lock &lock);
    void expire(Time now);

    mutable std::mutex mutex;
    std::condition_variable changed;
    LogStoreLimits currentLimits;
    std::deque<Entry> entries;
    std::uint64_t firstKept = 0;
    OutageMode outage = OutageMode::None;
    std::set<std::string> cutNodes;
    Duration appendDelay{};
    Duration readDelay{};
    int repliesToLose = 0;
    Time nextWrite{};
    LogStoreCounts totals;
};

} // namespace kumquat
