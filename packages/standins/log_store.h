// The log service's records and the faults that tests inject into it.
//
//   LogStore store;
//   AppendResult result = store.append("record");           // result.offset
//   wire::LogBatch batch = store.read(0, 100, 10s, "node-a"); // waits up to 10 s for a record
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

// How the service behaves towards a reader or writer during an outage.
enum class OutageMode : std::uint8_t {
    None,
    Refuse, // 503
    Close,  // closes the connection
    Hang,   // no answer until the outage ends
};

struct LogStoreLimits
{
    std::size_t retainedRecords = 1'000'000;
    Duration retention{};    // 0: records do not expire by age
    double appendRate = 500; // appends/s; the design counts on several hundred
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
    std::uint64_t firstKept = 0; // lowest offset that is still kept
    std::uint64_t end = 0;       // offset that the next record will get
    std::uint64_t from = 0;      // offset of the first entry of records
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

    // Appends a record; waits as the append rate and the set delay demand.
    AppendResult append(std::string record, const std::string &node);

    // Returns up to `limit` records from `from` on; waits up to `wait` if there are none.
    // Returns early if isGone becomes true.
    ReadResult read(std::uint64_t from, std::size_t limit, Duration wait, const std::string &node,
                    const std::function<bool()> &isGone);

    void setOutage(OutageMode mode);
    void setDelay(Duration append, Duration read);

    // Loses the replies of the next `count` appends after writing them.
    void loseReplies(int count);

    // Cuts one node off: its requests are not answered.
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

    // Returns the outage as this node sees it.
    OutageMode modeFor(const std::string &node) const;

    // Waits while the node's requests hang; false if it must be given up.
    bool waitWhileHanging(Lock &lock, const std::string &node, const std::function<bool()> &isGone);

    // Reserves the next write time that the append rate allows; false if it is too far away.
    bool waitForRate(Lock &lock);
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
