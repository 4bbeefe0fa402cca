// Decides which hosts count as reachable for the table writer.
//
// A lost host counts as lost until it gives a sign of life. A new connection is none: the machine
// of a frozen process still accepts connections.
//
//   reach.noteReport("node-7", now);
//   if (reach.isReachable("node-7", contact, listeningSince, now)) { ... it may get keys or vote
//   ... }
#pragma once

#include "base/time.h"

#include <map>
#include <optional>
#include <string>

namespace kumquat {

// What is known of the messages to and from a host.
struct HostContact
{
    bool isDown = false;      // LinkPool::isDown
    Time answeredAt{};        // LinkPool::lastReceivedFrom; zero: never
    bool sendsReports = true; // false: its service has another table writer
};

// Not thread-safe.
class HostReach
{
public:
    // `silenceLimit`: a host is lost after this time without an answer.
    explicit HostReach(Duration silenceLimit)
        : limit(silenceLimit)
    {}

    // Records a report that the host has sent to this one.
    void noteReport(const std::string &node, Time now) { this->contacts[node].reportedAt = now; }

    // `listeningSince`: since when this host has been the table writer, to which all hosts of the
    // service send reports, and was not paused.
    bool isReachable(const std::string &node, const HostContact &contact, Time listeningSince,
                     Time now);

private:
    struct State
    {
        Time knownSince{};
        Time reportedAt{};
        std::optional<Time> lostAt;
    };

    Duration limit;
    std::map<std::string, State> contacts; // by node
};

} // namespace kumquat
