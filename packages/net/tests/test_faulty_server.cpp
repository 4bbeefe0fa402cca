// What the HTTP client makes of servers that break the protocol.
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

// A client on a thread of its own.
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

// Guards against an answer that breaks off in its head or body and is passed on as a whole one.
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

// Guards against an answer without a length that is passed on as whole though its head is not.
TEST_CASE("an answer without a length counts only after its whole head", "[faulty_server]")
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
