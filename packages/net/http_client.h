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
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace kumquat {

struct HttpClientLimits
{
    int maxIdle = 16;                                // connections kept open between calls
    std::uint64_t maxBodyBytes = 8ULL * 1024 * 1024; // of an answer
    Duration connectLimit = 500ms;
};

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

    // Closes all connections; running calls end with UpstreamLost. Call on the client's thread.
    void cancelAll();

    const Address &address() const { return this->server; }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    ConnectionPtr takeIdle();
    absl::StatusOr<ConnectionPtr> connect(Duration limit);
    absl::StatusOr<HttpResponse> exchange(Connection &connection, const HttpRequest &request,
                                          const std::vector<HttpField> &extra, Duration limit,
                                          bool &mayKeep);

    asio::io_context &io;
    Address server;
    std::string host; // the server's address as text
    HttpClientLimits limits;
    std::deque<ConnectionPtr> idle;
    std::unordered_set<Connection *> busy;
};

} // namespace kumquat
