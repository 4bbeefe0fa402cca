// Tests of a server with bodies that consist mostly of framing: chunk extensions, long chunk sizes
// and trailers.
#include "net/byte_budget.h"
#include "net/fibers.h"
#include "net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace kumquat {
namespace {

constexpr std::uint16_t firstPort = 18'700;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

struct FramingServer
{
    explicit FramingServer(ByteBudgetSettings settings = {})
        : budget(settings)
        , thread("test")
        , port(nextPort())
    {
        this->server = HttpServer::create(
                this->thread, {},
                {.handle =
                         [this](const HttpRequest &request) {
                             this->bodyBytes = request.body.size();
                             this->hasTrailer = !request.field("X-Late").empty();
                             return HttpResponse{};
                         },
                 .refuse =
                         [](ErrorKind kind) {
                             return HttpResponse{.status = errorInfo(kind).httpStatus};
                         }},
                &this->budget);
        REQUIRE(this->server->listen({"127.0.0.1", this->port}, false).ok());
        this->thread.start();
    }

    ~FramingServer() { this->thread.stop(); }

    static std::uint16_t nextPort()
    {
        static std::uint16_t last = firstPort;
        return last++;
    }

    // Sends a request with this text behind its head. Returns the status, 0 without an answer.
    int send(const std::string &text) const
    {
        constexpr std::size_t statusAt = 9; // after "HTTP/1.1 "
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        socket.connect({asio::ip::make_address("127.0.0.1"), this->port});
        ErrorCode error;
        asio::write(socket, asio::buffer("POST /x HTTP/1.1\r\nHost: a\r\n" + text), error);
        std::string answer;
        asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", error);
        return answer.size() > statusAt ? std::stoi(answer.substr(statusAt)) : 0;
    }

    ByteBudget budget;
    FiberThread thread;
    std::shared_ptr<HttpServer> server;
    std::uint16_t port;
    std::atomic<std::size_t> bodyBytes{0};
    std::atomic<bool> hasTrailer{false};
};

std::string repeat(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a limit on framing that refuses honest bodies: a body in the smallest chunks, with
// short extensions.
TEST_CASE("a body in chunks of one byte is served", "[framing]")
{
    constexpr int chunks = 20'000;
    FramingServer server;
    CHECK(server.send(chunked + repeat("1\r\nx\r\n", chunks) + "0\r\n\r\n") == statusOk);
    CHECK(server.bodyBytes == chunks);
    CHECK(server.send(chunked + repeat("1;a=b\r\nx\r\n", chunks) + "0\r\n\r\n") == statusOk);
}

// Guards against chunk extensions that keep a server reading without end: they count neither as
// head nor as body.
TEST_CASE("a body that is mostly chunk extensions is refused", "[framing]")
{
    constexpr int chunks = 10;
    constexpr std::size_t extensionBytes = 4'000;
    FramingServer server;
    const std::string chunk = "1;" + std::string(extensionBytes, 'e') + "\r\nx\r\n";
    CHECK(server.send(chunked + repeat(chunk, chunks) + "0\r\n\r\n") == statusBadRequest);
}

// Guards against the same with the digits of the chunk sizes.
TEST_CASE("a body that is mostly zeros of chunk sizes is refused", "[framing]")
{
    constexpr int chunks = 10;
    constexpr std::size_t zeros = 4'000;
    FramingServer server;
    const std::string chunk = std::string(zeros, '0') + "1\r\nx\r\n";
    CHECK(server.send(chunked + repeat(chunk, chunks) + "0\r\n\r\n") == statusBadRequest);
}

// Guards against trailers that are kept without a charge and that pass as fields of the head.
TEST_CASE("the fields of a trailer are dropped", "[framing]")
{
    FramingServer server;
    CHECK(server.send(chunked + "1\r\nx\r\n0\r\nX-Late: yes\r\n\r\n") == statusOk);
    CHECK_FALSE(server.hasTrailer);
}

} // namespace kumquat
