#include "base/log.h"
#include "base/text.h"
#include "standins/http.h"
#include "standins/program.h"
#include "standins/upstream.h"

#include <docopt/docopt.h>

#include <iostream>
#include <thread>
#include <utility>

namespace kumquat {
namespace {

constexpr const char *usage =
        R"(Stand-in for an upstream. It announces itself to a kumquatstage process.

Usage: upstream_standin --admin ADDRESS [options]

Options:
  --admin ADDRESS    admin address of the kumquatstage process, IP:port
  --port N           port to listen on; 0 chooses a free port [default: 0]
  --name NAME        name in the ledger [default: upstream]
  --service NAME     service name [default: testlog]
  --check-grants     refuse fences lower than the highest one seen
  --slots N          number of slots to announce [default: 10]
  --connections N    number of connections to announce [default: 130]
  --workers N        maximum number of concurrent requests [default: 10]
  --service-ms N     mean service time in ms [default: 2]
  --cold-s N         duration of the cold start in seconds [default: 0]
  --cold-factor N    service time factor while cold [default: 5]
  --ledger FILE      also write the ledger to a file

GET  /health
GET  /control/ledger
POST /control/set?service_ms=&workers=&slots=&shed=PERCENT&draining=0|1&healthy=0|1&load_percent=
POST /control/crash
A request with the header X-Crash ends the process during its run. The connection of a request with
the header X-Cut-Answer is closed after half of the answer.
)";

constexpr Duration announceInterval = 2s;
constexpr Duration initialAnnounceInterval = 200ms; // until the process accepts an announcement
constexpr Duration announceTimeout = 1s;

using Options = std::map<std::string, docopt::value>;

UpstreamOptions readOptions(Options &options)
{
    const auto number = [&options](const char *name) {
        return static_cast<int>(options[name].asLong());
    };
    UpstreamOptions result;
    result.name = options["--name"].asString();
    result.service = options["--service"].asString();
    result.checksGrants = options["--check-grants"].asBool();
    result.slots = number("--slots");
    result.connections = number("--connections");
    result.workers = number("--workers");
    result.serviceTime = std::chrono::milliseconds(number("--service-ms"));
    result.coldTime = std::chrono::seconds(number("--cold-s"));
    result.coldFactor = number("--cold-factor");
    return result;
}

// Announces the upstream repeatedly until this program exits.
void announceForever(Upstream &upstream, const Address &admin, std::uint16_t port)
{
    HttpClient client(admin);
    bool isAnnounced = false;
    while (true) {
        HttpRequest request{"POST", "/announce", {{"Content-Type", "application/json"}}, {}, {}};
        request.body = upstream.announcement(port);
        const HttpExchange exchange = client.send(request, announceTimeout);
        const bool isAccepted =
                exchange.result == ExchangeResult::Answered && exchange.answer.status / 100 == 2;
        if (isAccepted != isAnnounced) {
            isAnnounced = isAccepted;
            logInfo(LogPart::Upstream,
                    isAnnounced ? "announced" : "announcement rejected or unanswered",
                    {{"admin", admin.toString()},
                     {"status", std::to_string(exchange.answer.status)}});
        }
        upstream.waitForChange(isAnnounced ? announceInterval : initialAnnounceInterval);
    }
}

int runUpstream(Options &options)
{
    const auto admin = Address::parse(options["--admin"].asString());
    if (!admin.ok()) {
        std::cerr << toStd(admin.status().message()) << '\n';
        return 2;
    }
    Upstream upstream(readOptions(options));
    if (options["--ledger"]) {
        const absl::Status opened = upstream.ledger().openFile(options["--ledger"].asString());
        if (!opened.ok()) {
            std::cerr << toStd(opened.message()) << '\n';
            return 1;
        }
    }
    const Address address{"127.0.0.1", static_cast<std::uint16_t>(options["--port"].asLong())};
    const auto server = HttpServer::start(
            address, [&upstream](const HttpRequest &request) { return upstream.handle(request); });
    if (!server.ok()) {
        std::cerr << toStd(server.status().message()) << '\n';
        return 1;
    }
    const std::uint16_t port = (*server)->port();
    logInfo(LogPart::Upstream, "upstream stand-in listens", {{"port", std::to_string(port)}});
    std::thread([&] { announceForever(upstream, *admin, port); }).detach();
    exitOnStopSignal();
}

} // namespace
} // namespace kumquat

int main(int argc, char **argv)
{
    kumquat::setUpLogging(kumquat::LogLevel::Info);
    kumquat::blockStopSignals();
    auto options = docopt::docopt(kumquat::usage, {argv + 1, argv + argc});
    return kumquat::runUpstream(options);
}
