#include "base/errors.h"
#include "net/fibers.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/mesh.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <future>

using namespace kumquat;

namespace {

constexpr std::uint16_t firstPort = 18'471;
const Address serverAddress{"127.0.0.1", firstPort};
const Address meshAddress{"127.0.0.1", firstPort + 1};

HttpServerHooks echoHooks()
{
    return {.handle =
                    [](const HttpRequest &request) {
                        HttpResponse response;
                        response.body = request.method + " " + request.target + " " + request.body;
                        return response;
                    },
            .refuse =
                    [](ErrorKind kind) {
                        HttpResponse response;
                        response.status = errorInfo(kind).httpStatus;
                        return response;
                    },
            .isClosing = nullptr};
}

template <typename Function>
auto runInFiber(FiberThread &thread, Function function)
{
    // Shared, because set_value may still run when get() returns.
    auto promise = std::make_shared<std::promise<decltype(function())>>();
    auto result = promise->get_future();
    thread.spawn([promise, &function] { promise->set_value(function()); });
    return result.get();
}

} // namespace

TEST_CASE("client and server exchange whole messages and refuse oversized ones")
{
    FiberThread thread("test");
    const auto server = HttpServer::create(thread, {}, echoHooks());
    REQUIRE(server->listen(serverAddress, true).ok());
    thread.start();
    HttpClient client(thread.io(), serverAddress, {});
    const auto call = [&](HttpRequest request) {
        return runInFiber(thread, [&] { return client.call(request, 2s); });
    };
    REQUIRE(call({"POST", "/a", {}, "hello"})->body == "POST /a hello");
    REQUIRE(call({"GET", "/b", {}, ""})->body == "GET /b ");
    REQUIRE(call({"POST", "/", {}, std::string(2 << 20, 'x')})->status == 413);
    REQUIRE(call({"GET", "/", {{"Big", std::string(20 << 10, 'x')}}, ""})->status == 431);
}

TEST_CASE("a call without a listener is known not to have run")
{
    FiberThread thread("test");
    thread.start();
    HttpClient client(thread.io(), Address{"127.0.0.1", firstPort + 9}, {});
    const auto answer = runInFiber(thread, [&] { return client.call({}, 1s); });
    REQUIRE(errorKindOf(answer.status()) == ErrorKind::UpstreamUnreachable);
}

namespace {

using TestSocket = asio::ip::tcp::socket;

// A server that answers each connection with fixed bytes after one read, then keeps it open or
// closes it.
class ScriptedServer
{
public:
    ScriptedServer(FiberThread &thread, std::uint16_t port, std::string answerBytes,
                   bool closesAfterAnswer)
        : acceptor(thread.io(), {asio::ip::make_address("127.0.0.1"), port})
        , answer(std::move(answerBytes))
        , closes(closesAfterAnswer)
    {
        thread.spawn([this, &thread] { this->acceptForever(thread); });
    }

    int accepted() const { return this->count; }

private:
    void acceptForever(FiberThread &thread)
    {
        while (true) {
            auto socket = std::make_shared<TestSocket>(thread.io());
            awaitOperation(
                    [&](auto done) { this->acceptor.async_accept(*socket, std::move(done)); });
            ++this->count;
            thread.spawn([this, socket] { this->answerForever(*socket); });
        }
    }

    void answerForever(TestSocket &socket)
    {
        std::array<char, 4096> bytes{};
        while (!awaitOperation([&](auto done) {
                    socket.async_read_some(asio::buffer(bytes), std::move(done));
                }).error) {
            ErrorCode ignored;
            asio::write(socket, asio::buffer(this->answer), ignored);
            if (this->closes) {
                socket.close(ignored);
                return;
            }
        }
    }

    asio::ip::tcp::acceptor acceptor;
    std::string answer;
    bool closes;
    std::atomic<int> count{0};
};

// Calls a scripted server as many times as stated, one call after the other.
std::vector<absl::StatusOr<HttpResponse>> callScripted(std::uint16_t port,
                                                       const std::string &answer, bool closes,
                                                       const HttpRequest &request, int calls,
                                                       int *connections = nullptr)
{
    FiberThread thread("test");
    ScriptedServer server(thread, port, answer, closes);
    thread.start();
    HttpClient client(thread.io(), Address{"127.0.0.1", port}, {});
    std::vector<absl::StatusOr<HttpResponse>> answers;
    for (int call = 0; call < calls; ++call) {
        answers.push_back(runInFiber(thread, [&] { return client.call(request, 300ms); }));
        std::this_thread::sleep_for(20ms); // the server's close arrives
    }
    thread.stop();
    if (connections != nullptr) {
        *connections = server.accepted();
    }
    return answers;
}

// Sends bytes to a server of its own in two parts and returns what comes back until it closes.
std::string exchangeRaw(std::uint16_t port, const std::string &first, const std::string &second,
                        HttpServerLimits limits = {})
{
    FiberThread thread("test");
    const auto server = HttpServer::create(thread, limits, echoHooks());
    REQUIRE(server->listen(Address{"127.0.0.1", port}, true).ok());
    thread.start();
    asio::io_context io;
    TestSocket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(first));
    std::this_thread::sleep_for(20ms);
    asio::write(socket, asio::buffer(second));
    std::string received;
    ErrorCode error;
    asio::read(socket, asio::dynamic_buffer(received), error);
    thread.stop();
    return received;
}

} // namespace

