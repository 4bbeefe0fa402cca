// A small deployment: the platform's store, router processes with the command of the deploy file,
// the endpoints beside them, and clients.
//
// Sections: SystemOptions, Machine, System, helpers of the cases.
#pragma once

#include "endpoint.h"
#include "standins/platform_store.h"

#include <optional>
#include <random>
#include <sys/types.h>

namespace review {

// ---- SystemOptions ----

struct MachinePlan
{
    std::string service;
    std::string zone;
    std::string region;
    bool isSpare = false; // not started with the others
};

struct SystemOptions
{
    std::vector<MachinePlan> machines;
    std::set<std::string> shardedServices;
    milliseconds work{20};
    int timeoutMs = 1000;
    int drainMs = 2500;
    int stopSeconds = 6;
};

// ---- Machine ----

struct Machine
{
    std::string node;
    MachinePlan plan;
    kumquat::Address callers;
    kumquat::Address readiness;
    kumquat::Address control;
    kumquat::Address app;
    std::string settingsPath;
    std::unique_ptr<Endpoint> endpoint;
    pid_t process = 0;
    Clock::time_point startedAt; // of the process
    int starts = 0;
};

// ---- System ----

class System
{
public:
    System(SystemOptions systemOptions, Record &events);
    ~System();

    // Starts the process and the endpoint of a machine, or ends both as a loss of power does.
    void startMachine(Machine &machine);
    void cutPower(Machine &machine);

    void startProcess(Machine &machine);
    void signalProcess(Machine &machine, int number);

    // Sends SIGKILL and waits for the end.
    void killProcess(Machine &machine);

    // Waits until all processes that run answer the readiness probe with 200 and, with sharded
    // services, until all keys are held. Returns false after `limit`.
    bool waitUntilReady(milliseconds limit);
    bool isReady(const Machine &machine) const;

    // Route prefix of a service: "/n-SERVICE/" must not run twice, "/i-SERVICE/" may.
    static std::string prefix(const std::string &service, bool isIdempotent);

    std::vector<Machine> machines;
    KeyLedger ledger;

private:
    void publish();

    SystemOptions options;
    Record &record;
    std::string directory;
    std::vector<std::string> command;
    kumquat::PlatformStore store;
    std::unique_ptr<kumquat::HttpServer> storeServer;
};

// ---- Helpers of the cases ----

struct ClientRequest
{
    std::string method = "GET";
    std::string target;
    std::string body;
    std::optional<std::uint32_t> key;
    milliseconds deadline{2000};
};

struct ClientResult
{
    std::string id;
    kumquat::HttpExchange exchange;

    int status() const;
    bool isSuccess() const;
};

// Sends one request on a new connection, as the platform's clients do, and writes both to the
// record.
ClientResult sendRequest(Record &record, const kumquat::Address &callers,
                         const ClientRequest &request);

// Clients that send requests one after the other until they are stopped.
class Clients
{
public:
    // `makeRequest`: returns the next request of a client and the address it goes to; an address
    // with port 0 means that the client pauses.
    Clients(Record &events, int count, milliseconds pause,
            std::function<ClientRequest(std::mt19937 &, kumquat::Address &)> makeRequest);
    ~Clients();

    void stop();
    int sent() const { return this->sentCount; }
    int succeeded() const { return this->successCount; }

private:
    Record &record;
    std::atomic<bool> isStopping{false};
    std::atomic<int> sentCount{0};
    std::atomic<int> successCount{0};
    std::vector<std::thread> threads;
};

kumquat::Address freeAddress();
bool canConnect(const kumquat::Address &address);
bool hasTrouble();

// Resident memory of a process in MB.
double residentMb(pid_t process);

inline void sleepMs(std::int64_t count)
{
    std::this_thread::sleep_for(milliseconds(count));
}

} // namespace review
