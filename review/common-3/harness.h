// Parts that the scripted cases of this review share: a small HTTP layer over blocking loopback
// sockets, a stand-in for the platform's store, a stand-in for an endpoint, child processes and a
// cluster of routers that are started with the command of the deploy file.
//
// Sections: record, sockets, HTTP, store, endpoint, processes, cluster.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr int exitHeld = 0;   // the rule held
constexpr int exitBroken = 1; // the rule was broken
constexpr int exitNotRun = 2; // the case could not run

inline void pause(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

// ---- Record ----

// Writes one line per event to record.txt, with the time since the start in milliseconds.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path, std::ios::trunc)
    {}

    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.1f ", this->now());
        this->file << time << text << std::endl;
    }

    // Returns the time since the start in milliseconds.
    double now() const
    {
        return std::chrono::duration<double, std::milli>(Clock::now() - this->start).count();
    }

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start = Clock::now();
};

// ---- Sockets ----

struct Address
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;

    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

inline sockaddr_in rawAddress(const Address &address)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
    return raw;
}

// Returns a listening socket, or -1 if the address is in use.
inline int listenOn(const Address &address, int backlog = 1024)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in raw = rawAddress(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&raw), sizeof(raw)) != 0
        || listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

// Returns a port that is free now, below the range of outgoing connections.
inline std::uint16_t findFreePort()
{
    static std::uint32_t next = 12'000 + std::random_device{}() % 19'000;
    for (int i = 0; i < 20'000; ++i) {
        next = next >= 31'000 ? 12'000 : next + 1;
        const Address address{.port = static_cast<std::uint16_t>(next)};
        const int fd = listenOn(address);
        if (fd >= 0) {
            close(fd);
            return address.port;
        }
    }
    return 0;
}

