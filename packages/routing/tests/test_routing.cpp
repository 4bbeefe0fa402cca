// Tests of route matching, weights, and the choice of hosts for requests without a key.
#include "routing/configuration.h"
#include "routing/host_picker.h"

#include <catch2/catch.hpp>

#include <cmath>

#include <map>

namespace kumquat {
namespace {

Route makeRoute(const std::string &prefix, std::vector<ServiceWeight> services)
{
    return {.name = "r" + prefix,
            .host = "shop.example",
            .prefix = prefix,
            .services = std::move(services)};
}

constexpr HostLoad idleLoad{.isUsable = true, .inFlight = 0, .slots = 9, .serviceSeconds = 0.03};

} // namespace

TEST_CASE("the longest prefix of the path decides", "[routing]")
{
    Configuration configuration;
    configuration.routes = {makeRoute("/a/", {{"one", 1}}), makeRoute("/a/b/", {{"two", 1}})};
    REQUIRE(configuration.match("shop.example", "/a/b/c?x=/z/") != nullptr);
    CHECK(configuration.match("shop.example", "/a/b/c?x=/z/")->prefix == "/a/b/");
    CHECK(configuration.match("shop.example:80", "/a/x")->prefix == "/a/");
    CHECK(configuration.match("shop.example", "/b/?p=/a/") == nullptr);
    CHECK(configuration.match("other.example", "/a/") == nullptr);
}

// Guards against a random choice, which would not match the weights in short runs of requests.
TEST_CASE("each short run of requests matches the weights of its route", "[routing]")
{
    const Route route = makeRoute("/a/", {{"one", 90}, {"two", 10}});
    RouteSplitter splitter(7);
    for (int run = 0; run < 20; ++run) {
        std::map<std::string, int> counts;
        for (int request = 0; request < 10; ++request) {
            ++counts[splitter.pick(route)];
        }
        CHECK(counts["one"] == 9);
        CHECK(counts["two"] == 1);
    }
}

// Load pattern: a route whose weights are new, with two requests to each of 91 hosts. Each host
// began with the service of the highest weight, so the other one got no requests.
TEST_CASE("many hosts with few requests each match the weights together", "[routing]")
{
    for (const std::uint32_t weight : {55U, 60U, 75U, 80U, 90U}) {
        const Route route = makeRoute("/a/", {{"one", weight}, {"two", 100 - weight}});
        int first = 0;
        int all = 0;
        for (std::uint64_t host = 0; host < 91; ++host) {
            RouteSplitter splitter(host);
            for (int request = 0; request < 2; ++request, ++all) {
                first += splitter.pick(route) == "one" ? 1 : 0;
            }
        }
        INFO(weight);
        CHECK(std::abs(100.0 * first / all - weight) < 10); // the users' bound for shares
    }
}

TEST_CASE("a near host is used until its slots are full", "[host_picker]")
{
    HostPicker picker;
    const std::vector<HostCandidate> hosts{{"far", HostDistance::OtherRegion},
                                           {"near", HostDistance::SameDataCentre}};
    picker.noteLoad("far", idleLoad, 1s);
    HostLoad busy = idleLoad;
    busy.inFlight = 8;
    picker.noteLoad("near", busy, 1s);
    CHECK(picker.pick(hosts, 1s) == "near");
    busy.inFlight = 100;
    picker.noteLoad("near", busy, 1s);
    CHECK(picker.pick(hosts, 1s) == "far");
}

// Guards against idle new upstreams: next to known fast ones they got no requests, because they
// counted as slower until they were measured.
TEST_CASE("a new host gets requests among known hosts", "[host_picker]")
{
    HostPicker picker;
    const std::vector<HostCandidate> hosts{{"known", HostDistance::SameDataCentre},
                                           {"new", HostDistance::SameDataCentre}};
    HostLoad known = idleLoad;
    known.inFlight = 1;
    picker.noteLoad("known", known, 1s);
    CHECK(picker.pick(hosts, 1s) == "new");
}

// Guards against an upstream that immediately rejects or fails a part of its requests while its
// health check passes: it looks idle and fast and would attract the requests of all other
// upstreams.
TEST_CASE("a host whose upstream fails a share of its requests gets fewer", "[host_picker]")
{
    HostPicker picker;
    const std::vector<HostCandidate> hosts{{"failing", HostDistance::SameDataCentre},
                                           {"sound", HostDistance::SameRegion}};
    HostLoad busy = idleLoad;
    busy.inFlight = 6;
    int failing = 0;
    Time now = 1s;
    for (int request = 0; request < 100; ++request, now += 10ms) {
        picker.noteLoad("failing", idleLoad, now);
        picker.noteLoad("sound", busy, now);
        const std::string node = *picker.pick(hosts, now);
        const bool fails = node == "failing" && request % 5 < 2;
        failing += node == "failing" ? 1 : 0;
        picker.noteSent(node);
        picker.noteEnd(node, fails ? CallEnd::Refused : CallEnd::Answered, now);
    }
    CHECK(failing < 20);
    CHECK(picker.pick(hosts, now + 20s) == "failing"); // tried again
}

TEST_CASE("a host that lost requests is avoided for a while and tried again", "[host_picker]")
{
    HostPicker picker;
    const std::vector<HostCandidate> hosts{{"a", HostDistance::SameDataCentre},
                                           {"b", HostDistance::SameRegion}};
    picker.noteLoad("a", idleLoad, 1s);
    picker.noteLoad("b", idleLoad, 1s);
    picker.noteSent("a");
    picker.noteEnd("a", CallEnd::Lost, 1s);
    CHECK(picker.pick(hosts, 1100ms) == "b");
    CHECK(picker.pick(hosts, 1700ms) == "a");
}

// Load: requests of 400 ms and calls of 40 ms at one service, whose hosts differ in speed. Guards
// against calls that cross regions for hosts which are faster only for the longer requests.
TEST_CASE("a call goes to another region only if its own work gains by it", "[host_picker]")
{
    constexpr std::uint64_t longRoute = 1;
    constexpr std::uint64_t callRoute = 2;
    HostPicker picker;
    const std::vector<HostCandidate> hosts{{"slow", HostDistance::SameDataCentre},
                                           {"fast", HostDistance::OtherRegion}};
    picker.noteLoad("slow", {.inFlight = 5, .slots = 10, .serviceSeconds = 0.6}, 1s);
    picker.noteLoad("fast", {.inFlight = 2, .slots = 10, .serviceSeconds = 0.3}, 1s);
    for (int i = 0; i < 50; ++i) {
        picker.noteAnswered(longRoute, 400ms);
        picker.noteAnswered(callRoute, 40ms);
    }
    CHECK(picker.pick(hosts, 1s, {.route = longRoute}) == "fast");
    CHECK(picker.pick(hosts, 1s, {.route = callRoute, .staysNear = true}) == "slow");
    // It waits for one slot, not behind all requests of callers.
    picker.noteLoad("slow", {.inFlight = 16, .slots = 10, .serviceSeconds = 0.6}, 1s);
    CHECK(picker.pick(hosts, 1s, {.route = callRoute, .staysNear = true}) == "slow");
    CHECK(picker.pick(hosts, 1s, {.route = longRoute}) == "fast");
}

// Load: large answers while the links of all hosts of a region are full. Guards against answers
// that fill the links of two regions.
TEST_CASE("large answers leave the region only if no host of it is up", "[host_picker]")
{
    HostPicker picker;
    std::vector<HostCandidate> hosts{
            {.node = "near", .distance = HostDistance::SameRegion, .isAdmitted = false},
            {.node = "far", .distance = HostDistance::OtherRegion}};
    picker.noteLoad("near", idleLoad, 1s);
    picker.noteLoad("far", idleLoad, 1s);
    CHECK(picker.pick(hosts, 1s, {.hasLargeAnswer = true}) == std::nullopt);
    CHECK(picker.pick(hosts, 1s) == "far");
    hosts.front().isAdmitted = true;
    CHECK(picker.pick(hosts, 1s, {.hasLargeAnswer = true}) == "near");
    hosts.erase(hosts.begin());
    CHECK(picker.pick(hosts, 1s, {.hasLargeAnswer = true}) == "far");
}

} // namespace kumquat
