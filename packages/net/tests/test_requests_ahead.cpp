// Tests of pipelined requests: a caller sends further requests on a connection before it has the
// answer to the first one.
#include "net/fibers.h"
#include "net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace kumquat {
namespace {

using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::uint16_t firstPort = 18'520;
constexpr Duration slowWork = 300ms;

// Handles targets with "slow" within `slowWork` and all others at once. Targets that start with
// "/alone" may not overlap with other requests.
struct SlowServer
{
    explicit SlowServer(HttpServerLimits limits = {})
        : thread("test")
        , port(nextPort())
    {
        this->server = HttpServer::create(
                this->thread, limits,
                {.handleWatched =
                         [this](HttpRequest &request, CallerWatch &watch) {
                             return this->handle(request, watch);
                         },
                 .refuse =
                         [](ErrorKind kind) {
                             return HttpResponse{.status = errorInfo(kind).httpStatus};
                         },
                 .isClosing = [this] { return this->isClosing.load(); },
                 .mayOverlap =
                         [](const HttpRequest &request) {
                             return !request.target.starts_with("/alone");
                         }});
        REQUIRE(this->server->listen({"127.0.0.1", this->port}, false).ok());
        this->thread.start();
    }

    ~SlowServer() { this->thread.stop(); }

    HttpResponse handle(const HttpRequest &request, CallerWatch &watch)
    {
        ++this->started;
        this->lastReceivedAt = request.receivedAt;
        this->lastReadTime = request.readTime;
        bool isDisconnected = false;
        watch.onDisconnected([&] {
            isDisconnected = true;
            ++this->disconnected;
        });
        if (!request.target.starts_with("/alone")) {
            watch.allowOverlap();
        }
        const int othersRunning = this->running.fetch_add(1);
        if (request.target.starts_with("/alone")) {
            this->concurrentWithAlone += othersRunning;
        }
        if (request.target.find("slow") != std::string::npos) {
            for (int i = 0; i < 30 && !isDisconnected; ++i) {
                sleepFor(this->thread.io(), slowWork / 30);
            }
        }
        --this->running;
        return {.body = std::string(static_cast<std::size_t>(this->bodyBytes), 'x')
                        + request.target};
    }

    // A stopped thread keeps its listening socket open, so each server gets its own port.
    static std::uint16_t nextPort()
    {
        static std::uint16_t next = firstPort;
        return next++;
    }

    FiberThread thread;
    std::uint16_t port;
    std::shared_ptr<HttpServer> server;
    std::atomic<bool> isClosing{false};
    std::atomic<int> started{0};
    std::atomic<int> disconnected{0};
    std::atomic<int> running{0};
    std::atomic<int> concurrentWithAlone{0};
    std::atomic<int> bodyBytes{0};
    std::atomic<Time> lastReceivedAt{Time{}};
    std::atomic<Duration> lastReadTime{Duration{}};
};

struct RawCaller
{
    explicit RawCaller(const SlowServer &server)
        : socket(io)
    {
        this->socket.connect({asio::ip::make_address("127.0.0.1"), server.port});
    }

    void send(const std::vector<std::string> &targets)
    {
        std::string text;
        for (const std::string &target : targets) {
            text += "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
        }
        asio::write(this->socket, asio::buffer(text));
    }

    // Returns the body of the next answer, or an empty string at the end of the connection.
    std::string readBody()
    {
        ErrorCode error;
        const std::size_t head = asio::read_until(
                this->socket, asio::dynamic_buffer(this->received), "\r\n\r\n", error);
        this->lastError = error;
        if (error) {
            return {};
        }
        const std::string text = this->received.substr(0, head);
        const std::string name = "Content-Length: ";
        const std::size_t length = std::stoul(text.substr(text.find(name) + name.size()));
        if (this->received.size() < head + length) {
            asio::read(this->socket, asio::dynamic_buffer(this->received),
                       asio::transfer_exactly(head + length - this->received.size()), error);
        }
        this->lastError = error;
        const std::string body = this->received.substr(head, length);
        this->received.erase(0, head + length);
        return body;
    }

    asio::io_context io;
    Tcp::socket socket;
    std::string received;
    ErrorCode lastError;
};

} // namespace

// Guards against a request that is not even read until an earlier slow request is complete.
TEST_CASE("pipelined requests run concurrently and are answered in order", "[requests_ahead]")
{
    SlowServer server;
    RawCaller caller(server);
    const auto startTime = Clock::now();
    caller.send({"/slow-1", "/fast-2", "/slow-3", "/slow-4"});
    for (const char *expected : {"/slow-1", "/fast-2", "/slow-3", "/slow-4"}) {
        CHECK(caller.readBody() == expected);
    }
    CHECK(Clock::now() - startTime < 2 * slowWork);
    // The connection stays usable, also for a request that arrives while another one is handled.
    caller.send({"/slow-5"});
    std::this_thread::sleep_for(slowWork / 4);
    caller.send({"/fast-6"});
    CHECK(caller.readBody() == "/slow-5");
    CHECK(caller.readBody() == "/fast-6");
}

