#include "net/http_server.h"
#include "path_bench/caller.h"
#include "path_bench/cluster.h"
#include "path_bench/cost.h"
#include "path_bench/path.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace kumquat;

TEST_CASE("an answer is complete only with its header and its whole body")
{
    const std::string header = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
    CHECK(measureAnswer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n").header == 0);
    CHECK(measureAnswer(header + "abc").header == header.size());
    CHECK(measureAnswer(header + "abc").body == 5);
}

TEST_CASE("a request id has the form that kumquatstage accepts")
{
    std::mt19937_64 random(1);
    const std::string id = makeUuid(WallTime(0x0190'1234'5678), random);
    CHECK(id.size() == 36);
    CHECK(id.substr(0, 15) == "01901234-5678-7");
    CHECK(std::string("89ab").find(id[19]) != std::string::npos);
}

TEST_CASE("a quantile is not lower than the latencies of its share of the answers")
{
    LoadResult load;
    CHECK(load.quantile(0.99) == Duration::zero());
    for (int index = 1; index <= 1000; ++index) {
        load.latencies.emplace_back(index);
    }
    CHECK(load.quantile(0.5) == Duration(500));
    CHECK(load.quantile(0.99) == Duration(990));
    CHECK(load.quantile(0.999) == Duration(999));
    CHECK(load.quantile(1) == Duration(1000));
}

namespace {

// Answers each request after a delay.
struct SlowServer
{
    explicit SlowServer(Duration delay)
        : server(HttpServer::create(this->thread, {},
                                    {.handle =
                                             [this, delay](const HttpRequest &) {
                                                 sleepFor(this->thread.io(), delay);
                                                 return HttpResponse{};
                                             },
                                     .refuse =
                                             [](ErrorKind) {
                                                 return HttpResponse{
                                                         .status = 400, .fields = {}, .body = {}};
                                             },
                                     .isClosing = [] { return false; }}))
    {
        REQUIRE(this->server->listen(this->address, true).ok());
        this->thread.start();
    }

    FiberThread thread{"slow-server"};
    Address address{"127.0.0.1", findFreePort()};
    std::shared_ptr<HttpServer> server;
};

OpenRound makeRound(Duration latency)
{
    OpenRound round;
    for (LoadResult *load : {&round.load, &round.direct}) {
        load->latencies.assign(1000, 200us);
        load->lags.assign(1000, 20us);
        load->elapsed = 2s;
        load->idleCores = 3;
    }
    round.load.latencies.assign(1000, latency);
    return round;
}

} // namespace

TEST_CASE("waiting for a free connection counts as latency, not as lag of the caller")
{
    const SlowServer slow(20ms);
    const LoadResult load = runLoad(
            {.target = slow.address, .connections = 1, .keys = 1, .duration = 500ms, .rate = 200});
    // Requests are due every 5 ms but take 20 ms, so the last of 100 waits for 100 times 15 ms.
    CHECK(load.quantile(0.5) > 200ms);
    CHECK(load.lagQuantile(0.5) < 10ms);
    CHECK(load.lags.size() == 100);
}

TEST_CASE("answers of the warm-up are not in the result")
{
    const SlowServer slow(0ms);
    const Time start = readBootTime();
    const LoadResult load = runLoad({.target = slow.address,
                                     .connections = 2,
                                     .keys = 1,
                                     .warmUp = 300ms,
                                     .duration = 200ms,
                                     .rate = 100});
    CHECK(load.latencies.size() == 20);
    CHECK(load.elapsed <= readBootTime() - start - 300ms);
}

TEST_CASE("a round is not valid if the caller was late or the machine had no free core")
{
    CHECK(makeRound(300us).describeDisturbance().empty());
    OpenRound late = makeRound(300us);
    std::fill(late.direct.lags.end() - 20, late.direct.lags.end(), 2ms);
    CHECK(late.describeDisturbance() == "direct: caller late by 2000 us");
    OpenRound stolen = makeRound(300us);
    stolen.load.stolen = 50ms;
    CHECK(stolen.describeDisturbance() == "path: 50 ms stolen");
    OpenRound busy = makeRound(300us);
    busy.load.idleCores = 0.5;
    CHECK(busy.describeDisturbance() == "path: 0.5 cores idle");
}

TEST_CASE("an open-loop row reports the valid round with the median added p99, or the slower of "
          "the middle two")
{
    OpenRound fast = makeRound(200us);
    fast.load.stolen = 50ms;
    OpenRow row;
    row.rounds = {makeRound(900us), fast, makeRound(400us)};
    CHECK(row.validRounds() == 2);
    CHECK(row.median().added(0.99) == 700us);
    row.rounds = {fast};
    CHECK(row.validRounds() == 0);
    CHECK(row.median().added(0.99) == 0us);
}

TEST_CASE("processor time is parsed after a process name with spaces and parentheses")
{
    const std::string stat = "7 (a b) c) S 1 7 7 0 -1 4 5 0 0 0 150 50 0 0 20 0 3 0 1 2 3";
    CHECK(parseProcessorTime(stat) == 2s);
}

TEST_CASE("stolen time is not confused with interrupt or guest time")
{
    const std::string stat = "cpu  1 2 3 4 5 6 7 150 9 10\ncpu0 1 2 3 4 5 6 7 8 9 10\n";
    CHECK(parseMachineTimes(stat).stolen == 1500ms);
    CHECK(parseMachineTimes(stat).idle == 40ms);
    CHECK(parseMachineTimes("cpu  1 2 3").stolen == Duration::zero());
}

TEST_CASE("only sockets of the given processes and ports are counted")
{
    const std::string mesh = "ESTAB 0 0 127.0.0.1:20001 127.0.0.1:50000 "
                             "users:((\"kumquatstage\",pid=11,fd=5)) bbr bytes_sent:100 "
                             "bytes_retrans:10 bytes_acked:90 bytes_received:40 segs_out:3 "
                             "segs_in:2 data_segs_out:1 data_segs_in:1\n";
    const std::string otherProcess = "ESTAB 0 0 127.0.0.1:50000 127.0.0.1:20001 "
                                     "users:((\"x\",pid=12,fd=5)) bytes_sent:7 segs_out:1\n";
    const std::string otherPort =
            "ESTAB 0 0 127.0.0.1:20002 127.0.0.1:50001 "
            "users:((\"kumquatstage\",pid=11,fd=6)) bytes_sent:7 segs_out:1\n";
    const SocketCounters sum = sumSockets(mesh + otherProcess + otherPort, {11}, {20001});
    CHECK(sum.sockets == 1);
    CHECK(sum.sentBytes == 90);
    CHECK(sum.receivedBytes == 40);
    CHECK(sum.wireBytes() == 130 + 5 * 52);
}

TEST_CASE("a metric is not confused with one that has a longer name")
{
    const std::string text = "# HELP a_total x\na_total_sum 3\na_total 12\n";
    CHECK(findMetric(text, "a_total") == 12);
    CHECK(findMetric(text, "b_total") == 0);
}
