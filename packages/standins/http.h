// Blocking HTTP server and client of the stand-ins; one thread per connection.
//
//   auto server = HttpServer::start({"127.0.0.1", 0}, [](const HttpRequest &request) {
//       return HttpAnswer{200, {}, "hello " + request.path()};
//   });
//   HttpClient client({"127.0.0.1", (*server)->port()});
//   HttpExchange exchange = client.send({"GET", "/x"}, 1s);
#pragma once

#include "base/address.h"
#include "base/time.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

struct HttpField
{
    std::string name;
    std::string value;
};

using HttpFields = std::vector<HttpField>;

// Returns the value of the first field with this name (case ignored), or nothing.
std::optional<std::string> findField(const HttpFields &fields, std::string_view name);

struct HttpRequest
{
    std::string method;
    std::string target; // path and query
    HttpFields fields;
    std::string body;
    std::function<bool()> isCallerGone; // set by the server: the caller closed its connection

    // Returns the target without its query.
    std::string path() const;

    // Returns the value of a query parameter as it is written, or nothing.
    std::optional<std::string> query(std::string_view name) const;

    // Returns the value of a query parameter, or `fallback` if it is absent or no integer.
    std::int64_t queryInt(std::string_view name, std::int64_t fallback) const;
};

// Bytes of a faulty server that never end; counts over all connections that get them.
struct EndlessBytes
{
    std::string prefix;
    std::string repeatedPart; // again and again until the connection closes
    std::atomic<int> started{0};
    std::atomic<int> open{0};
    std::atomic<int> maxOpen{0};
    std::atomic<std::uint64_t> written{0};
};

struct HttpAnswer
{
    int status = 200;
    HttpFields fields;
    std::string body;
    bool isLost = false;                     // server: close the connection without an answer
    bool isCut = false;                      // server: close the connection after half of the body
    std::shared_ptr<EndlessBytes> endless{}; // server: written in place of an answer

    static HttpAnswer lost() { return {0, {}, {}, true, false}; }
};

// What became of one request of the client.
enum class ExchangeResult : std::uint8_t {
    Answered,     // the whole answer arrived
    NotConnected, // no byte was sent
    Lost,         // the connection broke after sending began, or the answer was cut short
    TimedOut,     // no complete answer in time
};

struct HttpExchange
{
    ExchangeResult result = ExchangeResult::NotConnected;
    HttpAnswer answer; // valid if Answered
};

using HttpHandler = std::function<HttpAnswer(const HttpRequest &request)>;

// Serves until it is destroyed. The handler is called from one thread per connection.
class HttpServer
{
public:
    // Listens on the address; port 0 chooses a free port. Error: the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<HttpServer>> start(const Address &address,
                                                             HttpHandler handler);

    // Closes all connections and waits for their threads.
    ~HttpServer();

    std::uint16_t port() const;

private:
    struct State;

    explicit HttpServer(std::shared_ptr<State> initialState);

    std::shared_ptr<State> state;
};

// One kept connection to one address; not thread-safe.
class HttpClient
{
public:
    explicit HttpClient(const Address &address);
    ~HttpClient();

    // Sends a request, connecting first if necessary. The timeout covers the whole exchange.
    // A request is never sent twice.
    HttpExchange send(const HttpRequest &request, Duration timeout);

private:
    struct State;

    std::unique_ptr<State> state;
};

} // namespace kumquat
