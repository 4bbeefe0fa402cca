#include "deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using Json = nlohmann::json;
using kumquat::findField;

constexpr std::uint32_t lastKey = 65'535;
constexpr auto heartbeatInterval = 870ms;
constexpr auto programPath = "target/bin/kumquatstage"; // of the deploy file

bool isBindable(const std::string &ip, int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool done =
            bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return done;
}

// Returns a port that is free with the ones after it on an address.
int findPorts(const std::string &ip, int count)
{
    std::random_device random;
    while (true) {
        const int base = 20'000 + static_cast<int>(random() % 11'000);
        bool isFree = true;
        for (int i = 0; i < count && isFree; ++i) {
            isFree = isBindable(ip, base + i);
        }
        if (isFree) {
            return base;
        }
    }
}

Address at(const std::string &ip, int port)
{
    return {ip, static_cast<std::uint16_t>(port)};
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string formatMs(double milliseconds)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.1f", milliseconds);
    return text;
}

// ---- Record ----

Record::Record(const std::string &path)
    : file(path, std::ios::trunc)
{}

double Record::now() const
{
    return std::chrono::duration<double, std::milli>(Clock::now() - this->start).count();
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    this->file << formatMs(this->now()) << " ms  " << line << '\n';
    this->file.flush();
}

// ---- Endpoint ----

Endpoint::Endpoint(std::string instanceId, EndpointOptions endpointOptions, Record &eventRecord)
    : instance(std::move(instanceId))
    , options(std::move(endpointOptions))
    , record(eventRecord)
    , born(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch() + this->options.clockAhead)
                   .count())
    , server(*kumquat::HttpServer::start(this->options.address, [this](const HttpRequest &request) {
        return this->answer(request);
    }))
{}

Endpoint::~Endpoint()
{
    this->isStopping = true;
    this->slotFree.notify_all();
    if (this->heartbeats.joinable()) {
        this->heartbeats.join();
    }
    this->server.reset();
}

void Endpoint::sendHeartbeatsTo(const Address &control)
{
    this->heartbeats = std::thread([this, control] { this->beat(control); });
}

void Endpoint::beat(const Address &control)
{
    int sequence = 0;
    while (!this->isStopping) {
        const Json body{{"address", this->options.address.toString()},
                        {"info",
                         {{"service", this->options.service},
                          {"version", "v1"},
                          {"zone", this->options.zone},
                          {"slots", this->options.slots}}},
                        {"status", {{"state", "ready"}, {"seq", ++sequence}, {"cold_left_ms", 0}}},
                        {"born", this->born}};
        kumquat::HttpClient client(control);
        client.send({"PUT",
                     "/kumquatstage/instances/" + this->instance,
                     {{"Content-Type", "application/json"}},
                     body.dump(),
                     {}},
                    1s);
        for (auto left = heartbeatInterval; left > 0ms && !this->isStopping; left -= 30ms) {
            std::this_thread::sleep_for(30ms);
        }
    }
}

std::vector<Run> Endpoint::runs()
{
    const std::lock_guard lock(this->mutex);
    return this->runList;
}

bool Endpoint::holds(std::uint32_t key)
{
    const std::lock_guard lock(this->mutex);
    return std::any_of(this->holdList.begin(), this->holdList.end(), [&](const Hold &hold) {
        return hold.first <= key && key <= hold.last && hold.until > Clock::now();
    });
}

HttpAnswer Endpoint::answer(const HttpRequest &request)
{
    if (request.target == "/kumquatstage/grant") {
        return this->grant(request);
    }
    if (request.target == "/kumquatstage/release") {
        return this->release(request);
    }
    if (request.target == "/health") {
        return {200, {{"X-Instance-Id", this->instance}}, ""};
    }
    return this->run(request);
}

