// Many connections of callers that send raw bytes and read nothing, driven by one thread.
//
//   RawCrowd crowd(host.callers, 400);
//   crowd.sendUntilBlocked(text);
#pragma once

#include "base/address.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kumquat {

// Returns the kilobytes that lie unread in the accepted connections of a local port.
int unreadKilobytes(const Address &address);

class RawCrowd
{
public:
    RawCrowd(const Address &address, int size);
    ~RawCrowd();

    RawCrowd(const RawCrowd &) = delete;
    RawCrowd &operator=(const RawCrowd &) = delete;

    // Sends on each connection what follows of the text there, until its end or until no connection
    // accepts more.
    void sendUntilBlocked(const std::string &text);

    // Number of connections that the process has not closed, as far as sending has shown.
    int openCount() const;

private:
    struct Connection
    {
        int handle = -1; // -1: closed
        std::size_t sent = 0;
    };

    std::vector<Connection> connections;
};

} // namespace kumquat
