// Tests that a process survives upstreams whose answers never end.
#include "standins/platform_caller.h"
#include "system/platform_cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace kumquat;

namespace {

constexpr int memoryLimitKilobytes = 160'000'000 / 1024; // memory of the users' smallest host
constexpr int upstreamSlots = 32;
constexpr int callerCount = 48;                          // more than upstreamSlots
constexpr int minConcurrent = upstreamSlots / 2;         // concurrent endless answers
constexpr int minHealthyRequests = 20;                   // sent during the endless answers
constexpr std::chrono::milliseconds callerTimeout{1500}; // equals the timeout of the route
constexpr Duration healthyPause = 40ms; // between the requests to the healthy upstream
constexpr Duration startTimeout = 20s;
constexpr Duration endlessDuration = 2500ms; // load duration for one kind of answer
constexpr std::size_t blockBytes = 65'536;   // bytes per write

const std::string requestTarget = "/v/x"; // target that makeCallerRequest uses
const std::string grantTarget = "/kumquatstage/grant";
const std::string releaseTarget = "/kumquatstage/release";

std::string repeat(const std::string &text)
{
    std::string block;
    while (block.size() < blockBytes) {
        block += text;
    }
    return block;
}

std::shared_ptr<EndlessBytes> makeBytes(const std::string &prefix, const std::string &repeatedPart)
{
    auto bytes = std::make_shared<EndlessBytes>();
    bytes->prefix = prefix;
    bytes->repeatedPart = repeatedPart;
    return bytes;
}

const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\n";

// Returns the peak resident memory of a process in kilobytes, -1 if it cannot be read.
int peakKilobytes(const Child &process)
{
    std::istringstream status(readFile("/proc/" + std::to_string(process.id()) + "/status"));
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::atoi(line.c_str() + name.size());
        }
    }
    return -1;
}

// Returns a key that an upstream holds, or 0 if it holds none.
std::uint32_t findHeldKey(PlatformCluster &cluster, const PlatformHost &host)
{
    const auto rows = cluster.ledger.grantedRanges(host.endpoint->instance());
    return rows.empty() ? 0 : rows.front().first + (rows.front().last - rows.front().first) / 2;
}

HttpExchange sendTo(HttpClient &client, const std::string &id, std::uint32_t key)
{
    return client.send(makeCallerRequest({.id = id, .key = key, .timeout = callerTimeout}),
                       callerTimeout);
}

bool isServed(const HttpExchange &exchange, const std::string &id)
{
    constexpr int statusOk = 200;
    return exchange.result == ExchangeResult::Answered && exchange.answer.status == statusOk
           && isAnswerTo(exchange.answer, id);
}

// Describes the outcome of a request and the time it took.
std::string describe(const HttpExchange &exchange, Duration elapsed)
{
    const std::string end = exchange.result == ExchangeResult::Answered
                                    ? "status " + std::to_string(exchange.answer.status)
                            : exchange.result == ExchangeResult::TimedOut ? "timed out"
                                                                          : "lost";
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
    return end + " after " + std::to_string(milliseconds.count())
           + " ms: " + exchange.answer.body.substr(0, 200);
}

// A cluster in which each host holds a part of the keys. The upstream of the last host stays
// healthy. The other upstreams become faulty one by one, each with its own process, so that no
// earlier fault has affected the process under test.
class FaultyHosts
{
public:
    explicit FaultyHosts(int faultyCount)
        : cluster({.hosts = faultyCount + 1, .slots = upstreamSlots})
    {}

    // Selects the host that receives all following requests. Waits until its upstream and the
    // healthy one hold keys and can be reached through it; returns false after a timeout.
    bool enter(std::size_t index)
    {
        this->entry = &this->cluster.host(index);
        const Time deadline = readBootTime() + startTimeout;
        while (readBootTime() < deadline) {
            const bool holdKeys =
                    this->holdsKeys(*this->entry) && this->holdsKeys(this->cluster.hosts().back());
            if (holdKeys && this->serves(this->faultyKey()) && this->serves(this->healthyKey())) {
                this->unserved.clear();
                this->healthyRequests = 0;
                return true;
            }
            std::this_thread::sleep_for(healthyPause);
        }
        return false;
    }

    PlatformEndpoint &upstream() { return *this->entry->endpoint; }