// A connected TCP socket; closed by the destructor.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor)
        : fd(descriptor)
    {}
    ~Socket() { this->close(); }
    Socket(Socket &&other) noexcept
        : fd(std::exchange(other.fd, -1))
        , buffer(std::move(other.buffer))
    {}
    Socket &operator=(Socket &&other) noexcept
    {
        this->close();
        this->fd = std::exchange(other.fd, -1);
        this->buffer = std::move(other.buffer);
        return *this;
    }

    static Socket connect(const Address &address, int timeoutMs = 1000)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (fd < 0) {
            return Socket();
        }
        const sockaddr_in raw = rawAddress(address);
        int error = ::connect(fd, reinterpret_cast<const sockaddr *>(&raw), sizeof(raw)) == 0
                            ? 0
                            : errno;
        if (error == EINPROGRESS) {
            pollfd entry{.fd = fd, .events = POLLOUT, .revents = 0};
            socklen_t size = sizeof(error);
            if (poll(&entry, 1, timeoutMs) != 1
                || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
                error = ETIMEDOUT;
            }
        }
        if (error != 0) {
            ::close(fd);
            return Socket();
        }
        fcntl(fd, F_SETFL, 0);
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return Socket(fd);
    }

    bool isOpen() const { return this->fd >= 0; }
    int descriptor() const { return this->fd; }

    bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t count = send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    // Reads more bytes into the buffer. Returns false at the end of the stream, on an error and
    // after the timeout (-1: none).
    bool readMore(int timeoutMs)
    {
        pollfd entry{.fd = this->fd, .events = POLLIN, .revents = 0};
        if (poll(&entry, 1, timeoutMs) != 1) {
            this->hasTimedOut = true;
            return false;
        }
        char bytes[64 * 1024];
        const ssize_t count = recv(this->fd, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    // Returns whether the peer has closed or reset the connection.
    bool isClosedByPeer() const
    {
        char byte = 0;
        const ssize_t count = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void shutDown() const { shutdown(this->fd, SHUT_RDWR); }

    void close()
    {
        if (this->fd >= 0) {
            ::close(std::exchange(this->fd, -1));
        }
    }

private:
    int fd = -1;

public:
    std::string buffer; // bytes that were read and not used yet
    bool hasTimedOut = false;
};

// ---- HTTP ----

struct Message
{
    std::string method; // of a request
    std::string target; // of a request
    int status = 0;     // of an answer
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(std::string_view name) const
    {
        for (const auto &[key, value] : this->fields) {
            if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
                return value;
            }
        }
        return "";
    }

    std::string path() const { return this->target.substr(0, this->target.find('?')); }

    std::string query(const std::string &name) const
    {
        std::size_t at = this->target.find('?');
        while (at != std::string::npos) {
            const std::size_t next = this->target.find('&', at + 1);
            const std::string pair = this->target.substr(at + 1, next - at - 1);
            const std::size_t equals = pair.find('=');
            if (pair.substr(0, equals) == name) {
                return equals == std::string::npos ? "" : pair.substr(equals + 1);
            }
            at = next;
        }
        return "";
    }
};

// Reads one message with a Content-Length, or without a body. Returns nothing at the end of the
// stream or after the timeout (-1: none).
inline std::optional<Message> readMessage(Socket &socket, int timeoutMs)
{
    const auto end = Clock::now() + Milliseconds(timeoutMs);
    const auto more = [&] {
        const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
        return socket.readMore(timeoutMs < 0 ? -1 : static_cast<int>(std::max<long>(left, 0)));
    };
    std::size_t headEnd = 0;
    while ((headEnd = socket.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return std::nullopt;
        }
    }
    Message message;
    std::istringstream head(socket.buffer.substr(0, headEnd));
    socket.buffer.erase(0, headEnd + 4);
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    if (line.starts_with("HTTP/")) {
        std::string version;
        first >> version >> message.status;
    } else {
        first >> message.method >> message.target;
    }
    while (std::getline(head, line)) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        value.erase(value.find_last_not_of(" \t\r") + 1);
        message.fields.emplace_back(line.substr(0, colon), value);
    }
    const std::string length = message.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (socket.buffer.size() < size) {
        if (!more()) {
            return std::nullopt;
        }
    }
    message.body = socket.buffer.substr(0, size);
    socket.buffer.erase(0, size);
    return message;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string encodeAnswer(int status, const Fields &fields = {}, const std::string &body = "")
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string encodeRequest(const std::string &method, const std::string &target,
                                 const Fields &fields = {}, const std::string &body = "")
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

// Serves each connection on a thread of its own until it is stopped.
class Server
{
public:
    // Handles one request; returns false to end the connection.
    using Handler = std::function<bool(Socket &socket, const Message &request)>;

    // Check isListening(): false if the address is in use. `acceptAfterMs`: for which new connections
    // wait in the queue of the port, which has room for about `backlog` of them.
    Server(const Address &address, Handler requestHandler, int backlog = 1024,
           int acceptAfterMs = 0)
        : handler(std::move(requestHandler))
        , listener(listenOn(address, backlog))
        , acceptsAt(Clock::now() + Milliseconds(acceptAfterMs))
    {
        if (this->listener >= 0) {
            this->acceptor = std::thread([this] { this->accept(); });
        }
    }

    ~Server() { this->stop(); }

    bool isListening() const { return this->listener >= 0; }

    // Closes the port and all connections, as the end of the process does.
    void stop()
    {
        if (this->listener < 0) {
            return;
        }
        this->isStopping = true;
        shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        close(std::exchange(this->listener, -1));
        std::vector<std::thread> ending;
        {
            const std::lock_guard lock(this->mutex);
            for (const int fd : this->open) {
                shutdown(fd, SHUT_RDWR);
            }
            ending.swap(this->threads);
        }
        for (std::thread &thread : ending) {
            thread.join();
        }
    }

private:
    void accept()
    {
        while (!this->isStopping && Clock::now() < this->acceptsAt) {
            pause(5);
        }
        while (!this->isStopping) {
            const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (this->isStopping) {
                    return;
                }
                pause(1);
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard lock(this->mutex);
            this->open.insert(fd);
            this->threads.emplace_back([this, fd] { this->serve(fd); });
        }
    }

    void serve(int fd)
    {
        Socket socket(fd);
        while (const auto request = readMessage(socket, -1)) {
            if (!this->handler(socket, *request)) {
                break;
            }
        }
        const std::lock_guard lock(this->mutex);
        this->open.erase(fd);
        socket.close();
    }

    Handler handler;
    int listener;
    Clock::time_point acceptsAt;
    std::atomic<bool> isStopping{false};
    std::thread acceptor;
    std::mutex mutex;
    std::set<int> open;
    std::vector<std::thread> threads;
};

// ---- Store ----

// The platform's store: keyed topics with conditional appends, waiting reads and the newest record
// of each key. It answers at once and loses nothing.
class Store
{
public:
    Store()
        : address{.port = findFreePort()}
        , server(this->address, [this](Socket &socket, const Message &request) {
            return socket.write(this->answer(request));
        })
    {}

    ~Store()
    {
        this->endWaits();
        this->server.stop();
    }

    // Answers the waiting reads; later ones don't wait.
    void endWaits()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isStopping = true;
        }
        this->appended.notify_all();
    }

    // Appends a record on behalf of the operator.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        this->parts[topic + "/0"].push_back({key, value});
        this->appended.notify_all();
    }

    // Answers a call. Reads wait as they ask to.
    std::string answerCall(const Message &request) { return this->answer(request); }

    const Address address;

