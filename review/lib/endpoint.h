// Stand-ins for the application endpoints beside the router processes, as the users' pages describe
// them, and the ledger of the keys that they hold.
//
// Sections: Record, KeyLedger, Endpoint.
#pragma once

#include "standins/http.h"

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// ---- Record ----

// Writes record.txt: one line an event, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();

    void line(const std::string &text);
    std::int64_t now() const;

private:
    std::mutex mutex;
    std::FILE *file;
    Clock::time_point start;
};

// ---- KeyLedger ----

// Knows which endpoint incarnation holds which key, and samples how long two of them hold the same
// key.
class KeyLedger
{
public:
    static constexpr std::uint32_t keys = 65'536;

    explicit KeyLedger(Record &events);
    ~KeyLedger();

    void add(const std::string &incarnation);
    void remove(const std::string &incarnation);

    // Returns false if the incarnation has seen a higher fence on one of the keys.
    bool grant(const std::string &incarnation, std::uint32_t first, std::uint32_t last,
               std::int64_t fence, milliseconds hold);
    void release(const std::string &incarnation, std::uint32_t first, std::uint32_t last);
    bool holds(const std::string &incarnation, std::uint32_t key);
    std::uint32_t heldKeys(const std::string &incarnation);
    std::uint32_t heldKeys();

    // Returns the middle of the largest span of keys that the incarnation holds.
    std::uint32_t middleHeldKey(const std::string &incarnation);

    // Longest time for which two incarnations that were up held the same key without a break.
    milliseconds longestDouble();
    std::string doubleText();

    // Returns the same for the time since the last call of this function.
    milliseconds takeRecentDouble();

private:
    struct Holder
    {
        std::vector<Clock::time_point> until = std::vector<Clock::time_point>(keys);
        std::vector<std::int64_t> fence = std::vector<std::int64_t>(keys, -1);
    };

    void sample();

    Record &record;
    std::mutex mutex;
    std::map<std::string, Holder> holders;
    std::vector<Clock::time_point> doubleSince = std::vector<Clock::time_point>(keys);
    milliseconds longest{0};
    milliseconds recent{0};
    std::string longestText;
    std::atomic<bool> isStopping{false};
    std::thread sampler;
};

// ---- Endpoint ----

struct EndpointSettings
{
    std::string name; // prefix of the instance ids
    std::string service;
    std::string zone;
    kumquat::Address address;
    kumquat::Address control; // of the process on its machine
    milliseconds heartbeat{870};
    milliseconds work{20};
    int slots = 9;
    bool hasKeys = true;
};

// What an endpoint does with a request that it begins to run.
enum class RunEffect { Answer, Crash };

class Endpoint
{
public:
    Endpoint(EndpointSettings endpointSettings, Record &events, KeyLedger &keyLedger);
    ~Endpoint();

    // Starts a new incarnation. The first heartbeat leaves after `firstHeartbeat`.
    void start(milliseconds firstHeartbeat = milliseconds(0));

    // Ends the incarnation at once, without a word to the system.
    void crash();

    // Keeps the next heartbeat on its way until releaseHeartbeat().
    void holdNextHeartbeat();
    bool hasHeldHeartbeat();
    void releaseHeartbeat();

    // Ends the heartbeats and sends DELETE. Returns whether it was acknowledged.
    bool deregister();

    std::string instance();
    bool isUp() { return this->up; }
    // Heartbeats of this incarnation that were acknowledged.
    int heartbeatCount() const { return this->acknowledged; }

    // Called when a request begins to run; its result says what the endpoint does.
    std::function<RunEffect(const kumquat::HttpRequest &)> onRun;

private:
    kumquat::HttpAnswer answer(const kumquat::HttpRequest &request, std::uint64_t life);
    kumquat::HttpAnswer run(const kumquat::HttpRequest &request, std::uint64_t life);
    kumquat::HttpAnswer order(const kumquat::HttpRequest &request, bool isGrant);
    void sendHeartbeats(std::uint64_t life, milliseconds first);
    bool put(const std::string &id, const std::string &body);
    std::string heartbeatBody(std::uint64_t life, int sequence);

    EndpointSettings settings;
    Record &record;
    KeyLedger &ledger;
    std::mutex mutex;
    std::condition_variable workEnded;
    std::multiset<std::uint32_t> runningKeys;
    std::atomic<bool> up{false};
    std::atomic<bool> beats{false};
    std::atomic<std::uint64_t> lives{0};
    std::atomic<int> acknowledged{0};
    std::int64_t bornMs = 0;
    bool holdNext = false;
    std::string heldId;
    std::string heldBody;
    std::unique_ptr<kumquat::HttpServer> server;
    std::thread heartbeats;
};

} // namespace review