HttpAnswer Endpoint::grant(const HttpRequest &request)
{
    const Json body = Json::parse(request.body);
    const Hold added{.first = body.at("from").get<std::uint32_t>(),
                     .last = body.at("target").get<std::uint32_t>(),
                     .fence = body.at("fence").get<std::uint64_t>(),
                     .until = Clock::now()
                              + std::chrono::milliseconds(body.at("hold_ms").get<std::int64_t>())};
    const std::lock_guard lock(this->mutex);
    for (const Hold &hold : this->holdList) {
        if (hold.first <= added.last && added.first <= hold.last && hold.fence > added.fence) {
            return {409, {}, ""};
        }
    }
    std::erase_if(this->holdList, [&](const Hold &hold) {
        return added.first <= hold.first && hold.last <= added.last;
    });
    this->holdList.push_back(added);
    if (this->options.granted) {
        this->options.granted(this->instance, {.first = added.first,
                                               .last = added.last,
                                               .fence = added.fence,
                                               .hold = std::chrono::milliseconds(
                                                       body.at("hold_ms").get<std::int64_t>())});
    }
    return {200, {}, ""};
}

HttpAnswer Endpoint::release(const HttpRequest &request)
{
    const Json body = Json::parse(request.body);
    const auto first = body.at("from").get<std::uint32_t>();
    const auto last = body.at("target").get<std::uint32_t>();
    const auto fence = body.at("fence").get<std::uint64_t>();
    const std::lock_guard lock(this->mutex);
    std::vector<Hold> rest;
    for (const Hold &hold : this->holdList) {
        if (hold.last < first || last < hold.first || hold.fence > fence) {
            rest.push_back(hold);
            continue;
        }
        if (hold.first < first) {
            rest.push_back({hold.first, first - 1, hold.fence, hold.until});
        }
        if (hold.last > last) {
            rest.push_back({last + 1, hold.last, hold.fence, hold.until});
        }
    }
    this->holdList = std::move(rest);
    if (this->options.released) {
        this->options.released(this->instance, {.first = first, .last = last, .fence = fence});
    }
    const std::string token =
            this->options.handover ? this->options.handover() : std::string("5c0e7a21d94b36f8");
    return {200, {{"X-Duty-Handover", token}}, ""};
}

HttpAnswer Endpoint::run(const HttpRequest &request)
{
    const std::string id = findField(request.fields, "X-Attempt-Id").value_or("");
    const auto refuse = [&](int status) {
        return HttpAnswer{
                status,
                {{"X-Not-Executed", "1"}, {"X-Attempt-Id", id}, {"X-Instance-Id", this->instance}},
                ""};
    };
    const auto expected = findField(request.fields, "X-Expected-Instance");
    const auto key = findField(request.fields, "X-Shard-Key");
    if (id.empty()) {
        return refuse(400);
    }
    if (expected && *expected != this->instance) {
        return refuse(421);
    }
    if (key && !this->holds(static_cast<std::uint32_t>(std::stoul(*key)))) {
        return refuse(421);
    }
    std::size_t index = 0;
    {
        std::unique_lock lock(this->mutex);
        if (this->running >= this->options.slots && this->waiting >= this->options.queue) {
            return refuse(503);
        }
        ++this->waiting;
        this->slotFree.wait(
                lock, [this] { return this->running < this->options.slots || this->isStopping; });
        --this->waiting;
        ++this->running;
        index = this->runList.size();
        this->runList.push_back({.id = id,
                                 .endpoint = this->instance,
                                 .target = request.target,
                                 .from = this->record.now()});
    }
    this->record.write("run begins: " + id + " at " + this->instance);
    std::this_thread::sleep_for(this->options.work);
    {
        const std::lock_guard lock(this->mutex);
        --this->running;
        this->runList[index].until = this->record.now();
    }
    this->slotFree.notify_one();
    this->record.write("run ends: " + id + " at " + this->instance);
    HttpAnswer answer{200,
                      {{"X-Attempt-Id", id}, {"X-Server-Seal", "seal-" + this->instance}},
                      id + " ran at " + this->instance};
    const int failure = this->options.failure ? this->options.failure(this->instance) : 0;
    if (failure != 0) {
        answer.status = failure;
        answer.body = "the database is away";
    }
    if (this->options.extraFields) {
        for (const auto &field : this->options.extraFields(request)) {
            answer.fields.push_back(field);
        }
    }
    return answer;
}

// ---- Deployment ----