private:
    struct Entry
    {
        std::string key;
        std::string value;
    };

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
            text += static_cast<char>(value >> shift & 0xff);
        }
        return text;
    }

    static std::string base64(const std::string &bytes)
    {
        static const char digits[] =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t word = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                word = word << 8
                       | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                text += i + j <= bytes.size() ? digits[word >> (18 - 6 * j) & 63] : '=';
            }
        }
        return text;
    }

    std::string answer(const Message &request)
    {
        std::unique_lock lock(this->mutex);
        std::vector<Entry> &part =
                this->parts[request.query("topic") + "/" + request.query("part")];
        if (request.path() == "/kumquatstage/log-append") {
            return this->append(part, request);
        }
        if (request.path() == "/kumquatstage/log-newest") {
            std::map<std::string, std::size_t> newest;
            for (std::size_t i = 0; i < part.size(); ++i) {
                newest[part[i].key] = i;
            }
            Json items = Json::array();
            for (const auto &[key, index] : newest) {
                if (!part[index].value.empty()) {
                    items.push_back({{"key", key},
                                     {"value", base64(part[index].value)},
                                     {"offset", index}});
                }
            }
            const Json body{{"items", items}, {"has_more", false}, {"end_offset", part.size()}};
            return encodeAnswer(200, {{"Content-Type", "application/json"}}, body.dump());
        }
        if (request.path() != "/kumquatstage/log-read") {
            return encodeAnswer(404);
        }
        const std::size_t from = std::stoul(request.query("from"));
        const std::string wait = request.query("wait_ms");
        this->appended.wait_for(lock, Milliseconds(wait.empty() ? 0 : std::stoi(wait)),
                                [&] { return this->isStopping || part.size() > from; });
        std::string body = bigEndian(part.size(), 8) + bigEndian(0, 8);
        for (std::size_t i = from; i < part.size(); ++i) {
            const Entry &entry = part[i];
            body += bigEndian(1 + entry.key.size() + entry.value.size(), 4);
            body += static_cast<char>(entry.key.size());
            body += entry.key + entry.value;
        }
        return encodeAnswer(200, {}, body);
    }

    std::string append(std::vector<Entry> &part, const Message &request)
    {
        const std::string asOf = request.query("as_of");
        if (!asOf.empty() && std::stoul(asOf) != part.size()) {
            return encodeAnswer(412, {}, Json{{"end_offset", part.size()}}.dump());
        }
        const std::size_t first = part.size();
        std::string_view bytes = request.body;
        while (bytes.size() >= 5) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i) {
                length = length << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
            }
            const std::string_view content = bytes.substr(4, length);
            const std::size_t keyBytes = static_cast<unsigned char>(content[0]);
            part.push_back({std::string(content.substr(1, keyBytes)),
                            std::string(content.substr(1 + keyBytes))});
            bytes.remove_prefix(4 + length);
        }
        this->appended.notify_all();
        return encodeAnswer(200, {{"Content-Type", "application/json"}},
                            Json{{"offset", first}, {"end_offset", part.size()}}.dump());
    }

    std::mutex mutex;
    std::condition_variable appended;
    bool isStopping = false;
    std::map<std::string, std::vector<Entry>> parts;
    Server server;
};

// ---- Endpoint ----

// A grant that an endpoint has accepted.
struct Grant
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    Clock::time_point until;
    double atMs = 0; // by the record
};

