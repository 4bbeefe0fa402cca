// Tests that a process survives callers that make it hold as many bytes as they can. The checks
// don't depend on the speed of the machine.
#include "raw_caller.h"
#include "standins/platform_caller.h"
#include "system/platform_cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace kumquat;

namespace {

constexpr std::uint64_t megabyte = 1024ULL * 1024;
constexpr int crowdSize = 48;
constexpr int completeEvery = 6;                  // every sixth caller sends its whole body
constexpr int crowdMemoryMb = 120;                // of each host
constexpr std::uint64_t crowdBody = 8 * megabyte; // limit of a body: the crowd has 384 MB
constexpr std::uint64_t smallChunkBody = 4 * megabyte;
constexpr int maxDescriptors = crowdSize + 100; // of one process, at any time
constexpr int maxRounds = 400;                  // of the ordinary request
constexpr Duration roundPause = 50ms;
constexpr Duration crowdTimeout = 20s; // until each caller has sent what it wants to send
constexpr Duration requestTimeout = 1500ms;

// What one caller of the crowd sends after its head.
struct Abuse
{
    std::string name;
    std::string field; // of the head, for the length of the body
    std::function<void(RawCaller &caller, bool isComplete)> sendBody;
};

// Sends a text again and again until this many bytes are sent.
void sendRepeated(RawCaller &caller, const std::string &text, std::uint64_t bytes)
{
    while (bytes > 0 && caller.canSend()) {
        const std::size_t count = std::min<std::uint64_t>(bytes, text.size());
        caller.send(std::string_view(text).substr(0, count));
        bytes -= count;
    }
}

const std::string block(64UL * 1024, 'x');

std::function<void(RawCaller &, bool)> plainBody(std::uint64_t bytes, std::size_t piece)
{
    return [=](RawCaller &caller, bool isComplete) {
        sendRepeated(caller, block.substr(0, piece), bytes - 1);
        if (isComplete) {
            caller.send("x");
        }
    };
}

std::function<void(RawCaller &, bool)> chunkedBody(std::uint64_t bytes, std::size_t chunk)
{
    std::ostringstream size;
    size << std::hex << chunk;
    const std::string one = size.str() + "\r\n" + std::string(chunk, 'x') + "\r\n";
    std::string many = one;
    while (many.size() + one.size() <= block.size()) {
        many += one;
    }
    const std::uint64_t chunks = bytes / chunk;
    return [=](RawCaller &caller, bool isComplete) {
        sendRepeated(caller, many, chunks * one.size());
        if (isComplete) {
            caller.send("0\r\n\r\n");
        }
    };
}

std::vector<Abuse> listBodies()
{
    const std::string length = "Content-Length: " + std::to_string(crowdBody);
    constexpr std::size_t smallPiece = 1000;
    return {{"bodies of legal size at once", length, plainBody(crowdBody, block.size())},
            {"bodies of legal size piece by piece", length, plainBody(crowdBody, smallPiece)}};
}

std::vector<Abuse> listChunked()
{
    constexpr std::size_t smallChunk = 64;
    const std::string chunked = "Transfer-Encoding: chunked";
    return {{"large chunks", chunked, chunkedBody(crowdBody, megabyte)},
            {"very small chunks", chunked, chunkedBody(smallChunkBody, smallChunk)}};
}

std::vector<Abuse> listTooLarge()
{
    constexpr std::uint64_t farOver = 4;
    const std::uint64_t bytes = farOver * crowdBody;
    return {{"announced", "Content-Length: " + std::to_string(bytes),
             plainBody(bytes, block.size())},
            {"just sent", "Transfer-Encoding: chunked", chunkedBody(bytes, block.size())}};
}

// Two hosts; all callers connect to the first one. Half of them use keys of the second one.
class Attacked
{
public:
    explicit Attacked(PlatformClusterOptions options)
        : cluster(std::move(options))
    {}

    bool start() { return this->servesEventually(0) && this->servesEventually(1); }

