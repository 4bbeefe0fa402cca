#include "raw_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <string>

namespace kumquat {
namespace {

constexpr Duration sendTimeout = 200ms; // of one call, then the caller checks for the end

} // namespace

int kilobytesOf(int megabytes)
{
    constexpr int bytesPerMegabyte = 1'000'000;
    return megabytes * (bytesPerMegabyte / 1024);
}

int peakKilobytes(const Child &process)
{
    std::istringstream status(readFile("/proc/" + std::to_string(process.id()) + "/status"));
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::atoi(line.c_str() + name.size());
        }
    }
    return -1;
}

int countDescriptors(const Child &process)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(
            "/proc/" + std::to_string(process.id()) + "/fd", error);
    return error ? 0 : static_cast<int>(std::distance(begin(entries), end(entries)));
}

RawCaller::RawCaller(const Address &address, const std::atomic<bool> &isOver,
                     RawCallerOptions options)
    : over(isOver)
    , handle(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    constexpr int microseconds = 200'000;
    const timeval limit{.tv_sec = 0, .tv_usec = microseconds};
    static_assert(sendTimeout == std::chrono::microseconds(microseconds));
    setsockopt(this->handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (options.receiveBytes > 0) { // takes effect only before the connection is made
        setsockopt(this->handle, SOL_SOCKET, SO_RCVBUF, &options.receiveBytes,
                   sizeof(options.receiveBytes));
    }
    this->isOpen =
            connect(this->handle, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0;
}

RawCaller::~RawCaller()
{
    close(this->handle);
}

void RawCaller::send(std::string_view text)
{
    while (this->isOpen && !this->over && !text.empty()) {
        const ssize_t sent = ::send(this->handle, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            continue;
        }
        this->isOpen = sent > 0;
        text.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
    }
}

} // namespace kumquat
