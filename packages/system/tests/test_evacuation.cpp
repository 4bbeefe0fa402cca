// Tests evacuated data centres and routes limited to regions with real kumquatstage processes, one
// per upstream, and with stand-ins for the store and the upstreams.
#include "base/time.h"
#include "standins/platform_caller.h"
#include "system/platform_cluster.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <map>
#include <set>
#include <thread>

using namespace kumquat;

namespace {

constexpr std::uint32_t keyStep = 4'001; // distributes the keys of a test over all ranges
constexpr Duration takesEffect = 5s;     // from the acknowledged record, as the users require
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr auto operatorTopic = "keyed.op";
constexpr auto evacuationOfB = "evacuate/b";

// Sends requests to the hosts of a cluster and records which of them were refused.
class Sender
{
public:
    explicit Sender(PlatformCluster &senderCluster)
        : cluster(senderCluster)
    {}

    // Returns the HTTP status, 0 if there was no answer.
    int send(const PlatformHost &host, CallerRequest request)
    {
        HttpClient client(host.callers);
        request.id = "request-" + std::to_string(++this->lastRequest);
        const HttpExchange exchange = client.send(makeCallerRequest(request), 2s);
        const int status = exchange.result == ExchangeResult::Answered ? exchange.answer.status : 0;
        if (status == statusUnavailable) {
            this->refused.insert(request.id);
        }
        return status;
    }

    // Sends requests for keys of all ranges through all hosts. Returns the number of answers.
    int sendToAllKeys()
    {
        int answered = 0;
        for (std::uint32_t key = 0; key <= 65'535; key += keyStep) {
            const PlatformHost &host = this->cluster.host(key % this->cluster.hosts().size());
            answered += this->send(host, {.key = key}) == statusOk ? 1 : 0;
        }
        return answered;
    }

    // Sends until one round has been answered completely. Returns false after the timeout.
    bool waitUntilServed(Duration timeout)
    {
        constexpr int keys = 65'535 / keyStep + 1;
        const Time end = readBootTime() + timeout;
        while (this->sendToAllKeys() < keys) {
            if (readBootTime() > end) {
                return false;
            }
        }
        return true;
    }

    // Checks that no key had two owners, no request ran twice and no refused request ran.
    void checkGuarantees() const
    {
        for (const std::string &line : this->cluster.ledger.conflicts()) {
            FAIL_CHECK(line);
        }
        const std::multiset<std::string> runs = this->cluster.collectRuns();
        for (const std::string &id : runs) {
            INFO(id);
            CHECK(runs.count(id) == 1);
            CHECK_FALSE(this->refused.contains(id));
        }
    }

private:
    PlatformCluster &cluster;
    std::set<std::string> refused;
    int lastRequest = 0;
};

// Returns the number of requests that ran at the upstreams of a data centre. Hosts with even
// numbers are in "a", the others in "b".
std::size_t countRuns(PlatformCluster &cluster, const std::string &dataCentre)
{
    std::size_t count = 0;
    for (std::size_t i = dataCentre == "a" ? 0 : 1; i < cluster.hosts().size(); i += 2) {
        count += cluster.host(i).endpoint->runs().size();
    }
    return count;
}

} // namespace

// Load: requests for all keys through all hosts during an evacuation. Guards against requests that
// reach an evacuated data centre: because a process has restarted and does not know the record, or
// because the store is away. Also guards against an evacuation that never ends because the history
// with its removal was dropped.
TEST_CASE("an evacuated data centre gets no request until its record is removed", "[platform]")
{
    PlatformCluster cluster({.dataCentres = {"a", "b"}});
    Sender sender(cluster);
    REQUIRE(sender.waitUntilServed(20s));
    REQUIRE(countRuns(cluster, "b") > 0);

    cluster.store.put(operatorTopic, 0, evacuationOfB, R"({"reason":"test"})");
    std::this_thread::sleep_for(takesEffect);
    const std::size_t before = countRuns(cluster, "b");
    CHECK(sender.waitUntilServed(20s)); // the keys have moved to the hosts in "a"
    CHECK(countRuns(cluster, "b") == before);

    cluster.host(1).process->kill();
    cluster.store.setFault(StoreFault::Down);
    cluster.startProcess(cluster.host(1));
    const Time started = readBootTime();
    while (readBootTime() - started < 3s) {
        sender.sendToAllKeys();
    }
    CHECK(countRuns(cluster, "b") == before);
    cluster.store.setFault(StoreFault::None);
    CHECK(sender.waitUntilServed(20s));
    CHECK(countRuns(cluster, "b") == before);

    cluster.host(3).process->signal(SIGSTOP); // does not see the removal before it is compacted
    cluster.store.put(operatorTopic, 0, evacuationOfB, "");
    cluster.store.compact();
    cluster.host(3).process->signal(SIGCONT);
    const Time removed = readBootTime();
    const auto hasRun = [&cluster](std::size_t host, std::size_t earlier) {
        return cluster.host(host).endpoint->runs().size() > earlier;
    };
    const std::size_t first = cluster.host(1).endpoint->runs().size();
    const std::size_t second = cluster.host(3).endpoint->runs().size();
    while ((!hasRun(1, first) || !hasRun(3, second)) && readBootTime() - removed < 30s) {
        sender.sendToAllKeys();
    }
    CHECK(hasRun(1, first));
    CHECK(hasRun(3, second));
    CHECK(sender.waitUntilServed(20s));
    sender.checkGuarantees();
}