Deployment::Deployment(DeploymentOptions deploymentOptions, Record &eventRecord)
    : options(std::move(deploymentOptions))
    , record(eventRecord)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->directory = mkdtemp(pattern.data());
    // Each machine has its own loopback address; the ports are the same on all machines.
    const std::string net = "127." + std::to_string(10 + getpid() % 200) + ".1.";
    this->store.put("keyed.op", 0, "config", this->configuration());
    this->storeServer = *kumquat::HttpServer::start({net + "250", 0}, this->store.handler());
    this->storeAddress = {net + "250", this->storeServer->port()};
    const int basePort = findPorts(net + "1", 16);
    int index = 0;
    for (const HostOptions &wanted : this->options.hosts) {
        Host host{.node = "sidecar-" + wanted.zone + "-" + std::to_string(++index),
                  .service = wanted.service,
                  .zone = wanted.zone};
        this->writeSettings(host, net + std::to_string(index), basePort);
        this->allHosts.push_back(std::move(host));
    }
    for (std::size_t i = 0; i < this->allHosts.size(); ++i) {
        if (!this->options.hosts[i].startsLater) {
            this->start(this->allHosts[i]);
            this->startEndpoint(this->allHosts[i]);
        }
    }
}

void Deployment::startEndpoint(Host &host, std::chrono::milliseconds clockAhead)
{
    const std::string number = ++host.instances > 1 ? "-" + std::to_string(host.instances) : "";
    host.endpoint =
            std::make_unique<Endpoint>("i-" + host.node + number,
                                       EndpointOptions{.service = host.service,
                                                       .zone = host.zone,
                                                       .address = host.upstream,
                                                       .clockAhead = clockAhead,
                                                       .work = this->options.work,
                                                       .extraFields = this->options.extraFields,
                                                       .handover = this->options.handover,
                                                       .failure = this->options.failure,
                                                       .granted = this->options.granted,
                                                       .released = this->options.released},
                                       this->record);
    host.endpoint->sendHeartbeatsTo(host.control);
    this->record.write("endpoint started: " + host.endpoint->id());
}

void Deployment::endEndpoint(Host &host)
{
    if (!host.endpoint) {
        return;
    }
    this->record.write("endpoint ends: " + host.endpoint->id());
    const std::string instance = host.endpoint->id();
    const std::vector<Run> some = host.endpoint->runs();
    host.endpoint.reset();
    this->earlierRuns.insert(this->earlierRuns.end(), some.begin(), some.end());
    if (this->options.released) {
        this->options.released(instance, {.first = 0, .last = lastKey, .fence = UINT64_MAX});
    }
}

Deployment::~Deployment()
{
    this->stop();
    for (Host &host : this->allHosts) {
        host.endpoint.reset();
    }
    this->store.stop();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(this->directory, ignored);
    } else {
        std::printf("logs are in %s\n", this->directory.c_str());
    }
}

