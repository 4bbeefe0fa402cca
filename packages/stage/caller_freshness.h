// Tracks, for each connection from another process, up to which time this process knows about every
// caller that disconnected there. Messages on a connection arrive in the order in which they were
// sent. A message with a given send time therefore arrives after the cancellations for all
// disconnects that the other host had detected by then.
//
//   freshness.note(connection, sentAt); // on any message
//   if (freshness.age(connection, now) > limit) { ... a caller may have disconnected ... }
//   if (freshness.takeProbe(connection, now)) { ... send a ping ... }
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace kumquat {

struct CallerFreshnessSettings
{
    // Between two probes on one connection; longer than a round trip between regions.
    Duration probeInterval = 100ms;
    // After this process was paused for longer than this, replies may still be unread, so the count
    // of unanswered probes starts again.
    Duration pause = 300ms;
};

// Not thread-safe.
class CallerFreshness
{
public:
    explicit CallerFreshness(CallerFreshnessSettings freshnessSettings = {})
        : settings(freshnessSettings)
    {}

    // Records a message. `sentAt`: its time of receipt by the clock of this process, minus its
    // excess delay (LinkMessage::excessDelay). Call it only for processes that answer probes.
    void note(std::uint64_t connection, Time sentAt)
    {
        Connection &known = this->connections[connection];
        known.knownUntil = std::max(known.knownUntil, sentAt);
        known.unanswered = 0;
    }

    void noteClosed(std::uint64_t connection) { this->connections.erase(connection); }

    // Returns the time since `sentAt` of the newest message on a connection; zero for a connection
    // that cannot be probed.
    Duration age(std::uint64_t connection, Time now) const
    {
        const auto found = this->connections.find(connection);
        if (found == this->connections.end()) {
            return Duration::zero();
        }
        return std::max(now - found->second.knownUntil, Duration::zero());
    }

    // Returns whether to send a probe now, and records it as sent.
    bool takeProbe(std::uint64_t connection, Time now)
    {
        const auto found = this->connections.find(connection);
        if (found == this->connections.end()
            || now - found->second.probedAt < this->settings.probeInterval) {
            return false;
        }
        found->second.probedAt = now;
        ++found->second.unanswered;
        return true;
    }

    // Returns whether several probes in a row had no reply, which tells a silent peer from an idle
    // connection.
    bool isSilent(std::uint64_t connection) const
    {
        constexpr int maxUnanswered = 3;
        const auto found = this->connections.find(connection);
        return found != this->connections.end() && found->second.unanswered >= maxUnanswered;
    }

    // Call every 50 ms. After a pause of this process the messages of other processes are still
    // unread.
    void advance(Time now)
    {
        const bool wasPaused = now - this->advancedAt > this->settings.pause;
        this->advancedAt = now;
        if (!wasPaused) {
            return;
        }
        for (auto &[number, connection] : this->connections) {
            connection.unanswered = 0;
        }
    }

private:
    struct Connection
    {
        Time knownUntil{};
        Time probedAt{};
        int unanswered = 0; // probes since the last message
    };

    CallerFreshnessSettings settings;
    Time advancedAt{};
    std::unordered_map<std::uint64_t, Connection> connections; // by number
};

} // namespace kumquat
