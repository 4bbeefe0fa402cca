#include "path_bench/upstream.h"

#include "base/log.h"
#include "base/signals.h"
#include "base/text.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <absl/strings/str_cat.h>

#include <csignal>
#include <fstream>
#include <memory>
#include <utility>
#include <vector>

namespace kumquat {
namespace {

constexpr Duration announceInterval = 2s;
constexpr Duration announceTimeout = 1s;
constexpr int answerBytes = 128;

struct Receiver
{
    std::string service;
    Address admin;
};

absl::StatusOr<std::vector<Receiver>> readReceivers(const std::string &path)
{
    std::vector<Receiver> receivers;
    std::ifstream file(path);
    std::string service;
    std::string admin;
    while (file >> service >> admin) {
        const auto address = Address::parse(admin);
        if (!address.ok()) {
            return address.status();
        }
        receivers.push_back({service, *address});
    }
    return receivers;
}

HttpRequest makeAnnouncement(const Receiver &receiver, const BenchUpstreamOptions &options)
{
    HttpRequest request{.method = "POST", .target = "/announce", .fields = {}, .body = {}};
    request.fields.push_back({"Content-Type", "application/json"});
    request.body =
            absl::StrCat("{\"service\":\"", receiver.service, "\",\"port\":", options.listen.port,
                         ",\"checksGrants\":false,\"slots\":", options.slots,
                         ",\"connections\":", options.connections, ",\"draining\":false}");
    return request;
}

// Announces the upstream to one process until the program ends.
void announceForever(asio::io_context &io, const Receiver &receiver,
                     const BenchUpstreamOptions &options, Duration firstDelay)
{
    const HttpRequest request = makeAnnouncement(receiver, options);
    HttpClient client(io, receiver.admin, {.maxIdle = 1});
    sleepFor(io, firstDelay);
    while (true) {
        // Calls fail while the process starts, so a failure is ignored; the next announcement
        // retries.
        static_cast<void>(client.call(request, announceTimeout));
        sleepFor(io, announceInterval);
    }
}

} // namespace

absl::Status serveUpstream(const BenchUpstreamOptions &options)
{
    const sigset_t signals = blockSignals({SIGTERM, SIGINT});
    const auto receivers = readReceivers(options.announceFile);
    if (!receivers.ok()) {
        return receivers.status();
    }
    HttpResponse answer;
    answer.body = std::string(answerBytes, 'a');
    const HttpServerHooks hooks{
            .handle = [&answer](const HttpRequest &) { return answer; },
            .refuse =
                    [](ErrorKind) { return HttpResponse{.status = 400, .fields = {}, .body = {}}; },
            .isClosing = [] { return false; }};
    std::vector<std::unique_ptr<FiberThread>> threads;
    std::vector<std::shared_ptr<HttpServer>> servers;
    for (int index = 0; index < options.threads; ++index) {
        threads.push_back(std::make_unique<FiberThread>(absl::StrCat("upstream-", index)));
        threads.back()->start();
        servers.push_back(HttpServer::create(*threads.back(), {}, hooks));
        if (absl::Status status = servers.back()->listen(options.listen, true); !status.ok()) {
            return status;
        }
    }
    // The first announcements are spread over one interval, so that not all processes receive
    // theirs at the same moment.
    Duration firstDelay{};
    for (const Receiver &receiver : *receivers) {
        asio::io_context &io = threads.front()->io();
        threads.front()->spawn([&io, &receiver, &options, firstDelay] {
            announceForever(io, receiver, options, firstDelay);
        });
        firstDelay += announceInterval / static_cast<std::int64_t>(receivers->size());
    }
    int received = 0;
    sigwait(&signals, &received);
    return absl::OkStatus();
}

} // namespace kumquat