    // Runs the crowd until each caller has sent what it wants to send or lost its connection, then
    // sends ordinary requests while the connections of the crowd are still open.
    void run(const Abuse &abuse)
    {
        std::atomic<bool> isOver{false};
        std::atomic<int> busy{crowdSize};
        std::vector<std::thread> crowd;
        const std::uint32_t keys[] = {this->keyOf(0), this->keyOf(1)};
        for (int i = 0; i < crowdSize; ++i) {
            crowd.emplace_back([&, i] {
                RawCaller caller(this->cluster.host(0).callers, isOver);
                caller.send(makeHead(i, keys[i % 2], abuse.field));
                abuse.sendBody(caller, i % completeEvery == 0);
                --busy;
                while (!isOver) {
                    std::this_thread::sleep_for(roundPause);
                }
            });
        }
        const Time deadline = readBootTime() + crowdTimeout;
        int descriptors = 0;
        while (busy > 0 && readBootTime() < deadline) {
            descriptors = std::max(descriptors, this->countMostDescriptors());
            std::this_thread::sleep_for(roundPause);
        }
        const bool isServed = this->servesEventually(0) && this->servesEventually(1);
        isOver = true;
        for (std::thread &caller : crowd) {
            caller.join();
        }
        CHECK(isServed);
        CHECK(std::max(descriptors, this->countMostDescriptors()) < maxDescriptors);
    }

    void checkMemory(int memoryMb)
    {
        for (PlatformHost &host : this->cluster.hosts()) {
            INFO(host.node << ", peak " << peakKilobytes(*host.process) << " kB");
            CHECK(host.process->isRunning());
            CHECK(peakKilobytes(*host.process) > 0);
            CHECK(peakKilobytes(*host.process) < kilobytesOf(memoryMb));
        }
        CHECK(this->cluster.ledger.conflicts().empty());
    }

    // Sends one request with a large body through the first host to the upstream of a host.
    int sendLarge(std::size_t index, std::uint64_t bytes, std::chrono::milliseconds timeout)
    {
        HttpClient client(this->cluster.host(0).callers);
        HttpRequest request = makeCallerRequest(
                {.id = this->nextId(), .key = this->keyOf(index), .timeout = timeout});
        request.body.assign(bytes, 'x');
        const HttpExchange exchange = client.send(request, timeout);
        return exchange.result == ExchangeResult::Answered ? exchange.answer.status : 0;
    }

private:
    static std::string makeHead(int caller, std::uint32_t key, const std::string &field)
    {
        return "POST /v/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: crowd-"
               + std::to_string(caller) + "\r\nX-Deadline-Remaining: 1500\r\nX-Shard-Key: "
               + std::to_string(key) + "\r\n" + field + "\r\n\r\n";
    }

    std::string nextId() { return "ordinary-" + std::to_string(++this->lastId); }

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
            const std::string id = this->nextId();
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

void testCrowd(const std::vector<Abuse> &kinds)
{
    for (const Abuse &abuse : kinds) {
        INFO(abuse.name);
        Attacked hosts({.hosts = 2, .memoryMb = crowdMemoryMb, .maxBodyBytes = crowdBody});
        REQUIRE(hosts.start());
        hosts.run(abuse);
        hosts.checkMemory(crowdMemoryMb);
    }
}

} // namespace

// Guards against callers that exhaust the memory of a process with many legal bodies, most of which
// never end.
TEST_CASE("many large bodies leave a process in its memory", "[hostile]")
{
    testCrowd(listBodies());
}

// Guards against the same with bodies whose length is not announced.
TEST_CASE("many chunked bodies leave a process in its memory", "[hostile]")
{
    testCrowd(listChunked());
}

// Guards against bodies over the limit that are kept before they are refused.
TEST_CASE("bodies far over the limit leave a process in its memory", "[hostile]")
{
    testCrowd(listTooLarge());
}

// Guards against copies of one body that together exceed the memory of the smallest host, at the
// host of the caller or at the host of the upstream, and against a budget that refuses such a body.
TEST_CASE("the largest body is served within the memory of the smallest host", "[hostile]")
{
    constexpr int smallestMemoryMb = 160;
    constexpr std::uint64_t largestBody = 67'108'864;
    constexpr int timeoutMs = 9000;
    constexpr std::chrono::milliseconds timeout{timeoutMs};
    constexpr int statusOk = 200;
    Attacked hosts({.hosts = 2, .memoryMb = smallestMemoryMb, .timeoutMs = timeoutMs});
    REQUIRE(hosts.start());
    for (const std::size_t index : {0U, 1U}) {
        INFO("upstream of host " << index);
        CHECK(hosts.sendLarge(index, largestBody, timeout) == statusOk);
        hosts.checkMemory(smallestMemoryMb);
    }
}