// Load: requests for all keys through all hosts. Guards against requests that reach an evacuated
// data centre because one of its hosts has no link to the store, and against an evacuation that
// never ends there.
TEST_CASE("a host without a link to the store learns of an evacuation from others", "[platform]")
{
    PlatformCluster cluster({.dataCentres = {"a", "b"}, .hasProxies = true});
    Sender sender(cluster);
    REQUIRE(sender.waitUntilServed(20s));
    PlatformHost &cut = cluster.host(1);
    const std::size_t logged = cut.process->output().size(); // also by earlier test cases
    cut.toStore->set({.fault = LinkFault::SilentBothWays});
    cluster.store.put(operatorTopic, 0, evacuationOfB, R"({"reason":"test"})");
    std::this_thread::sleep_for(takesEffect);
    const std::size_t before = countRuns(cluster, "b");
    CHECK(sender.waitUntilServed(20s));
    CHECK(countRuns(cluster, "b") == before);
    CHECK(cut.process->output().find("evacuation in force", logged) != std::string::npos);

    cluster.store.put(operatorTopic, 0, evacuationOfB, "");
    const std::size_t runs = cut.endpoint->runs().size();
    const Time removed = readBootTime();
    while (cut.endpoint->runs().size() == runs && readBootTime() - removed < 30s) {
        sender.sendToAllKeys();
    }
    CHECK(cut.endpoint->runs().size() > runs);
    sender.checkGuarantees();
}

// Load: a route limited to one of two regions, through hosts of both. Guards against a request that
// runs, or a body that is sent, outside the regions of its route.
TEST_CASE("a route with allowed regions runs only there", "[platform]")
{
    const bool hasKeys = GENERATE(false, true);
    PlatformCluster cluster(
            {.dataCentres = {"a", "b"}, .hasKeys = hasKeys, .limitedRegions = {"region-a"}});
    Sender sender(cluster);
    const auto request = [hasKeys](std::uint32_t key, const std::string &prefix) {
        return CallerRequest{.key = hasKeys ? std::optional(key) : std::nullopt,
                             .isIdempotent = true,
                             .prefix = prefix};
    };
    const auto waitUntilServed = [&](std::uint32_t key, const std::string &prefix) {
        const Time started = readBootTime();
        for (const PlatformHost &host : cluster.hosts()) {
            while (sender.send(host, request(key, prefix)) != statusOk
                   && readBootTime() - started < 20s) {
            }
        }
    };
    for (std::uint32_t key = 0; key <= 65'535; key += keyStep) {
        waitUntilServed(key, "");
    }
    const std::size_t before = countRuns(cluster, "b");
    if (!hasKeys) {
        waitUntilServed(0, PlatformCluster::limitedPrefix); // the hosts in "b" know those in "a"
    }
    std::map<int, int> statuses;
    for (std::uint32_t key = 0; key <= 65'535; key += keyStep) {
        for (const PlatformHost &host : cluster.hosts()) {
            const Time sentAt = readBootTime();
            const int status = sender.send(host, request(key, PlatformCluster::limitedPrefix));
            ++statuses[status];
            if (status == statusUnavailable) {
                CHECK(readBootTime() - sentAt < 1s); // its timeout is 1.5 s
            }
        }
    }
    CHECK(countRuns(cluster, "b") == before);
    CHECK(statuses[statusOk] > 0);
    // The owner of a key is the only host that could run its requests.
    CHECK((statuses[statusUnavailable] > 0) == hasKeys);
    CHECK(statuses[statusOk] + statuses[statusUnavailable] == 17 * 4);
    sender.checkGuarantees();
}
