// HTTP client with pooled connections to one address, used from one FiberThread.
//
//   HttpClient client(thread.io(), address, {.maxIdle = 16});
//   absl::StatusOr<HttpResponse> answer = client.call(request, limit);
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

class HttpStream;

struct HttpClientLimits
{
    int maxIdle = 16;                                // connections kept open between calls
    std::uint32_t maxHeadBytes = 64 * 1024;          // of an answer
    std::uint64_t maxBodyBytes = 8ULL * 1024 * 1024; // of an answer
    // Of all answers that are being read, since a server may send endless data on each connection.
    std::uint64_t maxBufferedBytes = 64ULL * 1024 * 1024;
    Duration connectLimit = 500ms;
    // With a budget: a large answer waits this long, but at most half of the time that its call has
    // left, until there is room for it. Longer than a stalled holder keeps its room.
    Duration roomWait = 600ms;
};

// Lets the owner of a running call cancel it and query its state.
class HttpCallHandle
{
public:
    // Closes the connection of the call. The call then returns UpstreamLost, or UpstreamUnreachable
    // if nothing was sent yet. Call on the client's thread.
    void cancel();

    bool isCancelled() const { return this->cancelled; }

    // Returns whether the server's host refused the connection, as nothing listens on the address.
    bool wasRefused() const { return this->refused; }

private:
    friend class HttpClient;

    std::weak_ptr<HttpStream> stream;
    bool cancelled = false;
    bool refused = false;
};

struct HttpCallOptions
{
    Duration limit{}; // of the whole call

    // Returns whether an answer belongs to this request. Other answers are late second answers to
    // an earlier request on the connection and are skipped. `isFirst`: the connection has carried
    // no earlier request. Not set: every answer is accepted.
    std::function<bool(const HttpResponse &, bool isFirst)> matchesRequest;

    // Returns whether the connection may be reused after this answer. Not set: it may.
    std::function<bool(const HttpResponse &)> keepsConnection;

    Duration maxIdle = Duration::max();     // connections that were idle for longer are not reused
    bool mayEndWithConnection = false;      // accepts a body that a clean close ends
    std::shared_ptr<HttpCallHandle> handle; // not set: the call cannot be cancelled
};

// Creates the request once its first byte can be sent. Returns nullopt to send nothing.
using RequestMaker = std::function<std::optional<HttpRequest>()>;

class HttpClient
{
public:
    // `budget`: charged for the answers, also if there is no room for them. An answer keeps its
    // charge. nullptr: answers have only the limits. It must outlive the client and the answers.
    HttpClient(asio::io_context &io, Address address, HttpClientLimits limits,
               ByteBudget *budget = nullptr);
    ~HttpClient();

    // Sends a request and waits for the whole answer, in the calling fiber. Errors:
    // UpstreamUnreachable if no byte was sent; UpstreamLost if the connection broke after that or
    // the answer was truncated; UpstreamTimeout after `limit`. The `extra` fields replace fields of
    // the request with the same names.
    absl::StatusOr<HttpResponse> call(const HttpRequest &request, Duration limit,
                                      const std::vector<HttpField> &extra = {});

    absl::StatusOr<HttpResponse> call(const HttpRequest &request, const HttpCallOptions &options,
                                      const std::vector<HttpField> &extra = {});

    // Like call(), for a request whose content depends on the time at which it is sent: connecting
    // may take long, and the fiber may wait for processor time. Error: also UpstreamUnreachable if
    // `make` returns nullopt.
    absl::StatusOr<HttpResponse> callWith(const RequestMaker &make, const HttpCallOptions &options);

    // Closes the idle connections. Call when they are suspected to be dead.
    void dropIdle() { this->idle.clear(); }

    // Closes the idle connections and those on which a request is being exchanged, whose calls
    // return UpstreamLost. Calls that are still connecting continue. Call on the client's thread.
    void cancelAll();

    const Address &address() const { return this->server; }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    // Returns the request to send now, or nullptr to send nothing.
    using RequestSource = std::function<const HttpRequest *()>;

    absl::StatusOr<HttpResponse> callWithSource(const RequestSource &nextRequest,
                                                const HttpCallOptions &options,
                                                const std::vector<HttpField> &extra);
    ConnectionPtr takeIdle(Duration maxIdle);
    void returnToPool(ConnectionPtr connection); // for reuse by another call
    absl::StatusOr<ConnectionPtr> connect(Duration limit, HttpCallHandle &handle);
    absl::StatusOr<HttpResponse> exchange(Connection &connection, const HttpRequest &request,
                                          const std::vector<HttpField> &extra,
                                          const HttpCallOptions &options, Duration limit,
                                          bool &mayReuse);
    void waitForRoom(const HttpStream &stream, ByteCharge &charge, std::uint64_t bytes,
                     Duration limit);

    asio::io_context &io;
    Address server;
    std::string host; // the server's address as text
    HttpClientLimits limits;
    ByteBudget *budget;
    std::unique_ptr<class BodyBudget> bodyBudget;
    std::deque<ConnectionPtr> idle;
    std::unordered_set<Connection *> busy;
};

} // namespace kumquat
