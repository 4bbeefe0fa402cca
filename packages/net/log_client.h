// Client of the log service: a reader that follows the log by long poll, and appends.
//
//   LogClient log(thread, addresses, hooks);
//   log.startReading(0);
//   log.append(record);       // fire and forget; the result comes back through the log itself
#pragma once

#include "base/address.h"
#include "net/fibers.h"
#include "net/http_client.h"
#include "wire/log.pb.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kumquat {

struct LogClientSettings
{
    std::vector<Address> addresses; // tried in order
    std::string node;               // sent along, so that the service can tell readers apart
    Duration pollWait = 10s;        // the service holds a read open this long
    Duration answerLimit = 2s;      // on top of the wait
    Duration minRetryDelay = 100ms;
    Duration maxRetryDelay = 1s;
    std::uint32_t recordsPerRead = 1'000;
};

// All hooks run on the client's thread.
struct LogClientHooks
{
    std::function<void(std::uint64_t offset, wire::LogRecord &&record)> receive;
    std::function<void(std::uint64_t end, Time askedAt)> reachEnd; // all before `end` was given
    std::function<void(std::uint64_t firstKept)> skipGap;          // records before it are gone
    std::function<void(bool answering)> reportAnswering;           // on each change
};

class LogClient
{
public:
    LogClient(FiberThread &thread, LogClientSettings settings, LogClientHooks hooks);

    // Follows the log from an offset; call once.
    void startReading(std::uint64_t from);

    // Goes on reading at another offset. Call from a hook or on the client's thread.
    void readFrom(std::uint64_t offset) { this->next = offset; }

    // Returns whether the end of the log was reached at least once.
    bool knowsEnd() const { return this->hasReachedEnd; }

    // Appends one record in a fiber of its own; a failure is only counted. Any thread.
    void append(const wire::LogRecord &record);

    std::uint64_t failedAppends() const { return this->appendFailures.load(); }
    std::uint64_t appends() const { return this->appendCount.load(); }

private:
    void readForever();
    bool readOnce();
    void deliver(const wire::LogBatch &batch, Time askedAt);
    void setAnswering(bool answers);
    HttpClient &reader() { return *this->readers[this->current]; }

    FiberThread &thread;
    LogClientSettings settings;
    LogClientHooks hooks;
    std::vector<std::unique_ptr<HttpClient>> readers; // one per address
    std::size_t current = 0;                          // address in use
    std::uint64_t next = 0;                           // offset of the next record to read
    bool hasReachedEnd = false;                       // the end was reached at least once
    bool answering = false;
    bool reported = false;
    std::atomic<std::uint64_t> appendFailures{0};
    std::atomic<std::uint64_t> appendCount{0};
};

} // namespace kumquat