// Guards against a short body that is passed on as a whole one.
TEST_CASE("an answer that is cut short or does not come is an error")
{
    const auto call = [](std::uint16_t port, const std::string &answer, bool closes) {
        return errorKindOf(callScripted(port, answer, closes, {}, 1).front().status());
    };
    const std::string header = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    CHECK(call(firstPort + 2, header + "12345", true) == ErrorKind::UpstreamLost);
    CHECK(call(firstPort + 3, header + "12345", false) == ErrorKind::UpstreamTimeout);
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(call(firstPort + 4, chunked + "5\r\nabcde\r\n", true) == ErrorKind::UpstreamLost);
    CHECK(call(firstPort + 5, "HTTP/1.1 2", true) == ErrorKind::UpstreamLost);
    CHECK(call(firstPort + 6, "", true) == ErrorKind::UpstreamLost);
}

// Guards against a connection that is reused in the middle of an answer or after its end.
TEST_CASE("bodies in chunks, answers without a body and closed connections are understood")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n";
    int connections = 0;
    for (const auto &answer : callScripted(firstPort + 7, chunked, false, {}, 3, &connections)) {
        REQUIRE(answer.ok());
        CHECK(answer->body == "abcdefgh");
        CHECK(answer->field("Transfer-Encoding").empty());
    }
    CHECK(connections == 1);

    const std::string header = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX: y\r\n\r\n";
    for (const auto &answer :
         callScripted(firstPort + 8, header, false, {"HEAD", "/", {}, ""}, 2, &connections)) {
        REQUIRE(answer.ok());
        CHECK(answer->body.empty());
        CHECK(answer->field("x") == "y");
    }
    CHECK(connections == 1);

    // The server closes without a word; the next call must not be reported as one that may have
    // run.
    for (const auto &answer :
         callScripted(firstPort + 9, header + "1234567890", true, {}, 3, &connections)) {
        REQUIRE(answer.ok());
    }
    CHECK(connections == 3);
}

// Guards against a parser that loses bytes between reads or between two requests of one read.
TEST_CASE("requests in parts, in chunks and one after the other are answered in order")
{
    const std::string received =
            exchangeRaw(firstPort + 10,
                        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
                        "c\r\n0\r\n\r\nHEAD /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n"
                        "Connection: close\r\n\r\n");
    CHECK(received
          == "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nPOST /a abc"
             "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"
             "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 7\r\n\r\nGET /c ");
    CHECK(exchangeRaw(firstPort + 11, "nonsense\r\n", "\r\n").rfind("HTTP/1.1 400", 0) == 0);
}

// Guards against a deadline that is lost because its timer stays armed over several messages.
TEST_CASE("a server closes connections that are idle or do not finish a request")
{
    const HttpServerLimits limits{.idleLimit = 200ms, .messageLimit = 100ms};
    const auto time = [&limits](std::uint16_t port, const std::string &second) {
        const Time start = readBootTime();
        exchangeRaw(port, "GET /a HTTP/1.1\r\n\r\n", second, limits);
        return readBootTime() - start;
    };
    const Duration idle = time(firstPort + 12, "GET /b HTTP/1.1\r\n\r\n");
    CHECK(idle > 200ms);
    CHECK(idle < 600ms);
    const Duration unfinished = time(firstPort + 13, "GET /b HTTP/1.1\r\n");
    CHECK(unfinished > 100ms);
    CHECK(unfinished < 500ms);
}

TEST_CASE("the mesh delivers messages in both directions of use")
{
    FiberThread thread("test");
    std::promise<std::string> received;
    Mesh mesh(thread, {.receive = [&](wire::MeshMessage &&message) {
                  received.set_value(message.from());
              }});
    REQUIRE(mesh.bind(meshAddress).ok());
    thread.start();
    wire::MeshMessage message;
    message.set_from("node-1");
    message.mutable_renew()->set_session(1);
    mesh.send(meshAddress.toString(), message);
    auto future = received.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    REQUIRE(future.get() == "node-1");
    thread.stop();
}

// Guards against a lost wake-up between a thread that answers and a fiber that waits.
TEST_CASE("an event wakes its fiber from another thread or times out")
{
    FiberThread thread("test");
    thread.start();
    FiberEvent event(thread.io());
    REQUIRE_FALSE(runInFiber(thread, [&] { return event.waitFor(1ms); }));
    event.notify();
    REQUIRE(runInFiber(thread, [&] { return event.waitFor(5s); }));
}

// Guards against a scheduler that polls: it took more than a core of an idle process.
TEST_CASE("an idle thread uses almost no processor time")
{
    FiberThread thread("test");
    thread.start();
    thread.spawn([&thread] {
        for (int round = 0; round < 20; ++round) {
            sleepFor(thread.io(), 10ms);
        }
    });
    const auto processorTime = [] {
        timespec value{};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
        return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
    };
    const Duration before = processorTime();
    std::this_thread::sleep_for(1s);
    REQUIRE(processorTime() - before < 13ms); // 1.3 % of a core
}
