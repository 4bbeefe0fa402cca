// Stand-in for the store of the users' platform: keyed topics with conditional appends and
// long-poll reads.
//
//   PlatformStore store;
//   auto server = HttpServer::start({"127.0.0.1", 0}, store.handler());
//   store.put("keyed.op", 0, "config", text);
//   store.setFault(StoreFault::Down);
#pragma once

#include "standins/http.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace kumquat {

enum class StoreFault : std::uint8_t {
    None,
    Down,              // answers every call with status 503 and does nothing
    ClosedConnections, // closes connections without an answer and does nothing
    Slow,              // delays every call
    LostAnswers,       // performs writes but loses their answers
    Unanswered,        // never answers calls that arrive or wait; connections stay open
};

// The records that a rollback of the store loses.
enum class RollBackScope : std::uint8_t {
    WithoutOperator, // not those of operators, as if these had written theirs again at once
    AllRecords,
};

class PlatformStore
{
public:
    HttpHandler handler();

    // Appends a record on behalf of the operator. An empty value removes the key.
    void put(const std::string &topic, int part, const std::string &key, const std::string &value);

    void setFault(StoreFault value);

    // Compacts all topics: reads from older offsets fail, and only the newest record of each key
    // remains available. Removed keys disappear.
    void compact();

    // Comes back from an older copy: the last `count` records of each partition in the scope are
    // lost, and the era in the answers increases by one.
    void rollBack(std::size_t count, RollBackScope scope = RollBackScope::WithoutOperator);

    std::uint32_t currentEra();

    // Ends waiting reads and unanswered calls. Later reads return at once.
    void stop();

    int callCount() const { return this->calls; }

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    // Records of one partition. Records before firstKept can no longer be read by offset;
    // readNewest still returns the newest record of each key.
    struct Partition
    {
        std::vector<Record> records;
        std::uint64_t firstKept = 0;
    };

    using PartitionName = std::pair<std::string, int>;

    HttpAnswer answer(const HttpRequest &request);
    HttpAnswer answerNow(const HttpRequest &request);
    HttpAnswer withEra(HttpAnswer answer) const;
    HttpAnswer append(const HttpRequest &request);
    HttpAnswer read(const HttpRequest &request);
    HttpAnswer readNewest(const HttpRequest &request);

    std::mutex mutex;
    std::condition_variable appended;
    bool isStopped = false;
    int unansweredFaultCount = 0; // number of Unanswered faults that have begun
    std::map<PartitionName, Partition> partitions;
    std::uint32_t era = 0;
    std::atomic<StoreFault> fault{StoreFault::None};
    std::atomic<int> calls{0};
};

} // namespace kumquat
