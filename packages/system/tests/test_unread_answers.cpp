// Tests that a process survives callers that request large answers and do not read them. The checks
// don't depend on the speed of the machine.
#include "raw_caller.h"
#include "standins/platform_caller.h"
#include "system/platform_cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace kumquat;

namespace {

constexpr std::uint64_t megabyte = 1024ULL * 1024;
constexpr int hostCount = 3;
constexpr int crowdSize = 48;
constexpr int closingEvery = 6;           // every sixth caller closes its connection in each round
constexpr int crowdMemoryMb = 160;        // of each host: the users' smallest one
constexpr int crowdMarginMb = 10;         // for what else runs on the host
constexpr int receiveBytes = 4096;        // of a caller, so that its host keeps the answer
constexpr std::uint64_t headBytes = 1024; // of an answer, at most
constexpr std::uint64_t largestAnswer = 16 * megabyte - headBytes; // that a process accepts
constexpr std::uint64_t largeAnswer = 4 * megabyte;
constexpr int maxDescriptors = crowdSize + 100; // of one process, at any time
constexpr int crowdRounds = 8;                  // requests of each caller
constexpr Duration crowdPause = 500ms;          // between them
constexpr int maxRounds = 400;                  // of the ordinary request
constexpr Duration roundPause = 50ms;
constexpr Duration requestTimeout = 1500ms;

const std::string crowdTarget = "/v/large";

struct Crowd
{
    std::string name;
    std::vector<std::size_t> owners; // hosts whose keys are used in turn
    std::uint64_t answerBytes = 0;
};

// Hosts that all callers use through the first one.
class Attacked
{
public:
    Attacked()
        : cluster({.hosts = hostCount, .memoryMb = crowdMemoryMb})
    {}

    bool start()
    {
        bool isServed = true;
        for (int i = 0; i < hostCount; ++i) {
            isServed = isServed && this->servesEventually(i);
        }
        return isServed;
    }

    // Sends the requests of the crowd, then ordinary requests while its connections are still open.
    void run(const Crowd &kind)
    {
        for (PlatformHost &host : this->cluster.hosts()) {
            host.endpoint->setAnswerBytes(crowdTarget, kind.answerBytes);
        }
        std::vector<std::uint32_t> keys;
        for (const std::size_t owner : kind.owners) {
            keys.push_back(this->keyOf(owner));
        }
        std::atomic<bool> isOver{false};
        std::atomic<int> busy{crowdSize};
        std::vector<std::thread> crowd;
        for (int i = 0; i < crowdSize; ++i) {
            crowd.emplace_back([&, i] {
                this->sendUnread(i, keys[static_cast<std::size_t>(i) % keys.size()], isOver, busy);
            });
        }
        int descriptors = 0;
        while (busy > 0) {
            descriptors = std::max(descriptors, this->countMostDescriptors());
            std::this_thread::sleep_for(roundPause);
        }
        const bool isServed = this->start();
        isOver = true;
        for (std::thread &caller : crowd) {
            caller.join();
        }
        CHECK(isServed);
        CHECK(std::max(descriptors, this->countMostDescriptors()) < maxDescriptors);
    }

    void checkMemory()
    {
        for (PlatformHost &host : this->cluster.hosts()) {
            INFO(host.node << ", peak " << peakKilobytes(*host.process) << " kB");
            CHECK(host.process->isRunning());
            CHECK(peakKilobytes(*host.process) > 0);
            CHECK(peakKilobytes(*host.process) < kilobytesOf(crowdMemoryMb - crowdMarginMb));
        }
        CHECK(this->cluster.ledger.conflicts().empty());
    }

