// Sections: hosts, rules, waiting, requests, records.
#include "system/cluster.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <filesystem>
#include <map>
#include <thread>
#include <utility>

namespace kumquat {
namespace {

constexpr const char *defaultRules =
        "# Rules of the process tests.\n"
        "route GET  /testlog/  service=testlog  key=segment:2 idempotent=yes timeout=800ms"
        "  # asked by Awa Ndiaye\n"
        "route POST /testlog/  service=testlog  key=header:Detector-Id idempotent=no timeout=900ms"
        "  # asked by Awa Ndiaye\n"
        "route GET  /certdesk/ service=certdesk key=segment:2 idempotent=yes timeout=800ms"
        "  # asked by Ousmane Fall\n"
        "route POST /certdesk/ service=certdesk key=header:Detector-Id idempotent=no timeout=900ms"
        "  # asked by Ousmane Fall\n";

constexpr Duration pollInterval = 100ms;
constexpr Duration ctlLimit = 15s;
constexpr std::size_t requiredPeers = 3;
constexpr int keysToTry = 10;
constexpr std::size_t shownLogBytes = 4'000;

std::string binaryPath(const std::string &name)
{
    return std::string(KUMQUAT_BIN_DIR) + "/" + name;
}

Address makeAddress()
{
    return {"127.0.0.1", findFreePort()};
}

std::string makeKey(int number)
{
    return absl::StrCat("D-", number);
}

} // namespace

// --- hosts

Cluster::Cluster(std::string name)
    : path(std::string(KUMQUAT_BIN_DIR) + "/../system/" + std::move(name))
    , log(makeAddress())
{
    std::filesystem::remove_all(this->path);
    std::filesystem::create_directories(this->path);
    this->logProcess = Child::start({binaryPath("log_standin"), "--listen", this->log.toString()},
                                    this->path + "/log.log")
                               .value();
    writeFile(this->rulesPath(), defaultRules);
}

Cluster::~Cluster()
{
    // Saved for the analysis of a failed test; protoc --decode prints it.
    const HttpExchange exchange =
            send(this->log, {"GET", "/records?from=0&limit=100000", {}, {}, {}}, 1s);
    writeFile(this->path + "/records.pb", exchange.answer.body);
}

Host &Cluster::startHost(const std::string &name, const std::string &dataCentre,
                         const std::string &service, std::vector<std::string> upstreamOptions)
{
    auto host = std::make_unique<Host>();
    host->name = name;
    host->region = dataCentre.substr(0, dataCentre.rfind('-'));
    host->dataCentre = dataCentre;
    host->service = service;
    host->callers = makeAddress();
    host->admin = makeAddress();
    host->mesh = makeAddress();
    host->upstreamOptions = std::move(upstreamOptions);
    Host &result = *host;
    this->allHosts.push_back(std::move(host));
    this->startProcess(result);
    this->startUpstream(result);
    return result;
}

void Cluster::startDefaultHosts(const std::vector<std::string> &upstreamOptions)
{
    std::vector<std::string> checking = upstreamOptions;
    checking.emplace_back("--check-grants");
    this->startHost("t1", "dakar-1", "testlog", upstreamOptions);
    this->startHost("t2", "dakar-2", "testlog", upstreamOptions);
    this->startHost("t3", "dakar-3", "testlog", checking);
    this->startHost("t4", "dakar-1", "testlog", upstreamOptions);
    this->startHost("c1", "dakar-2", "certdesk", upstreamOptions);
    this->startHost("c2", "dakar-3", "certdesk", upstreamOptions);
}

void Cluster::startProcess(Host &host)
{
    const nlohmann::json settings{{"node", host.name},
                                  {"region", host.region},
                                  {"dataCentre", host.dataCentre},
                                  {"listen",
                                   {{"callers", host.callers.toString()},
                                    {"admin", host.admin.toString()},
                                    {"mesh", host.mesh.toString()}}},
                                  {"log", {this->log.toString()}},
                                  {"retentionMs", this->retention.count()},
                                  {"faultInjection", true}};
    const std::string file = absl::StrCat(this->path, "/", host.name, ".json");
    writeFile(file, settings.dump(2));
    host.process = Child::start({binaryPath("kumquatstage"), "--config", file},
                                absl::StrCat(this->path, "/", host.name, ".log"))
                           .value();
}

void Cluster::startUpstream(Host &host)
{
    host.upstreamPort = findFreePort();
    host.upstreamName = absl::StrCat(host.name, "-", ++host.upstreamStarts);
    this->ledgers.push_back(absl::StrCat(this->path, "/", host.upstreamName, ".ledger"));
    std::vector<std::string> command{binaryPath("upstream_standin"),
                                     "--admin",
                                     host.admin.toString(),
                                     "--port",
                                     std::to_string(host.upstreamPort),
                                     "--name",
                                     host.upstreamName,
                                     "--service",
                                     host.service,
                                     "--ledger",
                                     this->ledgers.back()};
    command.insert(command.end(), host.upstreamOptions.begin(), host.upstreamOptions.end());
    host.upstream = Child::start(command, absl::StrCat(this->path, "/", host.name, ".upstream.log"))
                            .value();
}

Host &Cluster::host(const std::string &name)
{
    const auto found = std::find_if(this->allHosts.begin(), this->allHosts.end(),
                                    [&](const auto &entry) { return entry->name == name; });
    assert(found != this->allHosts.end() && "start the host first");
    return **found;
}

// --- rules

std::unique_ptr<Child> Cluster::startCtl(const std::vector<std::string> &arguments)
{
    std::vector<std::string> command{binaryPath("kumquatctl")};
    command.insert(command.end(), arguments.begin(), arguments.end());
    command.emplace_back("--admin");
    command.push_back(this->allHosts.front()->admin.toString());
    if (arguments.front() == "publish") {
        command.insert(command.end(), {"--log", this->log.toString(), "--author", "process tests"});
    }
    return Child::start(command, absl::StrCat(this->path, "/ctl", ++this->nextCtl, ".log")).value();
}

int Cluster::runCtl(const std::vector<std::string> &arguments, std::string *output)
{
    const auto child = this->startCtl(arguments);
    const auto status = child->waitForExit(ctlLimit);
    if (output != nullptr) {
        *output = child->output();
    }
    return status.value_or(-1);
}

bool Cluster::waitUntilStarted(Duration timeout)
{
    const Time deadline = readBootTime() + timeout;
    for (const auto &host : this->allHosts) {
        const auto answers = [&] {
            const HttpExchange exchange = send(host->admin, {"GET", "/status", {}, {}, {}});
            return exchange.result == ExchangeResult::Answered && exchange.answer.status == 200;
        };
        while (!answers()) {
            if (readBootTime() >= deadline || !host->process->isRunning()) {
                return false;
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

std::vector<std::pair<std::uint64_t, wire::LogRecord>> Cluster::readLog() const
{
    const HttpExchange exchange = send(this->log, {"GET", "/records?limit=100000", {}, {}, {}});
    wire::LogBatch batch;
    batch.ParseFromString(exchange.answer.body);
    std::vector<std::pair<std::uint64_t, wire::LogRecord>> records;
    for (int index = 0; index < batch.records_size(); ++index) {
        wire::LogRecord record;
        record.ParseFromString(batch.records(index));
        records.emplace_back(batch.from() + static_cast<std::uint64_t>(index), std::move(record));
    }
    return records;
}

std::map<std::string, std::vector<std::string>> Cluster::findPeers() const
{
    using Peers = std::vector<std::string>;
    std::map<std::uint64_t, std::string> nodes;                        // by session
    std::map<std::pair<std::uint64_t, std::uint32_t>, Peers> proposed; // by session and generation
    std::map<std::string, Peers> result;
    const auto settle = [&result](const std::string &node, const Peers &peers) {
        if (peers.size() >= requiredPeers) {
            result[node] = peers;
        }
    };
    for (const auto &[offset, record] : this->readLog()) {
        if (record.has_join()) {
            const wire::Join &join = record.join();
            nodes[offset] = join.node();
            settle(join.node(), {join.peers().begin(), join.peers().end()});
        } else if (record.has_peers()) {
            const wire::Peers &peers = record.peers();
            proposed[{peers.session(), peers.generation()}] = {peers.peers().begin(),
                                                               peers.peers().end()};
        } else if (record.has_peers_settled()) {
            const wire::PeersSettled &settled = record.peers_settled();
            settle(nodes[settled.session()], proposed[{settled.session(), settled.generation()}]);
        }
    }
    return result;
}

bool Cluster::waitUntilProtected(Duration timeout)
{
    const Time deadline = readBootTime() + timeout;
    while (this->findPeers().size() < this->allHosts.size()) {
        if (readBootTime() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

int Cluster::publishRules()
{
    return this->runCtl({"publish", this->rulesPath()});
}

// --- waiting

bool Cluster::waitUntilServed(Duration timeout)
{
    return kumquat::waitUntilServed(this->makeLoad(Duration::zero()), timeout);
}

bool Cluster::waitUntilDistributed(const std::string &service, std::size_t count, Duration timeout)
{
    const Time deadline = readBootTime() + timeout;
    while (readBootTime() < deadline) {
        const Time since = readBootTime();
        for (int key = 0; key < keysToTry * keysToTry; ++key) {
            this->read(*this->allHosts.front(), service, makeKey(key));
        }
        std::map<std::string, int> upstreams;
        for (const Run &run : this->collectRuns()) {
            if (run.service == service && run.start >= since) {
                ++upstreams[run.upstream];
            }
        }
        if (upstreams.size() >= count) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

Host &Cluster::findOwner(const std::string &service, const std::string &key)
{
    std::map<Time, std::string> upstreams;
    for (const Run &run : this->collectRuns()) {
        if (run.service == service && run.key == key) {
            upstreams[run.start] = run.upstream;
        }
    }
    assert(!upstreams.empty() && "send a request for the key first");
    const std::string name = upstreams.rbegin()->second;
    return this->host(name.substr(0, name.rfind('-')));
}

Host &Cluster::findBusiest(const std::string &service, Time since)
{
    std::map<std::string, int> counts;
    for (const Run &run : this->collectRuns()) {
        if (run.service == service && run.start >= since) {
            ++counts[run.upstream];
        }
    }
    assert(!counts.empty() && "send requests for the service first");
    const auto busiest =
            std::max_element(counts.begin(), counts.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; });
    return this->host(busiest->first.substr(0, busiest->first.rfind('-')));
}

// --- requests

LoadOptions Cluster::makeLoad(Duration duration, const Host *excluded) const
{
    LoadOptions options;
    options.duration = duration;
    options.keys = 100;
    for (const auto &host : this->allHosts) {
        if (host.get() != excluded) {
            options.entries.push_back(host->callers);
        }
        const bool isKnown =
                std::count(options.services.begin(), options.services.end(), host->service) > 0;
        if (!isKnown) {
            options.services.push_back(host->service);
        }
    }
    return options;
}

HttpExchange Cluster::send(const Address &address, const HttpRequest &request, Duration timeout)
{
    HttpClient client(address);
    return client.send(request, timeout);
}

Attempt Cluster::read(const Host &host, const std::string &service, const std::string &key)
{
    Attempt attempt;
    attempt.service = service;
    attempt.key = key;
    attempt.token = absl::StrCat("read-", ++this->nextToken);
    attempt.due = readBootTime();
    readOutcome(send(host.callers, makeRead(attempt)), attempt);
    attempt.finished = readBootTime();
    return attempt;
}

std::string Cluster::queryOwner(const Host &queried, const std::string &service,
                                const std::string &key)
{
    const std::string target = absl::StrCat("/owner?service=", service, "&key=", key);
    const HttpExchange exchange = send(queried.admin, {"GET", target, {}, {}, {}});
    const auto json = nlohmann::json::parse(exchange.answer.body, nullptr, false);
    return json.is_object() ? json.value("node", "") : "";
}

void Cluster::controlLog(const std::string &target)
{
    const HttpExchange exchange = send(this->log, {"POST", "/control/" + target, {}, {}, {}});
    assert(exchange.answer.status == 200 && "start the log stand-in");
    static_cast<void>(exchange);
}

void Cluster::controlUpstream(const Host &host, const std::string &target)
{
    const Address address{"127.0.0.1", host.upstreamPort};
    const HttpExchange exchange = send(address, {"POST", "/control/" + target, {}, {}, {}});
    assert(exchange.answer.status == 200 && "start the upstream");
    static_cast<void>(exchange);
}

void Cluster::cutMessages(const Host &from, const Host &to, bool isCut)
{
    const std::string target = absl::StrCat("/faults/drop?from=", from.name, "&on=", isCut ? 1 : 0);
    const HttpExchange exchange = send(to.admin, {"POST", target, {}, {}, {}});
    assert(exchange.answer.status == 200 && "set faultInjection in the settings");
    static_cast<void>(exchange);
}

// --- records

Records Cluster::collectRecords() const
{
    std::string text;
    for (const std::string &ledger : this->ledgers) {
        const std::string lines = readFile(ledger);
        text += lines.substr(0, lines.rfind('\n') + 1);
    }
    return parseRecords(text).value();
}

std::string Cluster::describeLogs() const
{
    std::string text;
    for (const auto &host : this->allHosts) {
        const std::string lines = readFile(absl::StrCat(this->path, "/", host->name, ".log"));
        const std::size_t start = lines.size() - std::min(lines.size(), shownLogBytes);
        absl::StrAppend(&text, "--- ", host->name, "\n", lines.substr(start), "\n");
    }
    return text;
}

} // namespace kumquat
