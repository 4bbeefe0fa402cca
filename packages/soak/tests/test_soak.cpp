// Tests the plan of a soak run and the proxy that injects its link faults.
#include "soak/soak_plan.h"
#include "standins/http.h"

#include <catch2/catch.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <set>
#include <thread>

namespace kumquat {

namespace {

// Sends a whole request and resets the connection a moment later.
void resetAfterSending(const Address &address)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(address.ip), address.port});
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::this_thread::sleep_for(100ms);
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
    std::this_thread::sleep_for(50ms);
}

} // namespace

// Guards against a plan that differs between runs: a failed seed must reproduce the same faults.
TEST_CASE("a seed gives the same plan each time", "[soak_plan]")
{
    const SoakPlanSettings settings{.length = 60s, .hosts = 6};
    const std::vector<SoakEvent> first = planSoak(7, settings);
    const std::vector<SoakEvent> second = planSoak(7, settings);
    REQUIRE(first.size() == second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(first[i].text() == second[i].text());
    }
    CHECK(planSoak(8, settings).front().text() != first.front().text());
}

// Guards against a plan in which faults never overlap or some kinds never occur.
TEST_CASE("faults of all kinds occur, and faults overlap", "[soak_plan]")
{
    std::set<SoakFault> kinds;
    std::size_t overlaps = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const std::vector<SoakEvent> events = planSoak(seed, {.length = 30s, .hosts = 6});
        for (std::size_t i = 0; i < events.size(); ++i) {
            kinds.insert(events[i].fault);
            CHECK(events[i].end() <= 30s);
            overlaps += i > 0 && events[i].at < events[i - 1].end() ? 1 : 0;
        }
    }
    CHECK(kinds.size() == soakFaultNames.entries.size());
    CHECK(overlaps > 40);
}

// Guards against a proxy that loses or alters bytes without a fault, or that forwards bytes while
// the link is silent.
TEST_CASE("the proxy passes, delays, holds back and resets", "[fault_proxy]")
{
    std::atomic<int> received{0};
    auto server = HttpServer::start({"127.0.0.1", 0}, [&](const HttpRequest &request) {
        ++received;
        return HttpAnswer{200, {}, request.body};
    });
    REQUIRE(server.ok());
    ProxyThread thread;
    const Address listen{"127.0.0.1", 19'472};
    auto proxy = FaultProxy::create(thread, listen, {"127.0.0.1", (*server)->port()});
    REQUIRE(proxy.ok());
    HttpClient client(listen);
    const auto send = [&](Duration timeout) {
        return client.send({"POST", "/", {}, std::string(100'000, 'x')}, timeout);
    };
    HttpExchange exchange = send(2s);
    REQUIRE(exchange.result == ExchangeResult::Answered);
    CHECK(exchange.answer.body == std::string(100'000, 'x'));

    (*proxy)->set({.fault = LinkFault::SilentFromTarget});
    CHECK(send(300ms).result == ExchangeResult::TimedOut);
    (*proxy)->set({.fault = LinkFault::Delayed, .delay = 100ms});
    const Time started = readBootTime();
    CHECK(send(5s).result == ExchangeResult::Answered);
    CHECK(readBootTime() - started >= 200ms);

    // A request whose caller resets its connection during the silence is not delivered afterwards.
    const int before = received;
    (*proxy)->set({.fault = LinkFault::SilentToTarget});
    resetAfterSending(listen);
    (*proxy)->set({});
    std::this_thread::sleep_for(200ms);
    CHECK(received == before);

    (*proxy)->set({.fault = LinkFault::Reset});
    (*proxy)->set({});
    bool isServed = false;
    for (int attempt = 0; attempt < 3 && !isServed; ++attempt) {
        isServed = send(2s).result == ExchangeResult::Answered;
    }
    CHECK(isServed);
}

} // namespace kumquat
