#include "raw_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <fstream>
#include <sstream>

namespace kumquat {

int unreadKilobytes(const Address &address)
{
    constexpr int hex = 16;
    constexpr std::uint64_t kilobyte = 1024;
    const std::string established = "01";
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // the names of the columns
    std::uint64_t bytes = 0;
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // unsent and unread bytes
        columns >> number >> local >> remote >> state >> queues;
        const auto port = std::stoul(local.substr(local.find(':') + 1), nullptr, hex);
        if (port == address.port && state == established) {
            bytes += std::stoull(queues.substr(queues.find(':') + 1), nullptr, hex);
        }
    }
    return static_cast<int>(bytes / kilobyte);
}

RawCrowd::RawCrowd(const Address &address, int size)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    for (int i = 0; i < size; ++i) {
        const int handle = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(handle, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0) {
            this->connections.push_back({.handle = handle});
        } else {
            close(handle);
        }
    }
}

RawCrowd::~RawCrowd()
{
    for (const Connection &connection : this->connections) {
        if (connection.handle >= 0) {
            close(connection.handle);
        }
    }
}

void RawCrowd::sendUntilBlocked(const std::string &text)
{
    bool hasSent = true;
    while (hasSent) {
        hasSent = false;
        for (Connection &connection : this->connections) {
            if (connection.handle < 0 || connection.sent == text.size()) {
                continue;
            }
            const ssize_t count = send(connection.handle, text.data() + connection.sent,
                                       text.size() - connection.sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                connection.sent += static_cast<std::size_t>(count);
                hasSent = true;
            } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
                close(connection.handle);
                connection.handle = -1;
            }
        }
    }
}

int RawCrowd::openCount() const
{
    return static_cast<int>(
            std::count_if(this->connections.begin(), this->connections.end(),
                          [](const Connection &connection) { return connection.handle >= 0; }));
}

} // namespace kumquat
