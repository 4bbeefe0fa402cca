// Tests of a server with a budget for the bytes that its callers make it hold, over loopback.
#include "net/byte_budget.h"
#include "net/fibers.h"
#include "net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace kumquat {
namespace {

using Tcp = asio::ip::tcp;

constexpr std::uint16_t firstPort = 18'640;
constexpr std::size_t bodyBytes = 250'000;
constexpr std::size_t answerBytes = 8'000'000; // more than the buffers of a connection
constexpr std::uint64_t capacity = 1'000'000;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr int maxChecks = 1'000;
constexpr Duration checkPause = 10ms;

struct BudgetServer
{
    explicit BudgetServer(Duration stallLimit)
        : budget({.capacity = capacity, .reserve = capacity / 8, .stallLimit = stallLimit})
        , thread("test")
        , port(nextPort())
    {
        this->server = HttpServer::create(
                this->thread, {},
                {.handle =
                         [](const HttpRequest &request) {
                             const bool isLarge = request.target == "/large";
                             return HttpResponse{
                                     .body = std::string(isLarge ? answerBytes : 1, 'x')};
                         },
                 .refuse =
                         [](ErrorKind kind) {
                             return HttpResponse{.status = errorInfo(kind).httpStatus};
                         }},
                &this->budget);
        REQUIRE(this->server->listen({"127.0.0.1", this->port}, false).ok());
        this->thread.start();
    }

    ~BudgetServer() { this->thread.stop(); }

    static std::uint16_t nextPort()
    {
        static std::uint16_t last = firstPort;
        return last++;
    }

    std::uint64_t held()
    {
        auto promise = std::make_shared<std::promise<std::uint64_t>>();
        this->thread.post([this, promise] { promise->set_value(this->budget.held()); });
        return promise->get_future().get();
    }

    // Waits until a condition on the bytes that are held is met.
    bool awaitHeld(const std::function<bool(std::uint64_t)> &condition)
    {
        for (int i = 0; i < maxChecks; ++i) {
            if (condition(this->held())) {
                return true;
            }
            std::this_thread::sleep_for(checkPause);
        }
        return false;
    }

    ByteBudget budget;
    FiberThread thread;
    std::shared_ptr<HttpServer> server;
    std::uint16_t port;
};

struct Caller
{
    explicit Caller(const BudgetServer &server)
        : socket(this->io)
    {
        this->socket.connect({asio::ip::make_address("127.0.0.1"), server.port});
    }

    void send(const std::string &text)
    {
        ErrorCode ignored;
        asio::write(this->socket, asio::buffer(text), ignored);
    }

    // Returns the status of the next answer, 0 if the connection was closed.
    int readStatus()
    {
        constexpr std::size_t statusAt = 9; // after "HTTP/1.1 "
        std::string answer;
        ErrorCode error;
        asio::read_until(this->socket, asio::dynamic_buffer(answer), "\r\n\r\n", error);
        return error ? 0 : std::stoi(answer.substr(statusAt));
    }

    asio::io_context io;
    Tcp::socket socket;
};

std::string makeHead(std::size_t length)
{
    return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::vector<std::unique_ptr<Caller>> sendPartialBodies(const BudgetServer &server, int count)
{
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < count; ++i) {
        callers.push_back(std::make_unique<Caller>(server));
        callers.back()->send(makeHead(bodyBytes) + std::string(bodyBytes - 1, 'x'));
    }
    return callers;
}

} // namespace

// Load: three large bodies that stop just short of their end. Guards against stalled bodies that
// keep others out until the time limit of the message.
TEST_CASE("stalled bodies give way to a complete one", "[budget]")
{
    BudgetServer server(50ms);
    const auto stalled = sendPartialBodies(server, 3);
    REQUIRE(server.awaitHeld([](std::uint64_t bytes) { return bytes >= 3 * bodyBytes; }));
    std::this_thread::sleep_for(200ms); // more than the stall limit
    Caller caller(server);
    caller.send(makeHead(bodyBytes) + std::string(bodyBytes, 'x'));
    CHECK(caller.readStatus() == statusOk);
}

// Load: large bodies that fill the share of large bodies. Guards against a refusal that waits for
// the body, and against small requests that find no room.
TEST_CASE("a body without room is refused after its head and small requests are served", "[budget]")
{
    BudgetServer server(1h);
    const auto others = sendPartialBodies(server, 3);
    REQUIRE(server.awaitHeld([](std::uint64_t bytes) { return bytes >= 3 * bodyBytes; }));
    Caller large(server);
    large.send(makeHead(bodyBytes)); // and no body
    CHECK(large.readStatus() == statusUnavailable);
    Caller small(server);
    small.send(makeHead(1) + "x");
    CHECK(small.readStatus() == statusOk);
}

// Load: callers that do not read their answers. Guards against answers that are kept until the time
// limit of the message while others need their room.
TEST_CASE("answers that are not read give way to other requests", "[budget]")
{
    BudgetServer server(50ms);
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(std::make_unique<Caller>(server));
        callers.back()->send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    REQUIRE(server.awaitHeld([](std::uint64_t bytes) { return bytes >= answerBytes; }));
    std::this_thread::sleep_for(200ms); // more than the stall limit
    Caller small(server);
    small.send(makeHead(1) + "x");
    CHECK(small.readStatus() == statusOk);
    CHECK(server.awaitHeld([](std::uint64_t bytes) { return bytes < capacity; }));
}

// Guards against room that is lost with each connection, and so against a process that refuses
// everything after some time.
TEST_CASE("a server returns all bytes when its callers are gone", "[budget]")
{
    BudgetServer server(1h);
    {
        const auto partial = sendPartialBodies(server, 2);
        Caller complete(server);
        complete.send(makeHead(bodyBytes) + std::string(bodyBytes, 'x'));
        CHECK(complete.readStatus() == statusOk);
        Caller chunked(server);
        chunked.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n");
        Caller head(server);
        head.send("POST /x HTTP/1.1\r\nX-Long: " + std::string(10'000, 'x'));
        REQUIRE(server.awaitHeld([](std::uint64_t bytes) { return bytes >= 2 * bodyBytes; }));
    }
    CHECK(server.awaitHeld([](std::uint64_t bytes) { return bytes == 0; }));
}

} // namespace kumquat
