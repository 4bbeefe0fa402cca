// What a process does with upstreams whose answers never end.
#include "standins/platform_caller.h"
#include "system/platform_cluster.h"

#include <catch2/catch.hpp>

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

constexpr int memoryLimitKilobytes = 160'000'000 / 1024; // of the users' smallest host
constexpr int upstreamSlots = 32;
constexpr int callerCount = 48;                     // more than there are slots
constexpr int leastAtOnce = upstreamSlots / 2;      // answers without end
constexpr int leastSoundRequests = 20;              // while the others are under way
constexpr std::chrono::milliseconds patience{1500}; // of all callers, as the timeout of the route
constexpr Duration soundPause = 40ms;               // between the requests to the sound host
constexpr Duration longestStart = 20s;
constexpr Duration bytesTime = 2500ms;     // of one kind of bytes
constexpr std::size_t blockBytes = 65'536; // written at a time

const std::string requestTarget = "/v/x"; // of makeCallerRequest
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

std::shared_ptr<EndlessBytes> makeBytes(const std::string &first, const std::string &then)
{
    auto bytes = std::make_shared<EndlessBytes>();
    bytes->prefix = first;
    bytes->repeatedPart = then;
    return bytes;
}

const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\n";

// Returns the most memory that a process has had, in kilobytes.
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

// Returns a key that an upstream holds, or one that it does not if it holds none.
std::uint32_t findHeldKey(PlatformCluster &cluster, const PlatformHost &host)
{
    const auto rows = cluster.ledger.grantedRanges(host.endpoint->instance());
    return rows.empty() ? 0 : rows.front().first + (rows.front().last - rows.front().first) / 2;
}

HttpExchange sendTo(HttpClient &client, const std::string &id, std::uint32_t key)
{
    return client.send(makeCallerRequest({.id = id, .key = key, .timeout = patience}), patience);
}

bool isServed(const HttpExchange &exchange, const std::string &id)
{
    constexpr int statusOk = 200;
    return exchange.result == ExchangeResult::Answered && exchange.answer.status == statusOk
           && isAnswerTo(exchange.answer, id);
}

// Returns how a request ended, and after which time.
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

// Hosts with a part of the keys each. The upstream of the last one stays sound; the others become
// faulty, each beside a process that no other fault has touched.
class FaultyHosts
{
public:
    explicit FaultyHosts(int faultyCount)
        : cluster({.hosts = faultyCount + 1, .slots = upstreamSlots})
    {}

    // Lets all requests enter through one host from now on, and waits until its upstream and the
    // sound one hold keys and are reached through it.
    bool enter(std::size_t index)
    {
        this->entry = &this->cluster.host(index);
        this->soundRequests = 0;
        const Time giveUp = readBootTime() + longestStart;
        while (readBootTime() < giveUp) {
            const bool holdKeys =
                    this->holdsKeys(*this->entry) && this->holdsKeys(this->cluster.hosts().back());
            if (holdKeys && this->serves(this->faultyKey()) && this->serves(this->soundKey())) {
                this->unserved.clear();
                return true;
            }
            std::this_thread::sleep_for(soundPause);
        }
        return false;
    }

    PlatformEndpoint &upstream() { return *this->entry->endpoint; }

    // Sends many requests at once to the upstream of the entry, and meanwhile one after the other
    // to the sound one.
    void sendFor(Duration time)
    {
        const Time end = readBootTime() + time;
        std::atomic<bool> isOver{false};
        std::vector<std::thread> callers;
        for (int i = 0; i < callerCount; ++i) {
            callers.emplace_back([this, &isOver, i] { this->callFaulty(isOver, i); });
        }
        for (int i = 0; i < leastSoundRequests || readBootTime() < end; ++i) {
            ++this->soundRequests;
            this->serves(this->soundKey());
            std::this_thread::sleep_for(soundPause);
        }
        isOver = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    // Checks that the process of the entry runs in its memory and has answered every request for
    // the sound upstream.
    void checkSurvival()
    {
        Child &process = *this->entry->process;
        CHECK(process.isRunning());
        const int peak = peakKilobytes(process);
        INFO("peak " << peak << " kB, sound requests " << this->soundRequests);
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
        if (!isGood) {
            this->unserved.push_back(describe(exchange, readBootTime() - started));
        }
        return isGood;
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

    // Keys move while their loads change, so each request asks for one that is held now.
    std::uint32_t faultyKey() { return findHeldKey(this->cluster, *this->entry); }
    std::uint32_t soundKey() { return findHeldKey(this->cluster, this->cluster.hosts().back()); }

    PlatformCluster cluster;
    PlatformHost *entry = nullptr;
    int lastId = 0;
    int soundRequests = 0;
    std::vector<std::string> unserved; // how the requests to the sound upstream ended
};

struct Kind
{
    std::string name;
    std::string first;
    std::string then;
};

std::vector<Kind> listKinds()
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

// Guards against an upstream whose answers never end and that fills the memory of its host, which
// ends the requests of all other clients with it.
TEST_CASE("answers without end leave a process in its memory and others served", "[endless]")
{
    const std::vector<Kind> kinds = listKinds();
    FaultyHosts hosts(static_cast<int>(kinds.size()));
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        INFO(kinds[i].name);
        REQUIRE(hosts.enter(i));
        const auto bytes = makeBytes(kinds[i].first, kinds[i].then);
        hosts.upstream().setEndlessAnswer(requestTarget, bytes);
        hosts.sendFor(bytesTime);
        hosts.checkSurvival();
        INFO("answers " << bytes->started << ", bytes " << bytes->written);
        CHECK(bytes->maxOpen >= leastAtOnce);
    }
}

// Guards against the same in answers to grants and releases, which other connections with other
// bounds carry, while the answers to requests have no end either.
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
    hosts.sendFor(bytesTime);
    hosts.upstream().setDraining();
    hosts.sendFor(bytesTime);
    hosts.checkSurvival();
    CHECK(requests->maxOpen >= leastAtOnce);
    CHECK(grants->started > 0);
    CHECK(releases->started > 0);
}