struct Run
{
    std::string requestId;
    std::string method;
    std::string target;
    std::string body;
    std::string callerService;
    double atMs = 0; // by the record
};

// One start of an endpoint: heartbeats to the process beside it, and requests.
class Endpoint
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        Address address;
        Address heartbeats;
        int slots = 9;
        int heartbeatMs = 870;
        int workMs = 20;
        std::int64_t bornMs = 0; // 0: now
        bool isSharded = false;  // runs a request only while it holds the key of the request
        int backlog = 1024;      // of new connections
        int acceptAfterMs = 0;   // for which new connections wait after the start
        // Answers a request that the endpoint runs in place of a 200. Returns false to end the
        // connection.
        std::function<bool(Socket &socket, const Message &request)> answerRun = nullptr;
    };

    Endpoint(Record &eventRecord, Options endpointOptions)
        : record(eventRecord)
        , options(std::move(endpointOptions))
        , server(
                  this->options.address,
                  [this](Socket &socket, const Message &request) {
                      return this->serve(socket, request);
                  },
                  this->options.backlog, this->options.acceptAfterMs)
    {
        if (this->options.bornMs == 0) {
            this->options.bornMs = std::chrono::duration_cast<Milliseconds>(
                                           std::chrono::system_clock::now().time_since_epoch())
                                           .count();
        }
        this->record.line("endpoint " + this->options.id + " starts, born "
                          + std::to_string(this->options.bornMs));
    }

    ~Endpoint() { this->stop(); }

    bool isListening() const { return this->server.isListening(); }

    void startHeartbeats()
    {
        this->heartbeatThread = std::thread([this] {
            while (!this->isStopping && !this->hasLeft) {
                this->sendHeartbeat();
                for (int waited = 0; waited < this->options.heartbeatMs && !this->isStopping
                                     && !this->hasLeft;
                     waited += 10) {
                    pause(10);
                }
            }
        });
    }

    // Sends one heartbeat now. Returns the status of the answer, 0 without one.
    int sendHeartbeat()
    {
        const std::lock_guard lock(this->heartbeatMutex);
        const Json body{
                {"address", this->options.address.text()},
                {"info",
                 {{"service", this->options.service},
                  {"version", "v1"},
                  {"zone", "a"},
                  {"slots", this->options.slots}}},
                {"status",
                 {{"state", "ready"},
                  {"seq", ++this->sequence},
                  {"cold_left_ms", this->coldLeftMs()}}},
                {"born", this->options.bornMs}};
        return this->call("PUT", body);
    }

    // Says that the endpoint leaves, without a draining heartbeat before. The endpoint goes on
    // serving until it is stopped. Returns the status of the answer, 0 without one.
    int deregister()
    {
        this->hasLeft = true;
        const std::lock_guard lock(this->heartbeatMutex);
        return this->call("DELETE", {{"born", this->options.bornMs}});
    }

    void stop()
    {
        if (this->isStopping.exchange(true)) {
            return;
        }
        if (this->heartbeatThread.joinable()) {
            this->heartbeatThread.join();
        }
        this->server.stop();
        this->record.line("endpoint " + this->options.id + " has ended");
    }

    std::vector<Run> runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->started;
    }

    // Returns all grants that were accepted, also those that have ended.
    std::vector<Grant> grants()
    {
        const std::lock_guard lock(this->mutex);
        return this->accepted;
    }

