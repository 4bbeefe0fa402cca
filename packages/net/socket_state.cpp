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

} // namespace kumquat
