// The process: creates and connects its threads, the mesh, the request paths, the ownership driver,
// placement and the admin interface, and handles signals.
//
//   absl::StatusOr<std::unique_ptr<Process>> process = Process::create(settings);
//   (*process)->run();     // returns after a drain, started by SIGTERM, SIGINT or POST /drain
#pragma once

#include "net/fibers.h"
#include "net/http_server.h"
#include "net/mesh.h"
#include "node/entry_path.h"
#include "node/forwarder.h"
#include "node/mesh_faults.h"
#include "node/owner_path.h"
#include "node/ownership_driver.h"
#include "node/placement_driver.h"
#include "node/upstream.h"
#include "settings/settings.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

class Process
{
public:
    // Creates the process and binds all ports, but starts no threads. Error: SettingsInvalid.
    static absl::StatusOr<std::unique_ptr<Process>> create(Settings settings);
    ~Process();

    // Records the inputs of the ownership engine in a file. Call before run().
    absl::Status recordTrace(const std::string &path) { return this->driver->recordTrace(path); }

    // Runs until a signal or a drain request, then drains and returns.
    void run();

private:
    explicit Process(Settings settings);

    absl::Status setUp();
    absl::Status listen();
    EngineSettings makeEngineSettings() const;
    EngineHooks makeEngineHooks();
    LogClientSettings makeLogSettings() const;
    HttpServerHooks makeCallerHooks(std::size_t worker);
    void receiveOther(const wire::MeshMessage &message);
    void receiveForward(const wire::MeshMessage &message);

    HttpResponse handleAdmin(const HttpRequest &request);
    HttpResponse showStatus() const;
    HttpResponse showOwner(const HttpRequest &request) const;
    HttpResponse showRules() const;
    HttpResponse showMetrics();
    HttpResponse showReport();
    HttpResponse acceptAnnouncement(const HttpRequest &request);
    HttpResponse dropMessages(const HttpRequest &request);
    void advanceEverySecond();
    void watchUpstream();
    void handleUpstreamLoss();
    void startDrain();
    void waitForSignal();
    void waitUntilDrained();

    Settings settings;
    std::uint64_t incarnation;
    FiberThread control;
    std::vector<std::unique_ptr<FiberThread>> workers;
    std::unique_ptr<Mesh> mesh;
    std::unique_ptr<OwnerPath> owner;
    std::unique_ptr<OwnershipDriver> driver;
    std::unique_ptr<PlacementDriver> placement;
    std::unique_ptr<Forwarder> forwarder;
    std::unique_ptr<EntryPath> entry;
    std::vector<std::shared_ptr<HttpServer>> callerServers;
    std::shared_ptr<HttpServer> adminServer;
    std::atomic<std::size_t> nextWorker{0}; // worker for the next forwarded request
    std::atomic<bool> closing{false};

    std::mutex reportMutex; // guards collector; no other lock is taken while it is held
    ReportCollector collector;

    // The members from here to rejoinDelay are used only on the control thread.
    MeshFaults faults; // empty unless the settings enable faultInjection
    std::optional<Time> lastAnnouncement;
    Time rejoinAfter{};     // announcements are refused until this time
    Duration rejoinDelay{}; // doubles with each loss of the upstream

    std::mutex stopMutex; // guards stopping
    std::condition_variable stopChanged;
    bool stopping = false;
};

} // namespace kumquat
