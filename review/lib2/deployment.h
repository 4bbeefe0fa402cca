// A small deployment on loopback addresses: the processes of the deploy file, one beside each
// endpoint, with stand-ins for the store, the endpoints, the platform and the clients.
//
//   Record record("review/6/record.txt");
//   Deployment system({.hosts = {{"testlog", "a"}, {"testlog", "b"}}}, record);
//   if (!system.waitUntilServing(20s)) { return couldNotRun; }
//
// Sections: results, Record, Endpoint, Deployment, clients.
#pragma once

#include "standins/http.h"
#include "standins/platform_store.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using kumquat::Address;
using kumquat::HttpAnswer;
using kumquat::HttpFields;
using kumquat::HttpRequest;
using Clock = std::chrono::steady_clock;

// ---- Results ----

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// Returns false if the environment has TROUBLE=0: the same run without the disruption.
bool hasTrouble();

// ---- Record ----

// Writes record.txt: one line an event, with the milliseconds since the start. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);
    double now() const; // milliseconds since the start

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start = Clock::now();
};

// ---- Endpoint ----

// One execution of a request at an endpoint. Times are milliseconds of the record.
struct Run
{
    std::string id;
    std::string endpoint;
    std::string target;
    double from = 0;
    double until = 0; // 0: still at work
};

// Keys from `first` to `last`, both inclusive.
struct GrantEvent
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    std::chrono::milliseconds hold{}; // of a grant
};

struct EndpointOptions
{
    std::string service;
    std::string zone;
    Address address;
    // How far the clock of the machine is ahead while the endpoint starts.
    std::chrono::milliseconds clockAhead{};
    int slots = 9;
    int queue = 36;
    std::chrono::milliseconds work{100};
    // Fields that the endpoint adds to its answer to a request for this target.
    std::function<HttpFields(const HttpRequest &request)> extraFields;
    std::function<std::string()> handover; // token in the answer to a release
    // Returns the status with which the endpoint answers a request that it has run; 0: 200.
    std::function<int(const std::string &instance)> failure;
    // Called with each grant that the endpoint takes, and with each release.
    std::function<void(const std::string &instance, const GrantEvent &grant)> granted;
    std::function<void(const std::string &instance, const GrantEvent &released)> released;
};

// Runs requests for the keys that are granted to it and sends heartbeats, as the pages tell.
class Endpoint
{
public:
    Endpoint(std::string instanceId, EndpointOptions endpointOptions, Record &eventRecord);
    ~Endpoint();

    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    void sendHeartbeatsTo(const Address &control);
    std::vector<Run> runs();
    bool holds(std::uint32_t key);
    const std::string &id() const { return this->instance; }

private:
    struct Hold
    {
        std::uint32_t first;
        std::uint32_t last;
        std::uint64_t fence;
        Clock::time_point until;
    };

    HttpAnswer answer(const HttpRequest &request);
    HttpAnswer grant(const HttpRequest &request);
    HttpAnswer release(const HttpRequest &request);
    HttpAnswer run(const HttpRequest &request);
    void beat(const Address &control);

    std::string instance;
    EndpointOptions options;
    Record &record;
    std::int64_t born;
    std::mutex mutex;
    std::condition_variable slotFree;
    int running = 0;
    int waiting = 0;
    std::vector<Hold> holdList;
    std::vector<Run> runList;
    std::atomic<bool> isStopping{false};
    std::unique_ptr<kumquat::HttpServer> server;
    std::thread heartbeats;
};

// ---- Deployment ----

struct HostOptions
{
    std::string service;
    std::string zone;
    bool startsLater = false; // by start() and startEndpoint()
};

struct ServiceOptions
{
    std::string name;
    bool isSharded = true;
};

struct RouteOptions
{
    std::string prefix;
    std::string service;
    bool isIdempotent = false;
    int timeoutMs = 1000;
};

struct DeploymentOptions
{
    std::vector<HostOptions> hosts;
    std::vector<ServiceOptions> services;
    std::vector<RouteOptions> routes;
    std::chrono::milliseconds work{100};
    int maxDescriptors = 4100; // of each process, as in the site files
    int memoryMb = 260;
    int idleTimeoutMs = 15'000;
    std::int64_t maxBodyBytes = 67'108'864; // as the example of the configuration on the wire
    std::function<HttpFields(const HttpRequest &request)> extraFields;
    std::function<std::string()> handover;
    std::function<int(const std::string &instance)> failure;
    std::function<void(const std::string &instance, const GrantEvent &grant)> granted;
    std::function<void(const std::string &instance, const GrantEvent &released)> released;
};

// One machine: an endpoint and its process.
struct Host
{
    std::string node;
    std::string service;
    std::string zone;
    Address outbound;
    Address ready;
    Address control;
    Address upstream;
    std::string settingsPath;
    std::string logPath;
    std::unique_ptr<Endpoint> endpoint;
    pid_t process = 0; // 0: not started
    int starts = 0;
    int instances = 0;
};

class Deployment
{
public:
    Deployment(DeploymentOptions deploymentOptions, Record &eventRecord);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    // Waits until all processes are ready and each key of each service is held.
    bool waitUntilServing(Clock::duration limit);

    void start(Host &host);
    // Starts a new instance. `clockAhead`: of the clock of its machine meanwhile.
    void startEndpoint(Host &host, std::chrono::milliseconds clockAhead = {});
    void endEndpoint(Host &host); // as in a crash
    kumquat::PlatformStore &platformStore() { return this->store; }
    void signal(const Host &host, int number) const;

    // Returns the wait status if the process has ended by now.
    std::optional<int> takeExit(Host &host);

    Host &host(std::size_t index) { return this->allHosts.at(index); }
    std::vector<Host> &hosts() { return this->allHosts; }

    // Returns the index of the host whose endpoint holds the key; -1 if none does.
    int ownerOf(std::uint32_t key, const std::string &service);

    // Ends all processes.
    void stop();

    std::vector<Run> runs();

private:
    void writeSettings(Host &host, const std::string &ip, int basePort);
    std::string configuration() const;

    DeploymentOptions options;
    Record &record;
    std::string directory; // temporary
    kumquat::PlatformStore store;
    std::unique_ptr<kumquat::HttpServer> storeServer;
    Address storeAddress;
    std::vector<Host> allHosts;
    std::vector<Run> earlierRuns; // at endpoints that have ended
};

// ---- Clients ----

// How a request of a client ended.
struct Ending
{
    std::string id;
    double sentAt = 0;
    double answeredAt = 0;
    int status = 0; // 0: no complete answer
    std::string note;
    bool isSealed = false;    // the answer bears an endpoint's seal
    bool closesAfter = false; // the answer has "Connection: close"
    std::string body;
};

// One connection of a client that sends raw requests and reads whole answers.
class Connection
{
public:
    explicit Connection(const Address &address, std::chrono::milliseconds limit = 1s);
    ~Connection();

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isOpen() const { return this->handle >= 0; }

    // Sends a request and waits for the answer.
    Ending exchange(Record &record, const std::string &id, const std::string &text,
                    std::chrono::milliseconds limit);

    // Sends a part of a request. Returns false if that fails or takes longer than the limit.
    bool send(std::string_view part, std::chrono::milliseconds limit);

    void close();

private:
    int handle = -1;
};

// Returns the text of a request.
struct RequestText
{
    std::string method = "POST";
    std::string target;
    std::string id;
    std::optional<std::uint32_t> key;
    int remainingMs = 2000;
    std::string moreFields; // whole lines
    std::string body;
};
std::string makeRequest(const RequestText &request);

std::string formatMs(double milliseconds);

} // namespace review