private:
    // Returns how much longer the endpoint is slow after its start.
    std::int64_t coldLeftMs() const
    {
        const auto end = this->startedAt + Milliseconds(this->options.acceptAfterMs);
        const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
        return std::max<std::int64_t>(left, 0);
    }

    // Accepts a grant unless a higher fence was seen on one of its keys.
    int takeGrant(const Json &body)
    {
        const std::lock_guard lock(this->mutex);
        const Grant grant{.first = body.at("from").get<std::uint32_t>(),
                          .last = body.at("target").get<std::uint32_t>(),
                          .fence = body.at("fence").get<std::uint64_t>(),
                          .until = Clock::now()
                                   + Milliseconds(body.at("hold_ms").get<std::int64_t>()),
                          .atMs = this->record.now()};
        for (const Grant &seen : this->accepted) {
            if (seen.first <= grant.last && grant.first <= seen.last && seen.fence > grant.fence) {
                return 409;
            }
        }
        const bool isRenewal =
                std::any_of(this->held.begin(), this->held.end(), [&](const Grant &other) {
                    return other.first == grant.first && other.last == grant.last
                           && other.fence == grant.fence;
                });
        if (!isRenewal) {
            this->record.line("endpoint " + this->options.id + " is granted keys "
                              + std::to_string(grant.first) + " to " + std::to_string(grant.last)
                              + " with fence " + std::to_string(grant.fence));
        }
        std::erase_if(this->held, [&](const Grant &other) {
            return other.first == grant.first && other.last == grant.last
                   && other.fence == grant.fence;
        });
        this->held.push_back(grant);
        this->accepted.push_back(grant);
        return 200;
    }

    void release(const Json &body)
    {
        const std::lock_guard lock(this->mutex);
        const auto first = body.at("from").get<std::uint32_t>();
        const auto last = body.at("target").get<std::uint32_t>();
        std::vector<Grant> rest;
        for (const Grant &grant : this->held) {
            if (grant.last < first || last < grant.first) {
                rest.push_back(grant);
                continue;
            }
            Grant part = grant;
            if (grant.first < first) {
                part.last = first - 1;
                rest.push_back(part);
            }
            part = grant;
            if (grant.last > last) {
                part.first = last + 1;
                rest.push_back(part);
            }
        }
        this->held = std::move(rest);
        this->record.line("endpoint " + this->options.id + " releases keys " + std::to_string(first)
                          + " to " + std::to_string(last));
    }

    bool holds(const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        const std::uint32_t number = key.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(key));
        return !key.empty()
               && std::any_of(this->held.begin(), this->held.end(), [&](const Grant &grant) {
                      return grant.first <= number && number <= grant.last
                             && Clock::now() < grant.until;
                  });
    }

    int call(const std::string &method, const Json &body)
    {
        Socket socket = Socket::connect(this->options.heartbeats);
        if (!socket.isOpen()
            || !socket.write(encodeRequest(method, "/kumquatstage/instances/" + this->options.id,
                                           {{"Host", this->options.heartbeats.text()},
                                            {"Content-Type", "application/json"}},
                                           body.dump()))) {
            return 0;
        }
        const auto answer = readMessage(socket, 1000);
        return answer ? answer->status : 0;
    }

    bool serve(Socket &socket, const Message &request)
    {
        if (request.path() == "/health") {
            return socket.write(encodeAnswer(200, {{"X-Instance-Id", this->options.id}}));
        }
        if (request.path() == "/kumquatstage/grant") {
            return socket.write(encodeAnswer(this->takeGrant(Json::parse(request.body))));
        }
        if (request.path() == "/kumquatstage/release") {
            this->release(Json::parse(request.body));
            return socket.write(encodeAnswer(200, {{"X-Duty-Handover", "5c0e7a21d94b36f8"}}));
        }
        const std::string requestId = request.field("X-Attempt-Id");
        const std::string expected = request.field("X-Expected-Instance");
        if (requestId.empty()) {
            return socket.write(encodeAnswer(400, {{"X-Not-Executed", "1"}}));
        }
        const bool isHeld = !this->options.isSharded || this->holds(request.field("X-Shard-Key"));
        if ((!expected.empty() && expected != this->options.id) || !isHeld) {
            this->record.line("endpoint " + this->options.id + " answers 421 to " + requestId);
            return socket.write(encodeAnswer(421, {{"X-Not-Executed", "1"},
                                                   {"X-Attempt-Id", requestId},
                                                   {"X-Instance-Id", this->options.id}}));
        }
        {
            const std::lock_guard lock(this->mutex);
            this->started.push_back({.requestId = requestId,
                                     .method = request.method,
                                     .target = request.target,
                                     .body = request.body,
                                     .callerService = request.field("X-Caller-Service"),
                                     .atMs = this->record.now()});
        }
        this->record.line("endpoint " + this->options.id + " runs " + requestId + " "
                          + request.method + " " + request.target);
        pause(this->options.workMs);
        if (this->options.answerRun) {
            return this->options.answerRun(socket, request);
        }
        return socket.write(encodeAnswer(200,
                                         {{"X-Attempt-Id", requestId}, {"X-Server-Seal", "seal"}},
                                         requestId + " ran at " + this->options.id));
    }

    Record &record;
    Options options;
    Clock::time_point startedAt = Clock::now();
    std::atomic<bool> isStopping{false};
    std::atomic<bool> hasLeft{false};
    std::mutex heartbeatMutex;
    int sequence = 0;
    std::thread heartbeatThread;
    std::mutex mutex;
    std::vector<Run> started;
    std::vector<Grant> held;
    std::vector<Grant> accepted;
    Server server;
};

