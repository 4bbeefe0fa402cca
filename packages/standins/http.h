// Blocking HTTP server and client for the stand-ins. The server uses one thread per connection.
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

    // Set by the server. Returns whether the caller has closed its connection.
    std::function<bool()> isCallerDisconnected;

    // Returns the target without its query.
    std::string path() const;

    // Returns the raw value of a query parameter (not percent-decoded), or nothing if it is absent.
    std::optional<std::string> query(std::string_view name) const;

    // Returns the value of a query parameter, or `fallback` if it is absent or not an integer.
    std::int64_t queryInt(std::string_view name, std::int64_t fallback) const;
};

// Endless response of a faulty server. The counters cover all connections that receive it.
struct EndlessBytes
{
    std::string prefix;
    std::string repeatedPart; // written repeatedly after `prefix` until the connection closes
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
    bool isLost = false;                     // server: closes the connection without an answer
    bool isTruncated = false;                // server: closes the connection after half of the body
    std::shared_ptr<EndlessBytes> endless{}; // server: writes these bytes in place of an answer

    static HttpAnswer lost() { return {0, {}, {}, true, false}; }
};

// How one request of the client ended.
enum class ExchangeResult : std::uint8_t {
    Answered,     // the whole answer arrived
    NotConnected, // the connection failed before any byte was sent
    Lost,         // the connection broke after sending began, or the answer was cut short
    TimedOut,     // no complete answer arrived within the timeout
};

struct HttpExchange
{
    ExchangeResult result = ExchangeResult::NotConnected;
    HttpAnswer answer; // valid if Answered
};

using HttpHandler = std::function<HttpAnswer(const HttpRequest &request)>;

// Serves requests until it is destroyed. The handler is called from one thread per connection.
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

// Keeps one connection open to one address. Not thread-safe.
class HttpClient
{
public:
    explicit HttpClient(const Address &address);
    ~HttpClient();

    // Sends a request and connects first if necessary. The timeout covers the whole exchange.
    // The client never sends a request twice.
    HttpExchange send(const HttpRequest &request, Duration timeout);

private:
    struct State;

    std::unique_ptr<State> state;
};

} // namespace kumquat
