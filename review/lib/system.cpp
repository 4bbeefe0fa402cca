#include "system.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using Json = nlohmann::json;

namespace {

[[noreturn]] void cannotRun(const std::string &reason)
{
    std::fprintf(stderr, "the case cannot run: %s\n", reason.c_str());
    std::_Exit(2);
}

// Returns the words of the command in deploy/system.toml.
std::vector<std::string> deployCommand()
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("run = \"", 0) == 0) {
            std::istringstream words(line.substr(7, line.rfind('"') - 7));
            std::vector<std::string> command;
            std::string word;
            while (words >> word) {
                command.push_back(word);
            }
            return command;
        }
    }
    cannotRun("deploy/system.toml names no command");
}

} // namespace

System::System(SystemOptions systemOptions, Record &events)
    : ledger(events)
    , options(std::move(systemOptions))
    , record(events)
    , command(deployCommand())
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string name = (std::filesystem::temp_directory_path() / "kumquat-review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr || access(this->command.at(0).c_str(), X_OK) != 0) {
        cannotRun("no temporary folder, or " + this->command.at(0) + " is not built");
    }
    this->directory = name;
    auto started = kumquat::HttpServer::start({"127.0.0.1", 0}, this->store.handler());
    if (!started.ok()) {
        cannotRun("the store cannot listen");
    }
    this->storeServer = *std::move(started);
    this->publish();
    int index = 0;
    for (const MachinePlan &plan : this->options.machines) {
        Machine machine{.node = "sidecar-" + plan.zone + "-" + std::to_string(++index),
                        .plan = plan,
                        .callers = freeAddress(),
                        .readiness = freeAddress(),
                        .control = freeAddress(),
                        .app = freeAddress()};
        machine.settingsPath = this->directory + "/" + machine.node + ".json";
        const Json settings{{"node", machine.node},
                            {"region", plan.region},
                            {"dataCentre", plan.zone},
                            {"firstStart", true},
                            {"service", plan.service},
                            {"upstream", machine.app.toString()},
                            {"store", "127.0.0.1:" + std::to_string(this->storeServer->port())},
                            {"grants", "call"},
                            {"heartbeatMs", 870},
                            {"listen",
                             {{"callers", machine.callers.toString()},
                              {"readiness", machine.readiness.toString()},
                              {"heartbeats", machine.control.toString()},
                              {"processes", freeAddress().toString()},
                              {"metrics", freeAddress().toString()}}},
                            {"limits",
                             {{"drainMs", this->options.drainMs},
                              {"stopSeconds", this->options.stopSeconds},
                              {"longestHoldMs", 10'000},
                              {"retryShare", 0.2},
                              {"retryWindowSeconds", 10},
                              {"retrySlack", 62}}}};
        std::ofstream(machine.settingsPath) << settings.dump();
        machine.endpoint = std::make_unique<Endpoint>(
                EndpointSettings{.name = plan.zone + std::to_string(index),
                                 .service = plan.service,
                                 .zone = plan.zone,
                                 .address = machine.app,
                                 .control = machine.control,
                                 .work = this->options.work,
                                 .hasKeys = this->options.shardedServices.contains(plan.service)},
                this->record, this->ledger);
        this->machines.push_back(std::move(machine));
    }
    for (Machine &machine : this->machines) {
        if (!machine.plan.isSpare) {
            this->startMachine(machine);
        }
    }
}

System::~System()
{
    for (Machine &machine : this->machines) {
        this->killProcess(machine);
        machine.endpoint.reset();
    }
    this->store.stop();
    this->storeServer.reset();
    for (const Machine &machine : this->machines) {
        unlink(machine.settingsPath.c_str());
        if (std::getenv("KEEP_LOGS") == nullptr) {
            unlink((machine.settingsPath + ".log").c_str());
        }
    }
    rmdir(this->directory.c_str());
}

std::string System::prefix(const std::string &service, bool isIdempotent)
{
    return (isIdempotent ? "/i-" : "/n-") + service + "/";
}

