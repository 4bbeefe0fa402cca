// Tests of the broadcast of new state to many hosts.
#include "stage/awaited_table.h"
#include "stage/broadcast.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace kumquat {
namespace {

// Simulates a broadcast from one host to all others.
class BroadcastSimulation
{
public:
    explicit BroadcastSimulation(std::vector<BroadcastHost> allHosts)
        : hosts(std::move(allHosts))
    {
        std::vector<std::string> others;
        for (const BroadcastHost &host : this->hosts) {
            this->byNode[host.node] = host;
            if (host.node != this->hosts.front().node) {
                others.push_back(host.node);
            }
        }
        this->send(this->hosts.front().node, others, 0);
    }

    std::map<std::string, int> copies; // received, by node
    int maxSent = 0;                   // copies sent by one host
    int hops = 0;
    int betweenRegions = 0;
    int betweenDataCentres = 0;

private:
    void send(const std::string &from, const std::vector<std::string> &nodes, int hop)
    {
        this->hops = std::max(this->hops, hop);
        std::vector<BroadcastHost> others;
        for (const std::string &node : nodes) {
            others.push_back(this->byNode[node]);
        }
        const std::vector<BroadcastBranch> branches = planBroadcast(this->byNode[from], others);
        this->maxSent = std::max(this->maxSent, static_cast<int>(branches.size()));
        for (const BroadcastBranch &branch : branches) {
            ++this->copies[branch.head];
            const bool isFar = this->byNode[branch.head].region != this->byNode[from].region;
            const bool isNear =
                    this->byNode[branch.head].dataCentre == this->byNode[from].dataCentre;
            this->betweenRegions += isFar ? 1 : 0;
            this->betweenDataCentres += isFar || isNear ? 0 : 1;
            this->send(branch.head, branch.rest, hop + 1);
        }
    }

    std::vector<BroadcastHost> hosts;
    std::map<std::string, BroadcastHost> byNode;
};

std::vector<BroadcastHost> makeHosts(int count, int regions, int dataCentresPerRegion)
{
    std::vector<BroadcastHost> hosts;
    for (int i = 0; i < count; ++i) {
        const std::string region = "region-" + std::to_string(i % regions);
        const std::string dataCentre =
                region + "-" + std::to_string(i / regions % dataCentresPerRegion);
        hosts.push_back(
                {.node = "host-" + std::to_string(i), .dataCentre = dataCentre, .region = region});
    }
    return hosts;
}

} // namespace

// Guards against late cancellations on large sites: one host sent each key table to all others,
// which filled its network link for most of a second and delayed the requests and cancellations of
// its callers.
TEST_CASE("a host sends few copies of a table, however many hosts there are", "[broadcast]")
{
    const BroadcastSimulation broadcast(makeHosts(295, 3, 3));
    CHECK(broadcast.copies.size() == 294);
    CHECK(broadcast.maxSent <= 8);
    CHECK(broadcast.hops <= 6);
    CHECK(broadcast.betweenRegions == 2);
    CHECK(broadcast.betweenDataCentres == 6);
}

// Guards against the same delays from another cause: all hosts request a table from the few that
// have it.
TEST_CASE("a broadcast table is requested only if it does not arrive", "[broadcast]")
{
    AwaitedTable awaited;
    CHECK_FALSE(awaited.isOverdue(7, 7, 10s));
    CHECK_FALSE(awaited.isOverdue(8, 7, 10s)); // the first report of this end
    CHECK_FALSE(awaited.isOverdue(9, 7, 10s + 140ms));
    CHECK(awaited.isOverdue(9, 7, 10s + 150ms));
    // The first table has arrived, and another one is on its way.
    CHECK_FALSE(awaited.isOverdue(9, 8, 10s + 200ms));
    CHECK(awaited.isOverdue(9, 8, 10s + 350ms));
}

TEST_CASE("a broadcast reaches each host once", "[broadcast]")
{
    const bool holds = rc::check("any number of hosts in any places", [] {
        const int count = *rc::gen::inRange(1, 200);
        const BroadcastSimulation broadcast(
                makeHosts(count, *rc::gen::inRange(1, 6), *rc::gen::inRange(1, 6)));
        RC_ASSERT(static_cast<int>(broadcast.copies.size()) == count - 1);
        RC_ASSERT(std::all_of(broadcast.copies.begin(), broadcast.copies.end(),
                              [](const auto &entry) { return entry.second == 1; }));
    });
    CHECK(holds);
}

} // namespace kumquat