std::string Deployment::configuration() const
{
    Json routes = Json::array();
    int number = 0;
    for (const RouteOptions &route : this->options.routes) {
        routes.push_back({"route-" + std::to_string(++number), "shop.example", route.prefix,
                          route.isIdempotent ? "idempotent" : "non_idempotent", route.timeoutMs,
                          400, 1, route.service, 2, nullptr});
    }
    Json services = Json::array();
    for (const ServiceOptions &service : this->options.services) {
        services.push_back({service.name, "/health", 130, service.isSharded});
    }
    const Json limits{{"max_header_bytes", 16'384},
                      {"max_body_bytes", this->options.maxBodyBytes},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", this->options.idleTimeoutMs}};
    const Json document{
            {"version", "r1"},
            {"routes",
             {{"columns",
               {"name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms",
                "priority", "service", "max_attempts", "weighted_clusters"}},
              {"rows", routes}}},
            {"services",
             {{"columns", {"name", "health_path", "max_connections", "sharded"}},
              {"rows", services}}},
            {"limits", limits}};
    return document.dump();
}

// Writes what the platform makes of deploy/settings.json.
void Deployment::writeSettings(Host &host, const std::string &ip, int basePort)
{
    host.outbound = at(ip, basePort);
    host.ready = at(ip, basePort + 1);
    host.control = at(ip, basePort + 2);
    host.upstream = at(ip, basePort + 3);
    const Json settings{{"node", host.node},
                        {"region", "region-" + host.zone},
                        {"dataCentre", host.zone},
                        {"firstStart", true},
                        {"service", host.service},
                        {"upstream", host.upstream.toString()},
                        {"store", this->storeAddress.toString()},
                        {"grants", "call"},
                        {"heartbeatMs", heartbeatInterval.count()},
                        {"listen",
                         {{"callers", host.outbound.toString()},
                          {"readiness", host.ready.toString()},
                          {"heartbeats", host.control.toString()},
                          {"processes", at(ip, basePort + 4).toString()},
                          {"metrics", at(ip, basePort + 5).toString()}}},
                        {"limits",
                         {{"drainMs", 2500},
                          {"stopSeconds", 6},
                          {"longestHoldMs", 10'000},
                          {"retryShare", 0.2},
                          {"retryWindowSeconds", 10},
                          {"retrySlack", 62},
                          {"coldExcess", 1},
                          {"coldSlack", 0},
                          {"linkMbps", 1000.0},
                          {"memoryMb", this->options.memoryMb}}}};
    host.settingsPath = this->directory + "/" + host.node + ".json";
    host.logPath = this->directory + "/" + host.node + ".log";
    std::ofstream(host.settingsPath) << settings.dump(1);
}

void Deployment::start(Host &host)
{
    std::vector<std::string> variables{"KUMQUATSTAGE_CONFIG=" + host.settingsPath,
                                       "PATH=/usr/bin:/bin", "LANG=C.UTF-8"};
    std::vector<char *> environment;
    for (std::string &variable : variables) {
        environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    const std::string program = programPath;
    std::vector<char *> arguments{const_cast<char *>(program.c_str()),
                                  const_cast<char *>("--platform"), nullptr};
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the driver
        const int log = open(host.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        const rlimit limit{static_cast<rlim_t>(this->options.maxDescriptors),
                           static_cast<rlim_t>(this->options.maxDescriptors)};
        setrlimit(RLIMIT_NOFILE, &limit);
        for (int descriptor = 3; descriptor < 1024; ++descriptor) {
            ::close(descriptor);
        }
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(127);
    }
    host.process = child;
    ++host.starts;
    this->record.write("process started: " + host.node);
}

void Deployment::signal(const Host &host, int number) const
{
    if (host.process > 0) {
        this->record.write("signal " + std::to_string(number) + " to the process of " + host.node);
        kill(host.process, number);
    }
}

std::optional<int> Deployment::takeExit(Host &host)
{
    int status = 0;
    if (host.process > 0 && waitpid(host.process, &status, WNOHANG) == host.process) {
        host.process = 0;
        const std::string how = WIFSIGNALED(status)
                                        ? "signal " + std::to_string(WTERMSIG(status))
                                        : "status " + std::to_string(WEXITSTATUS(status));
        this->record.write("process ended: " + host.node + " with " + how);
        return status;
    }
    return std::nullopt;
}

void Deployment::stop()
{
    for (Host &host : this->allHosts) {
        if (host.process > 0) {
            kill(host.process, SIGKILL);
            waitpid(host.process, nullptr, 0);
            host.process = 0;
        }
    }
}

int Deployment::ownerOf(std::uint32_t key, const std::string &service)
{
    for (std::size_t i = 0; i < this->allHosts.size(); ++i) {
        Host &host = this->allHosts[i];
        if (host.service == service && host.endpoint && host.endpoint->holds(key)) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

bool Deployment::waitUntilServing(Clock::duration limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        bool isServing = true;
        for (Host &host : this->allHosts) {
            if (host.process == 0) {
                continue;
            }
            kumquat::HttpClient client(host.ready);
            const auto exchange =
                    client.send({"GET", "/kumquatstage/readiness", {}, "", {}}, 500ms);
            isServing = isServing && exchange.answer.status == 200
                        && exchange.result == kumquat::ExchangeResult::Answered;
        }
        for (const ServiceOptions &service : this->options.services) {
            constexpr std::uint32_t step = 1024;
            for (std::uint32_t key = 0; service.isSharded && key <= lastKey; key += step) {
                isServing = isServing && this->ownerOf(key, service.name) >= 0;
            }
        }
        if (isServing) {
            this->record.write("all processes are ready and all keys are held");
            return true;
        }
        std::this_thread::sleep_for(200ms);
    }
    return false;
}

std::vector<Run> Deployment::runs()
{
    std::vector<Run> all = this->earlierRuns;
    for (Host &host : this->allHosts) {
        if (host.endpoint) {
            const std::vector<Run> some = host.endpoint->runs();
            all.insert(all.end(), some.begin(), some.end());
        }
    }
    return all;
}

// ---- Clients ----

Connection::Connection(const Address &address, std::chrono::milliseconds limit)
{
    this->handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &remote.sin_addr);
    const int on = 1;
    setsockopt(this->handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(this->handle, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) == 0) {
        return;
    }
    pollfd entry{.fd = this->handle, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof(error);
    const bool isDone =
            errno == EINPROGRESS && poll(&entry, 1, static_cast<int>(limit.count())) == 1
            && getsockopt(this->handle, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    if (!isDone) {
        this->close();
    }
}

Connection::~Connection()
{
    this->close();
}

void Connection::close()
{
    if (this->handle >= 0) {
        ::close(this->handle);
        this->handle = -1;
    }
}

bool Connection::send(std::string_view part, std::chrono::milliseconds limit)
{
    const auto deadline = Clock::now() + limit;
    while (!part.empty() && this->isOpen() && Clock::now() < deadline) {
        const ssize_t count = ::send(this->handle, part.data(), part.size(), MSG_NOSIGNAL);
        if (count > 0) {
            part.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && errno != EAGAIN) {
            return false;
        }
        pollfd entry{.fd = this->handle, .events = POLLOUT, .revents = 0};
        poll(&entry, 1, 10);
    }
    return part.empty();
}

Ending Connection::exchange(Record &record, const std::string &id, const std::string &text,
                            std::chrono::milliseconds limit)
{
    Ending ending{.id = id, .sentAt = record.now()};
    if (!this->isOpen()) {
        ending.answeredAt = record.now();
        ending.note = "no connection";
        return ending;
    }
    const auto deadline = Clock::now() + limit;
    std::size_t sent = 0;
    std::string received;
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    while (true) {
        const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        if (left <= 0ms) {
            ending.note = "no answer in time";
            break;
        }
        pollfd entry{.fd = this->handle,
                     .events = static_cast<short>(POLLIN | (sent < text.size() ? POLLOUT : 0)),
                     .revents = 0};
        if (poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
            continue;
        }
        if (sent < text.size() && (entry.revents & POLLOUT) != 0) {
            const ssize_t count =
                    ::send(this->handle, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        if ((entry.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            char buffer[16'384];
            const ssize_t count = recv(this->handle, buffer, sizeof(buffer), 0);
            if (count <= 0) {
                ending.note = count == 0 ? "connection closed" : "connection reset";
                this->close();
                break;
            }
            received.append(buffer, static_cast<std::size_t>(count));
        }
        if (headEnd == std::string::npos
            && (headEnd = received.find("\r\n\r\n")) != std::string::npos) {
            std::string head = received.substr(0, headEnd);
            std::transform(head.begin(), head.end(), head.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            const std::size_t field = head.find("\r\ncontent-length:");
            length = field == std::string::npos ? 0 : std::stoul(head.substr(field + 17));
            ending.closesAfter = head.find("\r\nconnection: close") != std::string::npos;
            ending.isSealed = head.find("\r\nx-server-seal:") != std::string::npos;
            headEnd += 4;
        }
        if (headEnd != std::string::npos && received.size() >= headEnd + length) {
            ending.status = std::stoi(received.substr(9, 3));
            ending.body = received.substr(headEnd, length);
            break;
        }
    }
    ending.answeredAt = record.now();
    if (ending.status == 0 || ending.closesAfter) {
        this->close();
    }
    return ending;
}

std::string makeRequest(const RequestText &request)
{
    std::ostringstream text;
    text << request.method << ' ' << request.target << " HTTP/1.1\r\n"
         << "Host: shop.example\r\n"
         << "X-Attempt-Id: " << request.id << "\r\n"
         << "X-Deadline-Remaining: " << request.remainingMs << "\r\n";
    if (request.key) {
        text << "X-Shard-Key: " << *request.key << "\r\n";
    }
    text << request.moreFields;
    if (!request.body.empty() || request.method != "GET") {
        text << "Content-Length: " << request.body.size() << "\r\n";
    }
    text << "\r\n" << request.body;
    return text.str();
}

} // namespace review