// ---- Processes ----

// A child process that is killed and reaped by the destructor.
class Process
{
public:
    ~Process() { this->kill(); }

    // `fileLimit`: soft limit of open files of the child, as the platform sets it; 0: unchanged.
    bool start(const std::vector<std::string> &command, const std::vector<std::string> &variables,
               const std::string &logPath, int fileLimit = 0)
    {
        std::vector<std::string> words = command;
        if (fileLimit > 0) {
            words = {"/bin/sh", "-c", "ulimit -n " + std::to_string(fileLimit) + "; exec \"$@\"",
                     "sh"};
            words.insert(words.end(), command.begin(), command.end());
        }
        std::vector<char *> arguments;
        for (std::string &word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        std::vector<std::string> settings = variables;
        std::vector<char *> environment;
        for (std::string &setting : settings) {
            environment.push_back(setting.data());
        }
        environment.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        const int error = posix_spawn(&this->id, arguments[0], &actions, nullptr, arguments.data(),
                                      environment.data());
        posix_spawn_file_actions_destroy(&actions);
        this->id = error == 0 ? this->id : 0;
        return error == 0;
    }

    bool isRunning()
    {
        int status = 0;
        if (this->id > 0 && waitpid(this->id, &status, WNOHANG) == this->id) {
            this->id = 0;
        }
        return this->id > 0;
    }

    void signal(int number)
    {
        if (this->isRunning()) {
            ::kill(this->id, number);
        }
    }

    void kill()
    {
        if (this->id > 0) {
            ::kill(this->id, SIGKILL);
            waitpid(std::exchange(this->id, 0), nullptr, 0);
        }
    }

    pid_t processId() const { return this->id; }

private:
    pid_t id = 0;
};

// ---- Cluster ----

struct RouteRow
{
    std::string name;
    std::string prefix;
    std::string type; // "idempotent" or "non_idempotent"
    int timeoutMs = 1000;
    std::string service = "certdesk";
    int maxAttempts = 2;
};

constexpr auto routeHost = "desk.example";

// Returns a configuration as the operator writes it. `shardedServices`: those divided by key.
inline std::string makeConfiguration(int version, const std::vector<RouteRow> &routes,
                                     const std::vector<std::string> &services,
                                     const std::set<std::string> &shardedServices = {})
{
    Json rows = Json::array();
    for (const RouteRow &route : routes) {
        rows.push_back({route.name, routeHost, route.prefix, route.type, route.timeoutMs,
                        route.timeoutMs / 2, 1, route.service, route.maxAttempts, nullptr});
    }
    Json serviceRows = Json::array();
    for (const std::string &service : services) {
        const bool isSharded = shardedServices.contains(service);
        serviceRows.push_back({service, "/health", 130, "h1", false,
                               isSharded ? Json(true) : Json(nullptr),
                               isSharded ? Json(5.0) : Json(nullptr),
                               isSharded ? Json("call") : Json(nullptr)});
    }
    return Json{{"version", "r" + std::to_string(version)},
                {"routes",
                 {{"columns",
                   {"name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms",
                    "priority", "service", "max_attempts", "weighted_clusters"}},
                  {"rows", rows}}},
                {"services",
                 {{"columns",
                   {"name", "health_path", "max_connections", "protocol", "tls", "sharded",
                    "warmup_s", "grants"}},
                  {"rows", serviceRows}}},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 67108864},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}}}
            .dump();
}

// One machine: the router and the addresses on it. The endpoint is started by the case.
struct Machine
{
    std::string node;
    std::string service;
    Address callers{.port = findFreePort()};
    Address readiness{.port = findFreePort()};
    Address heartbeats{.port = findFreePort()};
    Address processes{.port = findFreePort()};
    Address metrics{.port = findFreePort()};
    Address upstream{.port = findFreePort()};
    std::string settingsPath;
    std::string logPath;
    Process router;

