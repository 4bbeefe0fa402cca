// Stand-in of the users' platform store: keyed topics with conditional appends and waiting reads.
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
    Down,        // 503, nothing is done
    Silent,      // nothing is done, connections end without an answer
    Slow,        // every call takes longer
    LostAnswers, // writes are done, their answers are lost
    Unanswered,  // calls that come or wait meanwhile get no answer for good; connections stay open
};

class PlatformStore
{
public:
    HttpHandler handler();

    // Appends a record as the operator does.
    void put(const std::string &topic, int part, const std::string &key, const std::string &value);

    void setFault(StoreFault value);

    // Drops all but the newest record of each key.
    void compact();

    // Ends waiting reads, now and later.
    void stop();

    int callCount() const { return this->calls; }

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    // Records of one partition; those before firstKept are gone but for the newest of each key.
    struct Partition
    {
        std::vector<Record> records;
        std::uint64_t firstKept = 0;
    };

    using PartitionName = std::pair<std::string, int>;

    HttpAnswer answer(const HttpRequest &request);
    HttpAnswer answerNow(const HttpRequest &request);
    HttpAnswer append(const HttpRequest &request);
    HttpAnswer read(const HttpRequest &request);
    HttpAnswer readNewest(const HttpRequest &request);

    std::mutex mutex;
    std::condition_variable appended;
    bool isStopped = false;
    int unansweredFaults = 0; // so far
    std::map<PartitionName, Partition> partitions;
    std::atomic<StoreFault> fault{StoreFault::None};
    std::atomic<int> calls{0};
};

} // namespace kumquat
