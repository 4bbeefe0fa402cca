// Child processes of the process tests.
//
//   auto child = Child::start({"build/bin/kumquatstage", "--config", "a.json"}, "a.log").value();
//   child->signal(SIGTERM);
//   std::optional<int> status = child->waitForExit(5s);
#pragma once

#include "base/time.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// Returns a loopback port that is currently free. The port is below the range that the system uses
// for outgoing connections, so that it is still free when the child process binds it.
std::uint16_t findFreePort();

// Returns the content of a file, empty if it cannot be read.
std::string readFile(const std::string &path);

// Writes a file. Aborts if that fails.
void writeFile(const std::string &path, const std::string &text);

// One child process. The destructor kills and reaps it.
class Child
{
public:
    // Starts a program; its standard output and error are appended to the file.
    static absl::StatusOr<std::unique_ptr<Child>> start(const std::vector<std::string> &command,
                                                        const std::string &outputPath);
    ~Child();

    Child(const Child &) = delete;
    Child &operator=(const Child &) = delete;

    void signal(int number) const;

    // Sends SIGKILL and waits up to 10 s for the process to end.
    void kill();

    // Waits for the process to end. Returns the exit status, 128 + signal if a signal ended the
    // process, or nothing if it still runs after the timeout.
    std::optional<int> waitForExit(Duration timeout);

    bool isRunning() { return !this->waitForExit(Duration::zero()); }
    int id() const { return this->processId; }
    std::string output() const { return readFile(this->outputPath); }

private:
    Child(int newProcessId, std::string newOutputPath);

    int processId = 0;
    std::string outputPath;
    std::optional<int> exitStatus;
};

} // namespace kumquat
