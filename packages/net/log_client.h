// Client of the log service. It follows the log by long polling, and appends records.
//
//   LogClient log(thread, settings, hooks);
//   log.startReading(0);
//   log.append(record);       // returns at once; the record appears when the log is read
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
    std::string node;        // sent with each call, so that the service can distinguish its clients
    Duration pollWait = 10s; // time for which the service holds a read open
    Duration answerLimit = 2s; // in addition to pollWait
    Duration minRetryDelay = 100ms;
    Duration maxRetryDelay = 1s;
    std::uint32_t recordsPerRead = 1'000;
};

// All hooks run on the client's thread.
struct LogClientHooks
{
    std::function<void(std::uint64_t offset, wire::LogRecord &&record)> receive;
    // All records below `end` were passed to receive; the read was requested at `requestedAt`.
    std::function<void(std::uint64_t end, Time requestedAt)> reachEnd;
    // Reading continues at `firstKept`, because earlier records have expired.
    std::function<void(std::uint64_t firstKept)> skipGap;
    std::function<void(bool answering)> reportAnswering; // called on each change
};

class LogClient
{
public:
    LogClient(FiberThread &thread, LogClientSettings settings, LogClientHooks hooks);

    // Starts to follow the log from an offset. Call once.
    void startReading(std::uint64_t from);

    // Continues reading at another offset. Call from a hook or on the client's thread.
    void readFrom(std::uint64_t offset) { this->next = offset; }

    // Returns whether the end of the log was reached at least once.
    bool knowsEnd() const { return this->hasReachedEnd; }

    // Appends one record in a separate fiber. A failure is only counted and logged. Callable from
    // any thread.
    void append(const wire::LogRecord &record);

    std::uint64_t failedAppends() const { return this->appendFailures.load(); }
    std::uint64_t appends() const { return this->appendCount.load(); }

private:
    void readForever();
    bool readOnce();
    void deliver(const wire::LogBatch &batch, Time requestedAt);
    void setAnswering(bool isAnswering);
    HttpClient &reader() { return *this->readers[this->current]; }

    FiberThread &thread;
    LogClientSettings settings;
    LogClientHooks hooks;
    std::vector<std::unique_ptr<HttpClient>> readers; // one per address
    std::size_t current = 0;                          // index of the address in use
    std::uint64_t next = 0;                           // offset of the next record to read
    bool hasReachedEnd = false; // the end of the log was reached at least once
    bool answering = false;
    bool hasReported = false;
    std::atomic<std::uint64_t> appendFailures{0};
    std::atomic<std::uint64_t> appendCount{0};
};

} // namespace kumquat
