// HTTP client with pooled connections to one address, used from one FiberThread.
//
//   HttpClient client(thread.io(), address, {.maxIdle = 16});
//   absl::StatusOr<HttpResponse> answer = client.call(request, deadline);
#pragma once

#include "base/address.h"
#include "net/fibers.h"
#include "net/http.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace kumquat {

struct HttpClientLimits
{
    int maxIdle = 16;                                // connections kept open between calls
    std::uint32_t maxHeadBytes = 64 * 1024;          // of an answer
    std::uint64_t maxBodyBytes = 8ULL * 1024 * 1024; // of an answer
    // Of all answers that are being read: a server may send bytes without end on each connection.
    std::uint64_t maxBufferedBytes = 64ULL * 1024 * 1024;
    Duration connectLimit = 500ms;
};

// One call under way, for its caller to cancel it and to ask how far it came.
class HttpCallHandle
{
public:
    // Closes the connection of the call, which then ends with UpstreamLost. Call on the client's
    // thread.
    void cancel();

    bool isCancelled() const { return this->cancelled; }

    // Says whether the server's host answered that nothing listens on the address.
    bool wasRefused() const { return this->refused; }

private:
    friend class HttpClient;

    std::weak_ptr<class HttpStream> stream;
    bool cancelled = false;
    bool refused = false;
};

struct HttpCallOptions
{
    Duration limit{}; // of the whole call

    // Says whether an answer belongs to this request; one that does not is a late second answer to
    // an earlier request on the connection and is skipped. `isFirst`: there was no earlier one. Not
    // set: every answer does.
    std::function<bool(const HttpResponse &, bool isFirst)> matchesRequest;

    // Says whether the connection may carry another call after this answer. Not set: it may.
    std::function<bool(const HttpResponse &)> keepsConnection;

    Duration maxIdle = Duration::max(); // connections that were idle for longer are not used
    bool mayEndWithConnection = false;  // takes an answer without length that ends by a clean close
    std::shared_ptr<HttpCallHandle> handle; // not set: the call can't be cancelled
};

// Makes a request when its first byte can be sent; nothing: it is not sent any more.
using RequestMaker = std::function<std::optional<HttpRequest>()>;

class HttpClient
{
public:
    HttpClient(asio::io_context &io, Address address, HttpClientLimits limits);
    ~HttpClient();

    // Sends a request and waits for the whole answer, in the calling fiber. Errors:
    // UpstreamUnreachable if no byte was sent; UpstreamLost if the connection broke after that or
    // the answer was cut short; UpstreamTimeout after `limit`. The `extra` fields replace fields of
    // the request with the same names.
    absl::StatusOr<HttpResponse> call(const HttpRequest &request, Duration limit,
                                      const std::vector<HttpField> &extra = {});

    absl::StatusOr<HttpResponse> call(const HttpRequest &request, const HttpCallOptions &options,
                                      const std::vector<HttpField> &extra = {});

    // The same for a request that depends on when it is sent: a connection may come late, and its
    // fiber may wait for the thread. UpstreamUnreachable if none is made.
    absl::StatusOr<HttpResponse> callWith(const RequestMaker &make, const HttpCallOptions &options);

    // Closes the connections that no call uses, after a sign that they may be dead.
    void dropIdle() { this->idle.clear(); }

    // Closes all connections; running calls end with UpstreamLost. Call on the client's thread.
    void cancelAll();

    const Address &address() const { return this->server; }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    // Returns the request to send now, or nullptr.
    using RequestChoice = std::function<const HttpRequest *()>;

    absl::StatusOr<HttpResponse> callChosen(const RequestChoice &choose,
                                            const HttpCallOptions &options,
                                            const std::vector<HttpField> &extra);
    ConnectionPtr takeIdle(Duration maxIdle);
    void keep(ConnectionPtr connection); // for another call
    absl::StatusOr<ConnectionPtr> connect(Duration limit, HttpCallHandle &handle);
    absl::StatusOr<HttpResponse> exchange(Connection &connection, const HttpRequest &request,
                                          const std::vector<HttpField> &extra,
                                          const HttpCallOptions &options, Duration limit,
                                          bool &mayKeep);

    asio::io_context &io;
    Address server;
    std::string host; // the server's address as text
    HttpClientLimits limits;
    std::unique_ptr<class BodyBudget> budget;
    std::deque<ConnectionPtr> idle;
    std::unordered_set<Connection *> busy;
};

} // namespace kumquat
