// Tests of the HTTP client with servers that break the protocol.
#include "base/errors.h"
#include "net/fibers.h"
#include "net/http_client.h"
#include "net/tests/faulty_server.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <vector>

using namespace kumquat;

namespace {

// A client with its own thread.
class TestClient
{
public:
    explicit TestClient(const Address &server, HttpClientLimits limits = {})
        : thread("test")
        , client(this->thread.io(), server, limits)
    {
        this->thread.start();
    }

    ~TestClient() { this->thread.stop(); }

    std::future<absl::StatusOr<HttpResponse>> start(const HttpCallOptions &options)
    {
        const auto promise = std::make_shared<std::promise<absl::StatusOr<HttpResponse>>>();
        this->thread.spawn([this, promise, options] {
            promise->set_value(this->client.call(HttpRequest{}, options));
        });
        return promise->get_future();
    }

    absl::StatusOr<HttpResponse> call(const HttpCallOptions &options)
    {
        return this->start(options).get();
    }

private:
    FiberThread thread;
    HttpClient client;
};

} // namespace

// Guards against an answer that ends within its head or body and is accepted as complete.
TEST_CASE("an answer that ends early at any byte is an error", "[faulty_server]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Seal: s\r\n";
    const std::vector<std::string> answers{
            head + "Content-Length: 5\r\n\r\nabcde",
            head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"};
    for (const std::string &answer : answers) {
        std::atomic<std::size_t> length{0};
        std::atomic<bool> isReset{false};
        FaultyServer server([&](FaultyServer::Socket &socket, int) {
            writeAll(socket, std::string_view(answer).substr(0, length));
            if (isReset) {
                socket.set_option(asio::socket_base::linger(true, 0));
            }
            socket.close();
            return false;
        });
        TestClient client(server.address());
        for (length = 0; length < answer.size(); ++length) {
            for (const bool resets : {false, true}) {
                isReset = resets;
                INFO(answer.substr(0, length));
                CHECK_FALSE(client.call({.limit = 1s, .mayEndWithConnection = true}).ok());
            }
        }
    }
}

// Guards against bytes of a failing upstream that reach a caller as an answer: a status outside 100
// to 599 means nothing in HTTP. 000 was skipped like an interim answer, so that what followed on
// the connection was taken for the answer; 600 and above was passed on.
TEST_CASE("an answer with an impossible status is an error", "[faulty_server]")
{
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        std::atomic<int> requests{0};
        FaultyServer server([&](FaultyServer::Socket &socket, int) {
            ++requests;
            return writeAll(socket, "HTTP/1.1 " + status
                                            + " Status\r\nX-Attempt-Id: 1\r\nX-Server-Seal: s\r\n"
                                              "Content-Length: 2\r\n\r\nno"
                                              "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
                                              "X-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok");
        });
        TestClient client(server.address());
        INFO(status);
        const auto answer = client.call({.limit = 1s, .mayEndWithConnection = true});
        REQUIRE_FALSE(answer.ok());
        CHECK(errorKindOf(answer.status()) == ErrorKind::UpstreamLost); // the request may have run
        CHECK(requests == 1);
    }
}

// Guards against an answer without a length that is accepted although its head is truncated.
TEST_CASE("an answer without a length is an error until its head is complete", "[faulty_server]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Seal: s\r\n\r\n";
    std::atomic<std::size_t> length{0};
    FaultyServer server([&](FaultyServer::Socket &socket, int) {
        writeAll(socket, std::string_view(head).substr(0, length));
        socket.close();
        return false;
    });
    TestClient client(server.address());
    for (length = 0; length < head.size(); ++length) {
        INFO(head.substr(0, length));
        CHECK_FALSE(client.call({.limit = 1s, .mayEndWithConnection = true}).ok());
    }
}

// Guards against a server that sends endless data and so fills the memory of the process, or delays
// the request until its deadline.
TEST_CASE("an endless answer is aborted before it fills the memory", "[faulty_server]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Seal: s\r\n";
    struct Endless
    {
        std::string first;
        std::string then; // repeated without end
    };
    const std::string block(16'384, 'x');
    const std::vector<Endless> cases{
            {"", block},                                             // not HTTP
            {"", std::string(16'384, '\n')},                         // empty lines
            {"HTTP/1.1 200 " + block, block},                        // a status line
            {head, "X-More: " + block + "\r\n"},                     // many fields
            {head + "X-More: ", block},                              // one field
            {head + "\r\n", block},                                  // a body without a length
            {head + "Content-Length: 1000000000000\r\n\r\n", block}, // a body of a terabyte
            {head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + block + "\r\n"},
            {head + "Transfer-Encoding: chunked\r\n\r\n4;", block}, // a chunk extension
            {head + "Transfer-Encoding: chunked\r\n\r\n", block},   // an invalid chunk header
            {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + block + "\r\n"},
            {"", "HTTP/1.1 100 Continue\r\n\r\n"}, // interim answers
    };
    constexpr std::uint64_t bodyLimit = 1024ULL * 1024;
    constexpr std::uint64_t socketBuffers = 8 * bodyLimit; // unread, in loopback
    for (const Endless &endless : cases) {
        std::atomic<std::uint64_t> written{0};
        FaultyServer server([&](FaultyServer::Socket &socket, int) {
            bool isOpen = writeAll(socket, endless.first);
            while (isOpen) {
                isOpen = writeAll(socket, endless.then);
                written += endless.then.size();
            }
            return false;
        });
        TestClient client(server.address(), {.maxBodyBytes = bodyLimit});
        const Time started = readBootTime();
        const auto answer = client.call({.limit = 5s, .mayEndWithConnection = true});
        INFO(endless.first.substr(0, 100) << endless.then.substr(0, 20));
        CHECK_FALSE(answer.ok());
        CHECK(readBootTime() - started < 3s);
        CHECK(written < bodyLimit + socketBuffers);
    }
}

// Guards against many concurrent answers that together fill the memory although each one stays
// within its own limit.
TEST_CASE("the total size of the bodies of all calls is limited", "[faulty_server]")
{
    constexpr std::uint64_t megabyte = 1024ULL * 1024;
    constexpr int calls = 8;
    const std::string block(16'384, 'x');
    std::atomic<std::uint64_t> written{0};
    std::atomic<int> requests{0};
    FaultyServer server([&](FaultyServer::Socket &socket, int) {
        if (++requests > calls) {
            return writeAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde");
        }
        bool isOpen = writeAll(socket, "HTTP/1.1 200 OK\r\n\r\n");
        while (isOpen) {
            isOpen = writeAll(socket, block);
            written += block.size();
        }
        return false;
    });
    TestClient client(server.address(),
                      {.maxBodyBytes = 64 * megabyte, .maxBufferedBytes = 8 * megabyte});
    std::vector<std::future<absl::StatusOr<HttpResponse>>> answers;
    for (int i = 0; i < calls; ++i) {
        answers.push_back(client.start({.limit = 10s, .mayEndWithConnection = true}));
    }
    for (auto &answer : answers) {
        CHECK_FALSE(answer.get().ok());
    }
    // Loopback buffers some megabytes of unread data per connection.
    CHECK(written < 8 * megabyte + calls * 8 * megabyte);
    CHECK(client.call({.limit = 1s}).ok());
}