    // Sends concurrent requests to the upstream of the entry host, and at the same time sequential
    // requests to the healthy upstream.
    void sendFor(Duration time)
    {
        const Time end = readBootTime() + time;
        std::atomic<bool> isOver{false};
        std::vector<std::thread> callers;
        for (int i = 0; i < callerCount; ++i) {
            callers.emplace_back([this, &isOver, i] { this->callFaulty(isOver, i); });
        }
        const int enough = this->healthyRequests + minHealthyRequests;
        while (this->healthyRequests < enough || readBootTime() < end) {
            this->serves(this->healthyKey());
            std::this_thread::sleep_for(healthyPause);
        }
        isOver = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    // Checks that the process of the entry host is running, has stayed below the memory limit and
    // has served every request for the healthy upstream.
    void checkSurvival()
    {
        Child &process = *this->entry->process;
        CHECK(process.isRunning());
        const int peak = peakKilobytes(process);
        INFO("peak " << peak << " kB, requests to the healthy upstream " << this->healthyRequests);
        CHECK(peak > 0);
        CHECK(peak < memoryLimitKilobytes);
        CHECK(this->unserved == std::vector<std::string>());
        CHECK(this->cluster.ledger.conflicts().empty());
    }

private:
    bool serves(std::uint32_t key)
    {
        HttpClient client(this->entry->callers);
        const std::string id = "sound-" + std::to_string(++this->lastId);
        const Time started = readBootTime();
        const HttpExchange exchange = sendTo(client, id, key);
        const bool isGood = isServed(exchange, id);
        if (!isGood && this->hasMoved(id)) {
            return false;
        }
        ++this->healthyRequests;
        if (!isGood) {
            this->unserved.push_back(describe(exchange, readBootTime() - started));
        }
        return isGood;
    }

    // Returns whether the key of a request moved to a faulty upstream, which then ran the request,
    // after the healthy upstream was seen to hold it. Such a request says nothing about the healthy
    // upstream. A request that reaches a faulty upstream without the key does not count as moved.
    bool hasMoved(const std::string &id)
    {
        std::vector<PlatformHost> &hosts = this->cluster.hosts();
        return std::any_of(hosts.begin(), hosts.end() - 1, [&id](const PlatformHost &host) {
            return host.endpoint->hasAnsweredEndlessly(id);
        });
    }

    void callFaulty(const std::atomic<bool> &isOver, int caller)
    {
        HttpClient client(this->entry->callers);
        for (int i = 0; !isOver; ++i) {
            const std::string id = "endless-" + std::to_string(caller) + "-" + std::to_string(i);
            sendTo(client, id, this->faultyKey());
        }
    }

    bool holdsKeys(const PlatformHost &host)
    {
        return !this->cluster.ledger.grantedRanges(host.endpoint->instance()).empty();
    }

    // Keys move as their load changes, so each request uses a key that is held at that moment.
    std::uint32_t faultyKey() { return findHeldKey(this->cluster, *this->entry); }
    std::uint32_t healthyKey() { return findHeldKey(this->cluster, this->cluster.hosts().back()); }

    PlatformCluster cluster;
    PlatformHost *entry = nullptr;
    int lastId = 0;
    int healthyRequests = 0;
    std::vector<std::string> unserved; // failed requests to the healthy upstream
};

struct AnswerKind
{
    std::string name;
    std::string prefix;       // sent once
    std::string repeatedPart; // then sent without end
};

std::vector<AnswerKind> listAnswerKinds()
{
    const std::string text = repeat("x");
    const std::string fields = repeat("X-More: x\r\n");
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"fields of a head", head, fields},
            {"a body with a length", head + "Content-Length: 1000000000000\r\n\r\n", text},
            {"a body without a length", head + "\r\n", text},
            {"chunks", chunked, "10000\r\n" + text + "\r\n"},
            {"fields after the last chunk", chunked + "0\r\n", fields},
            {"no HTTP", "", text}};
}

} // namespace

// Guards against an upstream whose endless answers exhaust the memory of the process, which would
// also end the requests of all other clients.
TEST_CASE("answers without end leave a process in its memory and others served", "[endless]")
{
    const std::vector<AnswerKind> kinds = listAnswerKinds();
    FaultyHosts hosts(static_cast<int>(kinds.size()));
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        INFO(kinds[i].name);
        REQUIRE(hosts.enter(i));
        const auto bytes = makeBytes(kinds[i].prefix, kinds[i].repeatedPart);
        hosts.upstream().setEndlessAnswer(requestTarget, bytes);
        hosts.sendFor(endlessDuration);
        hosts.checkSurvival();
        INFO("answers " << bytes->started << ", bytes " << bytes->written);
        CHECK(bytes->maxOpen >= minConcurrent);
    }
}

// Guards against memory exhaustion by endless answers to grants and releases, while the answers to
// requests are endless too. Grants and releases use separate connections with their own limits.
TEST_CASE("answers to grants and releases without end leave a process in its memory", "[endless]")
{
    FaultyHosts hosts(1);
    REQUIRE(hosts.enter(0));
    const std::string text = repeat("x");
    const auto requests = makeBytes(head + "\r\n", text);
    const auto grants = makeBytes(head + "\r\n", text);
    const auto releases = makeBytes(head + "\r\n", text);
    hosts.upstream().setEndlessAnswer(requestTarget, requests);
    hosts.upstream().setEndlessAnswer(grantTarget, grants);
    hosts.upstream().setEndlessAnswer(releaseTarget, releases);
    hosts.sendFor(endlessDuration);
    hosts.upstream().setDraining();
    hosts.sendFor(endlessDuration);
    hosts.checkSurvival();
    CHECK(requests->maxOpen >= minConcurrent);
    CHECK(grants->started > 0);
    CHECK(releases->started > 0);
}
