#include "standins/http.h"
#include "standins/ledger.h"
#include "standins/log_store.h"
#include "standins/upstream.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace kumquat;

namespace {

const std::string node = "node-a";

HttpRequest makeRequest(const std::string &method, const std::string &target,
                        const HttpFields &fields = {})
{
    return {method, target, fields, {}, [] { return false; }};
}

std::vector<Run> runsOf(Upstream &upstream)
{
    return parseRecords(upstream.ledger().format()).value().runs;
}

std::string expiresIn(Duration time)
{
    return std::to_string((readBootTime() + time).count());
}

} // namespace

// Guards against a client that reports a lost or late answer as a complete one.
TEST_CASE("an exchange states whether bytes were sent and whether the answer is complete")
{
    const auto handler = [](const HttpRequest &request) {
        if (request.path() == "/lost") {
            return HttpAnswer::lost();
        }
        if (request.path() == "/slow") {
            std::this_thread::sleep_for(200ms);
        }
        return HttpAnswer{200, {{"X-Method", request.method}}, request.body};
    };
    auto server = HttpServer::start({"127.0.0.1", 0}, handler).value();
    HttpClient client({"127.0.0.1", server->port()});
    HttpRequest echo = makeRequest("POST", "/echo?x=1");
    echo.body = "text";
    for (int round = 0; round < 2; ++round) {
        const HttpExchange exchange = client.send(echo, 1s);
        REQUIRE(exchange.result == ExchangeResult::Answered);
        REQUIRE(exchange.answer.body == "text");
        REQUIRE(findField(exchange.answer.fields, "x-method") == "POST");
    }
    REQUIRE(client.send(makeRequest("GET", "/lost"), 1s).result == ExchangeResult::Lost);
    REQUIRE(client.send(makeRequest("GET", "/slow"), 50ms).result == ExchangeResult::TimedOut);
    server.reset();
    REQUIRE(client.send(echo, 1s).result == ExchangeResult::NotConnected);
}

TEST_CASE("query parameters are found by their whole name")
{
    const HttpRequest request = makeRequest("GET", "/a/b?from=7&wait_ms=x&node=");
    REQUIRE(request.path() == "/a/b");
    REQUIRE(request.queryInt("from", 0) == 7);
    REQUIRE(request.queryInt("wait_ms", 5) == 5);
    REQUIRE(request.query("node") == "");
    REQUIRE_FALSE(request.query("wait"));
}

TEST_CASE("the log gives consecutive offsets and wakes a waiting reader")
{
    LogStore store({});
    REQUIRE(store.append("a", node).offset == 0);
    std::thread writer([&] {
        std::this_thread::sleep_for(50ms);
        store.append("b", node);
    });
    const Time start = readBootTime();
    const ReadResult result = store.read(1, 10, 5s, node, nullptr);
    writer.join();
    REQUIRE(result.from == 1);
    REQUIRE(result.end == 2);
    REQUIRE(result.records == std::vector<std::string>{"b"});
    REQUIRE(readBootTime() - start < 1s);
}

TEST_CASE("a lost reply leaves the record in the log, an outage does not")
{
    LogStore store({});
    store.loseReplies(1);
    REQUIRE(store.append("a", node).status == AppendStatus::ReplyLost);
    store.setOutage(OutageMode::Refuse);
    REQUIRE(store.append("b", node).status == AppendStatus::Refused);
    REQUIRE(store.read(0, 10, 0s, node, nullptr).status == ReadStatus::Refused);
    store.setOutage(OutageMode::None);
    REQUIRE(store.read(0, 10, 0s, node, nullptr).records == std::vector<std::string>{"a"});
}

TEST_CASE("expired records move the first kept offset")
{
    LogStoreLimits limits;
    limits.retainedRecords = 2;
    LogStore store(limits);
    for (const char *record : {"a", "b", "c"}) {
        store.append(record, node);
    }
    const ReadResult result = store.read(0, 10, 0s, node, nullptr);
    REQUIRE(result.firstKept == 1);
    REQUIRE(result.from == 1);
    REQUIRE(result.records == std::vector<std::string>{"b", "c"});
}