    // Returns the readiness of the router: 200, another status, or 0 without an answer.
    int readinessStatus(int timeoutMs = 1000) const
    {
        Socket socket = Socket::connect(this->readiness, timeoutMs);
        if (!socket.isOpen()
            || !socket.write(encodeRequest("GET", "/kumquatstage/readiness", {{"Host", "x"}}))) {
            return 0;
        }
        const auto answer = readMessage(socket, timeoutMs);
        return answer ? answer->status : 0;
    }
};

class Cluster
{
public:
    // `root`: the repository, where the program of the deploy file has been built.
    Cluster(Record &eventRecord, std::string repositoryRoot)
        : record(eventRecord)
        , root(std::move(repositoryRoot))
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        this->directory = mkdtemp(name.data()) != nullptr ? name : "";
    }

    ~Cluster()
    {
        for (const auto &machine : this->machines) {
            machine->router.kill();
        }
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(this->directory, ignored);
        }
    }

    Machine &addMachine(const std::string &node, const std::string &zone,
                        const std::string &region, const std::string &service, int memoryMb = 260,
                        const Address *storeAddress = nullptr)
    {
        auto machine = std::make_unique<Machine>();
        machine->node = node;
        machine->service = service;
        machine->settingsPath = this->directory + "/" + node + ".json";
        machine->logPath = this->directory + "/" + node + ".log";
        const Json settings{{"node", node},
                            {"region", region},
                            {"dataCentre", zone},
                            {"firstStart", true},
                            {"service", service},
                            {"upstream", machine->upstream.text()},
                            {"store", (storeAddress != nullptr ? *storeAddress : this->store.address).text()},
                            {"grants", "call"},
                            {"heartbeatMs", 870},
                            {"listen",
                             {{"callers", machine->callers.text()},
                              {"readiness", machine->readiness.text()},
                              {"heartbeats", machine->heartbeats.text()},
                              {"processes", machine->processes.text()},
                              {"metrics", machine->metrics.text()}}},
                            {"limits",
                             {{"drainMs", 2500},
                              {"stopSeconds", 6},
                              {"longestHoldMs", 10000},
                              {"retryShare", 0.2},
                              {"retryWindowSeconds", 10},
                              {"retrySlack", 62},
                              {"coldExcess", 1},
                              {"coldSlack", 0},
                              {"linkMbps", 1000.0},
                              {"memoryMb", memoryMb}}}};
        std::ofstream(machine->settingsPath) << settings.dump();
        this->machines.push_back(std::move(machine));
        return *this->machines.back();
    }

    // Starts the router of a machine with the command of the deploy file.
    bool startRouter(Machine &machine, int fileLimit = 0)
    {
        const char *path = std::getenv("PATH");
        this->record.line("router of " + machine.node + " starts");
        return machine.router.start({this->root + "/target/bin/kumquatstage", "--platform"},
                                    {"KUMQUATSTAGE_CONFIG=" + machine.settingsPath,
                                     std::string("PATH=") + (path != nullptr ? path : "")},
                                    machine.logPath, fileLimit);
    }

    static bool waitUntilReady(const Machine &machine, int limitMs)
    {
        const auto end = Clock::now() + Milliseconds(limitMs);
        while (Clock::now() < end) {
            if (machine.readinessStatus() == 200) {
                return true;
            }
            pause(50);
        }
        return false;
    }

    Store store;
    std::vector<std::unique_ptr<Machine>> machines;

private:
    Record &record;
    std::string root;
    std::string directory;
};

// Returns whether the case runs without its disruption.
inline bool isCalm()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

// Returns the arguments of a case: the repository and the path of the record.
struct Arguments
{
    std::string root;
    std::string recordPath;
};

inline std::optional<Arguments> readArguments(int count, char **words)
{
    if (count != 3) {
        std::fprintf(stderr, "usage: %s REPOSITORY RECORD\n", words[0]);
        return std::nullopt;
    }
    signal(SIGPIPE, SIG_IGN);
    // The crowds of some cases need more descriptors than the usual soft limit.
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
    }
    return Arguments{.root = words[1], .recordPath = words[2]};
}

} // namespace review