void System::publish()
{
    Json rows = Json::array();
    Json services = Json::array();
    std::set<std::string> names;
    for (const MachinePlan &plan : this->options.machines) {
        names.insert(plan.service);
    }
    for (const std::string &name : names) {
        for (const bool isIdempotent : {false, true}) {
            rows.push_back({"r-" + name + (isIdempotent ? "-i" : "-n"), "ficu95.example",
                            prefix(name, isIdempotent),
                            isIdempotent ? "idempotent" : "non_idempotent", this->options.timeoutMs,
                            400, 1, name, 2, nullptr});
        }
        const bool isSharded = this->options.shardedServices.contains(name);
        services.push_back(
                {name, "/health", 130, "h1", false, isSharded ? Json(true) : Json(nullptr),
                 isSharded ? Json(5.0) : Json(nullptr), isSharded ? Json("call") : Json(nullptr)});
    }
    const Json config{
            {"version", "r7"},
            {"routes",
             {{"columns",
               {"name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms",
                "priority", "service", "max_attempts", "weighted_clusters"}},
              {"rows", rows}}},
            {"services",
             {{"columns",
               {"name", "health_path", "max_connections", "protocol", "tls", "sharded", "warmup_s",
                "grants"}},
              {"rows", services}}},
            {"limits",
             {{"max_header_bytes", 16'384},
              {"max_body_bytes", 67'108'864},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15'000}}}};
    this->store.put("keyed.op", 0, "config", config.dump());
}

void System::startMachine(Machine &machine)
{
    this->startProcess(machine);
    machine.endpoint->start();
}

void System::cutPower(Machine &machine)
{
    this->killProcess(machine);
    machine.endpoint->crash();
}

void System::startProcess(Machine &machine)
{
    const std::string log = machine.settingsPath + ".log";
    std::vector<char *> arguments;
    for (std::string &word : this->command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::vector<std::string> environment{"KUMQUATSTAGE_CONFIG=" + machine.settingsPath};
    for (const char *name : {"PATH", "HOME", "LANG"}) {
        if (const char *value = std::getenv(name)) {
            environment.push_back(std::string(name) + "=" + value);
        }
    }
    std::vector<char *> variables;
    for (std::string &entry : environment) {
        variables.push_back(entry.data());
    }
    variables.push_back(nullptr);
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(2);
        }
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        // The other descriptors of this driver belong to its stand-ins.
        for (int descriptor = 3; descriptor < 4096; ++descriptor) {
            close(descriptor);
        }
        execve(arguments[0], arguments.data(), variables.data());
        _exit(2);
    }
    machine.process = child;
    machine.startedAt = Clock::now();
    ++machine.starts;
    this->record.line("process on " + machine.node + " started");
}

void System::signalProcess(Machine &machine, int number)
{
    if (machine.process > 0) {
        kill(machine.process, number);
        this->record.line("signal " + std::to_string(number) + " to the process on "
                          + machine.node);
    }
}

void System::killProcess(Machine &machine)
{
    if (machine.process > 0) {
        this->signalProcess(machine, SIGKILL);
        waitpid(machine.process, nullptr, 0);
        machine.process = 0;
    }
}

bool System::isReady(const Machine &machine) const
{
    kumquat::HttpClient client(machine.readiness);
    const auto exchange =
            client.send({"GET", "/kumquatstage/readiness", {}, "", {}}, std::chrono::seconds(1));
    return exchange.result == kumquat::ExchangeResult::Answered && exchange.answer.status == 200;
}

bool System::waitUntilReady(milliseconds limit)
{
    const auto due = Clock::now() + limit;
    while (Clock::now() < due) {
        bool isDone = true;
        for (const Machine &machine : this->machines) {
            isDone = isDone && (machine.process == 0 || this->isReady(machine));
        }
        if (isDone
            && (this->options.shardedServices.empty()
                || this->ledger.heldKeys() == KeyLedger::keys)) {
            this->record.line("the system is ready");
            return true;
        }
        sleepMs(100);
    }
    this->record.line("the system did not become ready");
    return false;
}

// ---- Helpers of the cases ----

int ClientResult::status() const
{
    return this->exchange.result == kumquat::ExchangeResult::Answered ? this->exchange.answer.status
                                                                      : 0;
}

bool ClientResult::isSuccess() const
{
    return this->status() / 100 == 2;
}

ClientResult sendRequest(Record &record, const kumquat::Address &callers,
                         const ClientRequest &request)
{
    static std::atomic<std::uint64_t> last{0};
    ClientResult result{.id = "a-" + std::to_string(++last)};
    kumquat::HttpRequest message{
            request.method,
            request.target,
            {{"Host", "ficu95.example"},
             {"X-Attempt-Id", result.id},
             {"X-Deadline-Remaining", std::to_string(request.deadline.count())}},
            request.body,
            {}};
    if (request.key) {
        message.fields.push_back({"X-Shard-Key", std::to_string(*request.key)});
    }
    record.line("send " + result.id + " to " + callers.toString() + " " + request.method + " "
                + request.target + " with " + std::to_string(request.body.size()) + " bytes");
    kumquat::HttpClient client(callers);
    result.exchange = client.send(message, request.deadline);
    record.line("answer to " + result.id + ": "
                + (result.status() != 0 ? std::to_string(result.status())
                   : result.exchange.result == kumquat::ExchangeResult::TimedOut
                           ? std::string("none in time")
                           : std::string("connection ended")));
    return result;
}

Clients::Clients(Record &events, int count, milliseconds pause,
                 std::function<ClientRequest(std::mt19937 &, kumquat::Address &)> makeRequest)
    : record(events)
{
    for (int i = 0; i < count; ++i) {
        this->threads.emplace_back([this, i, pause, makeRequest] {
            std::mt19937 random(static_cast<unsigned>(i) + 1);
            while (!this->isStopping) {
                kumquat::Address address;
                const ClientRequest request = makeRequest(random, address);
                if (address.port != 0) {
                    ++this->sentCount;
                    const ClientResult result = sendRequest(this->record, address, request);
                    this->successCount += result.isSuccess() ? 1 : 0;
                }
                std::this_thread::sleep_for(pause);
            }
        });
    }
}

Clients::~Clients()
{
    this->stop();
}

void Clients::stop()
{
    this->isStopping = true;
    for (std::thread &thread : this->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

kumquat::Address freeAddress()
{
    // Below the range from which the system chooses ports for outgoing connections.
    static std::mt19937 random{std::random_device{}()};
    static std::set<int> taken;
    while (true) {
        const int port = 12'000 + static_cast<int>(random() % 18'000);
        if (!taken.insert(port).second) {
            continue;
        }
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree =
                bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                == 0;
        close(descriptor);
        if (isFree) {
            return {"127.0.0.1", static_cast<std::uint16_t>(port)};
        }
    }
}

bool canConnect(const kumquat::Address &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isConnected =
            connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0;
    close(descriptor);
    return isConnected;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

double residentMb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

} // namespace review
