#include "system/child.h"

#include <algorithm>
#include <cassert>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <random>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace kumquat {
namespace {

constexpr int firstPort = 20'000;
constexpr int lastPort = 32'000;
constexpr int portsPerBlock = 300; // a cluster of six hosts uses 60
constexpr int fileMode = 0644;
constexpr int signalStatusBase = 128;
constexpr Duration pollInterval = 5ms;

// Returns a socket that is bound to the port, or -1.
int bindPort(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        return descriptor;
    }
    close(descriptor);
    return -1;
}

// Reserves a block of ports that no other test program uses and returns its first port. The socket
// on the first port stays open until the program ends. Concurrent test programs therefore cannot
// take each other's ports while a server is restarted.
int claimPortBlock()
{
    constexpr int blocks = (lastPort - firstPort) / portsPerBlock;
    const auto first = static_cast<int>(std::random_device{}() % static_cast<unsigned>(blocks));
    for (int i = 0; i < blocks; ++i) {
        const int port = firstPort + (first + i) % blocks * portsPerBlock;
        if (bindPort(port) >= 0) {
            return port;
        }
    }
    assert(false && "more test programs run concurrently than there are port blocks");
    return firstPort;
}

} // namespace

std::uint16_t findFreePort()
{
    static const int block = claimPortBlock();
    static int next = block;
    while (true) {
        next = next + 1 < block + portsPerBlock ? next + 1 : block + 1;
        const int descriptor = bindPort(next);
        if (descriptor >= 0) {
            close(descriptor);
            return static_cast<std::uint16_t>(next);
        }
    }
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream stream(path);
    stream << text;
    stream.close();
    assert(stream && "make the build directory writable");
}

absl::StatusOr<std::unique_ptr<Child>> Child::start(const std::vector<std::string> &command,
                                                    const std::string &outputPath)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &part : command) {
        arguments.push_back(const_cast<char *>(part.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, fileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t processId = 0;
    const int error =
            posix_spawn(&processId, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        return absl::UnavailableError(command[0] + ": " + std::strerror(error));
    }
    return std::unique_ptr<Child>(new Child(processId, outputPath));
}

Child::Child(int newProcessId, std::string newOutputPath)
    : processId(newProcessId)
    , outputPath(std::move(newOutputPath))
{}

Child::~Child()
{
    this->kill();
}

void Child::signal(int number) const
{
    // Once the process has been reaped, its id may belong to another process.
    if (!this->exitStatus) {
        ::kill(this->processId, number);
    }
}

void Child::kill()
{
    this->signal(SIGKILL);
    this->waitForExit(10s);
}

std::optional<int> Child::waitForExit(Duration timeout)
{
    const Time deadline = readBootTime() + timeout;
    while (!this->exitStatus) {
        int status = 0;
        if (waitpid(this->processId, &status, WNOHANG) == this->processId) {
            this->exitStatus =
                    WIFSIGNALED(status) ? signalStatusBase + WTERMSIG(status) : WEXITSTATUS(status);
        } else if (readBootTime() >= deadline) {
            break;
        } else {
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return this->exitStatus;
}

} // namespace kumquat
