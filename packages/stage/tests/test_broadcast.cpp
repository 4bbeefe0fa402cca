// How news reaches many hosts.
#include "stage/awaited_table.h"
#include "stage/broadcast.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace kumquat {
namespace {

// Plays how news goes from one host to all others.
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

    std::map<std::string, int> copies; // got, by node
    int maxSent = 0;                   // by one host
    int hops = 0;
    int betweenRegions = 0;
    int betweenCentres = 0;

private:
    void send(const std::string &from, const std::vector<std::string> &nodes, int hop)
    {
        this->hops = std::max(this->hops, hop);
        std::vector<BroadcastHost> others;
        for (const std::string &node : nodes) {
            others.push_back(this->byNode[node]);
        }
        const std::vector<BroadcastBranch> parts = planBroadcast(this->byNode[from], others);
        this->maxSent = std::max(this->maxSent, static_cast<int>(parts.size()));
        for (const BroadcastBranch &part : parts) {
            ++this->copies[part.head];
            const bool isFar = this->byNode[part.head].region != this->byNode[from].region;
            const bool isNear = this->byNode[part.head].dataCentre == this->byNode[from].dataCentre;
            this->betweenRegions += isFar ? 1 : 0;
            this->betweenCentres += isFar || isNear ? 0 : 1;
            this->send(part.head, part.rest, hop + 1);
        }
    }

    std::vector<BroadcastHost> hosts;
    std::map<std::string, BroadcastHost> byNode;
};

std::vector<BroadcastHost> makeHosts(int count, int regions, int centresOfRegion)
{
    std::vector<BroadcastHost> hosts;
    for (int i = 0; i < count; ++i) {
        const std::string region = "region-" + std::to_string(i % regions);
        const std::string centre = region + "-" + std::to_string(i / regions % centresOfRegion);
        hosts.push_back(
                {.node = "host-" + std::to_string(i), .dataCentre = centre, .region = region});
    }
    return hosts;
}

} // namespace

// Guards against GONE on large sites: one host sent each key table to all others, which filled its
// link for most of a second, and the requests and cancellations of its callers waited behind.
TEST_CASE("a host sends few copies of a table, however many hosts there are", "[broadcast]")
{
    const BroadcastSimulation broadcast(makeHosts(295, 3, 3));
    CHECK(broadcast.copies.size() == 294);
    CHECK(broadcast.maxSent <= 8);
    CHECK(broadcast.hops <= 6);
    CHECK(broadcast.betweenRegions == 2);
    CHECK(broadcast.betweenCentres == 6);
}

// Guards against the same by another way: all hosts ask the few that have the table.
TEST_CASE("a table that goes from host to host is asked for only if it does not come",
          "[broadcast]")
{
    AwaitedTable awaited;
    CHECK_FALSE(awaited.isOverdue(7, 7, 10s));
    CHECK_FALSE(awaited.isOverdue(8, 7, 10s)); // heard of
    CHECK_FALSE(awaited.isOverdue(9, 7, 10s + 140ms));
    CHECK(awaited.isOverdue(9, 7, 10s + 150ms));
    CHECK_FALSE(awaited.isOverdue(9, 8, 10s + 200ms)); // the first came, another one is on its way
    CHECK(awaited.isOverdue(9, 8, 10s + 350ms));
}

TEST_CASE("news reaches each host once", "[broadcast]")
{
    const bool isHeld = rc::check("any number of hosts in any places", [] {
        const int count = *rc::gen::inRange(1, 200);
        const BroadcastSimulation broadcast(
                makeHosts(count, *rc::gen::inRange(1, 6), *rc::gen::inRange(1, 6)));
        RC_ASSERT(static_cast<int>(broadcast.copies.size()) == count - 1);
        RC_ASSERT(std::all_of(broadcast.copies.begin(), broadcast.copies.end(),
                              [](const auto &entry) { return entry.second == 1; }));
    });
    CHECK(isHeld);
}

} // namespace kumquat