    // Returns how many large answers the upstreams gave.
    std::size_t countLarge()
    {
        std::size_t count = 0;
        for (const std::string &id : this->cluster.collectRuns()) {
            count += id.starts_with("crowd-") ? 1 : 0;
        }
        return count;
    }

private:
    // Sends a request in each round and reads no answer. Keeps the last connection until the end.
    void sendUnread(int number, std::uint32_t key, const std::atomic<bool> &isOver,
                    std::atomic<int> &busy)
    {
        const Address &address = this->cluster.host(0).callers;
        std::unique_ptr<RawCaller> caller;
        for (int round = 0; round < crowdRounds; ++round) {
            const bool isClosing = number % closingEvery == 0;
            if (!caller || isClosing || !caller->canSend()) {
                caller = std::make_unique<RawCaller>(
                        address, isOver, RawCallerOptions{.receiveBytes = receiveBytes});
            }
            caller->send(makeHead(number, round, key));
            std::this_thread::sleep_for(crowdPause);
        }
        --busy;
        while (!isOver) {
            std::this_thread::sleep_for(roundPause);
        }
    }

    static std::string makeHead(int caller, int round, std::uint32_t key)
    {
        return "POST " + crowdTarget + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: crowd-"
               + std::to_string(caller) + "-" + std::to_string(round)
               + "\r\nX-Deadline-Remaining: 1500\r\nX-Shard-Key: " + std::to_string(key)
               + "\r\nContent-Length: 0\r\n\r\n";
    }

    std::uint32_t keyOf(std::size_t index)
    {
        const auto rows =
                this->cluster.ledger.grantedRanges(this->cluster.host(index).endpoint->instance());
        return rows.empty() ? 0 : rows.front().first + (rows.front().last - rows.front().first) / 2;
    }

    bool holdsKeys(std::size_t index)
    {
        return !this->cluster.ledger.grantedRanges(this->cluster.host(index).endpoint->instance())
                        .empty();
    }

    int countMostDescriptors()
    {
        int most = 0;
        for (const PlatformHost &host : this->cluster.hosts()) {
            most = std::max(most, countDescriptors(*host.process));
        }
        return most;
    }

    // Returns whether an ordinary request to the upstream of a host is answered after some tries.
    bool servesEventually(std::size_t index)
    {
        for (int round = 0; round < maxRounds; ++round) {
            HttpClient client(this->cluster.host(0).callers);
            const std::string id = "ordinary-" + std::to_string(++this->lastId);
            const HttpExchange exchange = client.send(
                    makeCallerRequest({.id = id, .key = this->keyOf(index)}), requestTimeout);
            if (this->holdsKeys(index) && exchange.result == ExchangeResult::Answered
                && isAnswerTo(exchange.answer, id)) {
                return true;
            }
            std::this_thread::sleep_for(roundPause);
        }
        return false;
    }

    PlatformCluster cluster;
    int lastId = 0;
};

void testCrowd(const Crowd &kind)
{
    INFO(kind.name);
    Attacked hosts;
    REQUIRE(hosts.start());
    hosts.run(kind);
    hosts.checkMemory();
    CHECK(hosts.countLarge() > 0);
}

} // namespace

// Guards against answers that nobody reads and that together exceed the memory of the host: they
// come from the upstream faster than callers that do not read are closed.
TEST_CASE("large answers that nobody reads leave a process in its memory", "[unread]")
{
    testCrowd({.name = "own upstream", .owners = {0}, .answerBytes = largeAnswer});
}

// Guards against the same with the largest answers, of which only a few can be read at a time.
TEST_CASE("the largest answers that nobody reads leave a process in its memory", "[unread]")
{
    testCrowd({.name = "own upstream, largest", .owners = {0}, .answerBytes = largestAnswer});
}

// Guards against answers of another host that nobody reads at the host of the callers.
TEST_CASE("relayed answers that nobody reads leave a process in its memory", "[unread]")
{
    testCrowd({.name = "another host", .owners = {1}, .answerBytes = largeAnswer});
}

// Guards against answers that come from several hosts at the same time.
TEST_CASE("answers of several hosts that nobody reads leave a process in its memory", "[unread]")
{
    testCrowd({.name = "all hosts", .owners = {0, 1, 2}, .answerBytes = largeAnswer});
}
