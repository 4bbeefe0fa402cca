#include "net/socket_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <chrono>

namespace kumquat {

Duration timeSinceLastArrival(int socket)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return Duration::zero();
    }
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

std::size_t unacknowledgedBytes(int socket)
{
    int bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void setReceiveBuffer(int socket, std::size_t bytes)
{
    const int size = static_cast<int>(bytes);
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

void growReceiveWindow(int socket, std::size_t bytes)
{
    // A connection that was made with a small buffer keeps its window otherwise.
    const int size = static_cast<int>(bytes);
    setsockopt(socket, IPPROTO_TCP, TCP_WINDOW_CLAMP, &size, sizeof(size));
    setReceiveBuffer(socket, bytes);
}

} // namespace kumquat
