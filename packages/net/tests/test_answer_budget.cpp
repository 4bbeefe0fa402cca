// Tests of the charges for answers that are being read from a server.
#include "net/byte_budget.h"
#include "net/fibers.h"
#include "net/http_client.h"
#include "net/http_stream.h"
#include "net/tests/faulty_server.h"

#include <catch2/catch.hpp>

#include <functional>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>

using namespace kumquat;

namespace {

constexpr std::uint64_t capacity = 1'000'000;
constexpr std::uint64_t largeBody = 300'000;

ByteBudgetSettings makeSettings()
{
    return {.capacity = capacity, .reserve = 0};
}

// Parser of an answer that must be kept.
class KeptAnswer
{
public:
    explicit KeptAnswer(ByteBudget &budget)
        : parser(nullptr, std::make_shared<ByteCharge>(&budget))
    {
        constexpr std::uint64_t bodyLimit = 16ULL * 1024 * 1024;
        this->parser.mustKeep = true;
        this->parser.maxBodyBytes = bodyLimit;
        this->parser.body_limit(bodyLimit);
    }

    // Parses the text as it would arrive, in parts. Returns whether all of it is valid.
    bool take(std::string_view text)
    {
        constexpr std::size_t partBytes = 10'000;
        while (!text.empty()) {
            ErrorCode error;
            const std::string_view part = text.substr(0, partBytes);
            const std::size_t used =
                    this->parser.put(asio::const_buffer(part.data(), part.size()), error);
            text.remove_prefix(used);
            if (error || used == 0) {
                return false;
            }
        }
        return true;
    }

    HttpResponseParser parser;
};

// Server whose answers have a body of the size that the budget is filled for.
FaultyServer::Script answerWith(std::size_t bytes, bool isChunked)
{
    return [bytes, isChunked](FaultyServer::Socket &socket, int) {
        const std::string body(bytes, 'x');
        std::ostringstream size;
        size << std::hex << bytes;
        const std::string answer = isChunked
                                           ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                     + size.str() + "\r\n" + body + "\r\n0\r\n\r\n"
                                           : "HTTP/1.1 200 OK\r\nContent-Length: "
                                                     + std::to_string(bytes) + "\r\n\r\n" + body;
        return writeAll(socket, answer);
    };
}

// A budget and a client on one thread.
class BudgetedClient
{
public:
    BudgetedClient(const Address &server, HttpClientLimits limits)
        : budget(makeSettings())
        , thread("test")
        , client(this->thread.io(), server, limits, &this->budget)
    {
        this->thread.start();
    }

    ~BudgetedClient() { this->thread.stop(); }

    std::future<absl::StatusOr<HttpResponse>> start(Duration limit)
    {
        const auto promise = std::make_shared<std::promise<absl::StatusOr<HttpResponse>>>();
        this->thread.spawn([this, promise, limit] {
            promise->set_value(this->client.call(HttpRequest{}, HttpCallOptions{.limit = limit}));
        });
        return promise->get_future();
    }