// Guards against bytes of a further request that hide the close of the connection, so that requests
// of a disconnected caller continue.
TEST_CASE("a disconnect behind pipelined requests is detected", "[requests_ahead]")
{
    SlowServer server;
    {
        RawCaller caller(server);
        caller.send({"/slow-1", "/slow-2"});
        while (server.started < 2) {
            std::this_thread::sleep_for(5ms);
        }
    }
    for (int i = 0; i < 20 && server.disconnected < 2; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(server.disconnected == 2);
}

// Guards against a disconnect that is missed because only callers with keep-alive are watched.
TEST_CASE("a disconnect of a caller that sent Connection: close is detected", "[requests_ahead]")
{
    SlowServer server;
    {
        RawCaller caller(server);
        asio::write(caller.socket, asio::buffer(std::string("GET /slow-1 HTTP/1.1\r\nHost: a\r\n"
                                                            "Connection: close\r\n\r\n")));
        while (server.started < 1) {
            std::this_thread::sleep_for(5ms);
        }
    }
    for (int i = 0; i < 20 && server.disconnected < 1; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(server.disconnected == 1);
}

// Guards against work for disconnected callers: unread bytes after the request that is being
// handled hide the close unless it is checked again.
TEST_CASE("a caller that leaves is noticed behind bytes that are not read", "[requests_ahead]")
{
    SlowServer server;
    {
        RawCaller caller(server);
        asio::write(caller.socket, asio::buffer(std::string("GET /slow-1 HTTP/1.1\r\nHost: a\r\n"
                                                            "Connection: close\r\n\r\n")));
        while (server.started < 1) {
            std::this_thread::sleep_for(5ms);
        }
        asio::write(caller.socket, asio::buffer(std::string("x")));
        std::this_thread::sleep_for(20ms); // the byte arrives before the close
    }
    for (int i = 0; i < 50 && server.disconnected < 1; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(server.disconnected == 1);
}

// Guards against a disconnect that is missed because the limit of pipelined requests is reached.
TEST_CASE("a disconnect is detected while requests wait for capacity", "[requests_ahead]")
{
    SlowServer server({.maxPipelined = 2});
    {
        RawCaller caller(server);
        caller.send({"/slow-1", "/slow-2", "/slow-3", "/slow-4"});
        while (server.started < 2) {
            std::this_thread::sleep_for(5ms);
        }
    }
    for (int i = 0; i < 50 && server.disconnected < 2; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(server.disconnected == 2);
    CHECK(server.started == 2);
}

// Guards against late answers: if the time of a request counts from its last byte, a request whose
// body arrives slowly over a congested link is answered long after the timeout of its route.
TEST_CASE("the time of a request counts from its first bytes", "[requests_ahead]")
{
    SlowServer server;
    RawCaller caller(server);
    asio::write(caller.socket, asio::buffer(std::string(
                                       "POST /fast HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n")));
    std::this_thread::sleep_for(slowWork);
    const Time beforeBody = readBootTime();
    asio::write(caller.socket, asio::buffer(std::string("\r\nbody")));
    CHECK(caller.readBody() == "/fast");
    CHECK(server.lastReceivedAt.load() <= beforeBody - slowWork / 2);
    CHECK(server.lastReadTime.load() >= slowWork / 2);
}

// Guards against requests that run in another order than they were sent, when one of them must not
// run twice.
TEST_CASE("a request that may not overlap runs alone", "[requests_ahead]")
{
    SlowServer server;
    RawCaller caller(server);
    caller.send({"/slow-1", "/alone-slow-2", "/slow-3"});
    for (const char *expected : {"/slow-1", "/alone-slow-2", "/slow-3"}) {
        CHECK(caller.readBody() == expected);
    }
    CHECK(server.concurrentWithAlone == 0);
}

// Guards against a connection that is closed with unread data: the close resets the connection,
// which can destroy the last answer.
TEST_CASE("the last answer arrives complete, and no later request is handled", "[requests_ahead]")
{
    SlowServer server;
    server.bodyBytes = 200'000;
    RawCaller caller(server);
    caller.send({"/slow-1"});
    while (server.started < 1) {
        std::this_thread::sleep_for(5ms);
    }
    server.isClosing = true;
    caller.send({"/alone-2", "/alone-3"});
    std::this_thread::sleep_for(slowWork + 100ms);
    CHECK(caller.readBody().ends_with("/slow-1"));
    CHECK(caller.readBody().empty());
    CHECK(caller.lastError == asio::error::eof);
    CHECK(server.started == 1);
}

// Guards against a shutdown that closes after the first answer and so aborts requests that have
// already been sent to an upstream.
TEST_CASE("a server that shuts down answers all requests that have started", "[requests_ahead]")
{
    SlowServer server;
    RawCaller caller(server);
    caller.send({"/slow-1", "/slow-2"});
    while (server.started < 2) {
        std::this_thread::sleep_for(5ms);
    }
    server.isClosing = true;
    CHECK(caller.readBody() == "/slow-1");
    CHECK(caller.readBody() == "/slow-2");
    CHECK(caller.readBody().empty());
}

// Guards against a caller that sends without end and reads nothing, which would use all memory of a
// small host.
TEST_CASE("the memory for a caller that does not read its answers is limited", "[requests_ahead]")
{
    SlowServer server({.maxPipelined = 4, .maxPipelinedBytes = 64 * 1024, .messageLimit = 400ms});
    server.bodyBytes = 4'000'000;
    RawCaller caller(server);
    caller.send(std::vector<std::string>(200, "/fast"));
    std::this_thread::sleep_for(200ms);
    CHECK(server.started <= 6);
    for (int i = 0; i < 100 && server.server->connectionCount() > 0; ++i) {
        std::this_thread::sleep_for(20ms); // the connection is closed when the write times out
    }
    CHECK(server.server->connectionCount() == 0);
}

} // namespace kumquat
