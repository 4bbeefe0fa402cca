#include "path_bench/caller.h"
#include "path_bench/cluster.h"
#include "path_bench/cost.h"

#include <catch2/catch.hpp>

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

TEST_CASE("quantiles never report less than the share of answers took")
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

TEST_CASE("processor time is found behind a name with spaces and parentheses")
{
    const std::string stat = "7 (a b) c) S 1 7 7 0 -1 4 5 0 0 0 150 50 0 0 20 0 3 0 1 2 3";
    CHECK(parseProcessorTime(stat) == 2s);
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

TEST_CASE("a metric is not taken for another one with a longer name")
{
    const std::string text = "# HELP a_total x\na_total_sum 3\na_total 12\n";
    CHECK(findMetric(text, "a_total") == 12);
    CHECK(findMetric(text, "b_total") == 0);
}