    // Runs a function on the thread and waits for it.
    void run(const std::function<void()> &work)
    {
        std::promise<void> done;
        this->thread.spawn([&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    ByteBudget budget;

private:
    FiberThread thread;
    HttpClient client;
};

} // namespace

// Load: any. Guards against answers that are read without a charge, and against a charge that ends
// before its answer.
TEST_CASE("an answer is charged while it is read and as long as it is kept", "[answer_budget]")
{
    ByteBudget budget(makeSettings());
    {
        HttpResponse kept;
        {
            KeptAnswer answer(budget);
            REQUIRE(answer.take("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"));
            CHECK(budget.held() < 1'000); // nothing has arrived
            CHECK(answer.parser.knownBodyBytes() == largeBody);
            REQUIRE(answer.take(std::string(100'000, 'x')));
            CHECK(budget.held() >= 100'000);
            CHECK(budget.held() < 200'000);
            REQUIRE(answer.take(std::string(200'000, 'x')));
            CHECK(answer.parser.is_done());
            kept = std::move(answer.parser.message);
            kept.charge = std::move(answer.parser.charge);
        }
        CHECK(kept.body.size() == largeBody);
        CHECK(budget.held() >= largeBody);
    }
    CHECK(budget.held() == 0);
}

// Load: an answer that announces more than any host has. Guards against memory that is reserved for
// such a length, which ended the process, and against a charge that never returns.
TEST_CASE("an answer beyond the limit is neither reserved nor charged", "[answer_budget]")
{
    ByteBudget budget(makeSettings());
    {
        KeptAnswer answer(budget);
        const bool isTaken =
                answer.take("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n");
        CHECK(answer.parser.knownBodyBytes() <= 16ULL * 1024 * 1024);
        CHECK_FALSE((isTaken && answer.take(std::string(17UL * 1024 * 1024, 'x'))));
        CHECK_FALSE(answer.parser.is_done());
    }
    CHECK(budget.held() == 0);
}

// Load: a full budget. Guards against answers of completed runs that are discarded for lack of
// room, and against new requests that are accepted meanwhile.
TEST_CASE("an answer that has begun is read beyond the capacity", "[answer_budget]")
{
    ByteBudget budget(makeSettings());
    ByteCharge others(&budget);
    REQUIRE(others.tryResize(capacity, 1s));
    KeptAnswer answer(budget);
    REQUIRE(answer.take("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n"));
    REQUIRE(answer.take(std::string(largeBody, 'x') + "\r\n0\r\n\r\n"));
    CHECK(answer.parser.is_done());
    CHECK(answer.parser.message.body.size() == largeBody);
    CHECK(budget.held() >= capacity + largeBody);
    ByteCharge request(&budget);
    CHECK_FALSE(request.tryResize(1, 1s));
}

// Load: more large answers than there is room for, whose callers do not read. Guards against a
// process that reads them all from the upstream at once, and against an answer that waits although
// there is room again.
TEST_CASE("a large answer waits for room", "[answer_budget]")
{
    for (const bool isChunked : {false, true}) {
        INFO("chunked " << isChunked);
        FaultyServer server(answerWith(largeBody, isChunked));
        BudgetedClient client(server.address(), {.roomWait = 20s});
        auto others = std::make_unique<ByteCharge>(&client.budget);
        client.run([&] { REQUIRE(others->tryResize(capacity - 50'000, readBootTime())); });
        auto answer = client.start(60s);
        CHECK(answer.wait_for(300ms) == std::future_status::timeout);
        client.run([&] { CHECK(client.budget.held() < capacity + largeBody); });
        client.run([&] { others = nullptr; });
        absl::StatusOr<HttpResponse> result = answer.get();
        REQUIRE(result.ok());
        CHECK(result->body.size() == largeBody);
        client.run([&] {
            CHECK(client.budget.held() == largeBody);
            result->charge = nullptr;
            CHECK(client.budget.held() == 0);
        });
    }
}

// Load: a budget that stays full. Guards against answers that wait until their callers have left,
// and against small answers that wait for large ones.
TEST_CASE("an answer without room is read after a limited time", "[answer_budget]")
{
    for (const std::size_t bytes : {std::size_t{5'000}, std::size_t{largeBody}}) {
        INFO("bytes " << bytes);
        FaultyServer server(answerWith(bytes, false));
        const bool isLarge = bytes == largeBody;
        BudgetedClient client(server.address(), {.roomWait = isLarge ? Duration(50ms) : 1h});
        ByteCharge others(&client.budget);
        client.run([&] { REQUIRE(others.tryResize(capacity, readBootTime())); });
        absl::StatusOr<HttpResponse> result = client.start(60s).get();
        REQUIRE(result.ok());
        CHECK(result->body.size() == bytes);
        client.run([&] {
            CHECK(client.budget.held() == capacity + bytes);
            result->charge = nullptr;
        });
    }
}