// Guards against cutting off one node in a way that also affects other readers.
TEST_CASE("a cut node gets no answer until the cut ends")
{
    LogStore store({});
    store.append("a", node);
    store.setCut(node, true);
    REQUIRE(store.read(0, 1, 0s, "node-b", nullptr).status == ReadStatus::Done);
    const Time deadline = readBootTime() + 150ms;
    const auto isDisconnected = [deadline] { return readBootTime() >= deadline; };
    REQUIRE(store.read(0, 1, 0s, node, isDisconnected).status == ReadStatus::Closed);
    store.setCut(node, false);
    REQUIRE(store.read(0, 1, 0s, node, nullptr).status == ReadStatus::Done);
}

TEST_CASE("appends are spaced by the append rate")
{
    LogStoreLimits limits;
    limits.appendRate = 100;
    LogStore store(limits);
    const Time start = readBootTime();
    for (int count = 0; count < 11; ++count) {
        store.append("a", node);
    }
    REQUIRE(readBootTime() - start >= 100ms);
}

TEST_CASE("an upstream records a run with its key, token and fence")
{
    Upstream upstream({});
    const HttpAnswer answer = upstream.handle(makeRequest("POST", "/certdesk/x?token=t1&attempt=2",
                                                          {{"Detector-Id", "D-1"},
                                                           {"Idempotency-Key", "id"},
                                                           {"Kumquat-Fence", "certdesk 5 9"}}));
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body.find("\"token\":\"t1\"") != std::string::npos);
    const std::vector<Run> runs = runsOf(upstream);
    REQUIRE(runs.size() == 1);
    REQUIRE(runs[0].service == "certdesk");
    REQUIRE(runs[0].key == "D-1");
    REQUIRE(runs[0].requestId == "id");
    REQUIRE(runs[0].attempt == 2);
    REQUIRE(runs[0].result == RunResult::Done);
    REQUIRE(runs[0].end > runs[0].start);
}

// Guards against an upstream that runs a request after the lease of its owner has expired. Such an
// upstream would hide faults of the router.
TEST_CASE("an upstream neither starts nor answers a request after its expiry")
{
    UpstreamOptions options;
    options.serviceTime = 200ms;
    Upstream upstream(options);
    const HttpAnswer late = upstream.handle(
            makeRequest("GET", "/testlog/D-1", {{"Kumquat-Expires-Ns", expiresIn(-1ms)}}));
    REQUIRE(late.status == 503);
    REQUIRE(findField(late.fields, "Retry-After"));
    REQUIRE(runsOf(upstream).empty());
    const HttpAnswer cut = upstream.handle(
            makeRequest("GET", "/testlog/D-1", {{"Kumquat-Expires-Ns", expiresIn(50ms)}}));
    REQUIRE(cut.isLost);
    REQUIRE(runsOf(upstream).at(0).result == RunResult::Expired);
    REQUIRE(runsOf(upstream).at(0).end == runsOf(upstream).at(0).expires);
}

TEST_CASE("only an upstream that checks grants refuses an old fence, per slot")
{
    const HttpFields high{{"Kumquat-Fence", "testlog 5 9"}};
    const HttpFields low{{"Kumquat-Fence", "testlog 5 8"}};
    const HttpFields other{{"Kumquat-Fence", "testlog 6 8"}};
    for (const bool checks : {false, true}) {
        UpstreamOptions options;
        options.checksGrants = checks;
        Upstream upstream(options);
        REQUIRE(upstream.handle(makeRequest("GET", "/testlog/a", high)).status == 200);
        REQUIRE(upstream.handle(makeRequest("GET", "/testlog/a", low)).status
                == (checks ? 421 : 200));
        REQUIRE(upstream.handle(makeRequest("GET", "/testlog/a", other)).status == 200);
    }
}

TEST_CASE("shed requests are refused before they run")
{
    Upstream upstream({});
    upstream.handle(makeRequest("POST", "/control/set?shed=100"));
    REQUIRE(upstream.handle(makeRequest("GET", "/testlog/a")).status == 503);
    REQUIRE(upstream.ledger().size() == 0);
}

TEST_CASE("a ledger with an incomplete last line can be read")
{
    Run run;
    run.upstream = "u";
    run.token = "t";
    const std::string line = formatRun(run);
    const auto runs = parseRecords(line + line.substr(0, 10));
    REQUIRE(runs.ok());
    REQUIRE(runs->runs.size() == 1);
    REQUIRE(runs->runs.at(0).result == RunResult::Running);
    REQUIRE_FALSE(parseRecords("no json\n").ok());
}
