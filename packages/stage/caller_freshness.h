// Knows for each connection of another process up to when this process has heard of all callers
// that left there. Messages of a connection come in the order in which they were sent, so one that
// was sent at a time brings the cancellations for all closes that its host had noticed by then.
//
//   freshness.note(connection, sentAt); // any message came
//   if (freshness.age(connection, now) > limit) { ... a caller may have left ... }
//   if (freshness.takeProbe(connection, now)) { ... send a ping ... }
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace kumquat {

struct CallerFreshnessSettings
{
    // Between two questions on one connection; a round trip between regions fits in.
    Duration probeInterval = 100ms;
    // A pause of this process after which answers may lie unread: questions count anew.
    Duration pause = 300ms;
};

// Not thread-safe.
class CallerFreshness
{
public:
    explicit CallerFreshness(CallerFreshnessSettings freshnessSettings = {})
        : settings(freshnessSettings)
    {}

    // Takes a message that was sent at `sentAt`, by this process's clock and without the usual time
    // on the way. Only of processes that answer questions.
    void note(std::uint64_t connection, Time sentAt)
    {
        Connection &known = this->connections[connection];
        known.knownUntil = std::max(known.knownUntil, sentAt);
        known.unanswered = 0;
    }

    void noteClosed(std::uint64_t connection) { this->connections.erase(connection); }

    // Returns for how long nothing is known of the callers of a connection; zero for one that can't
    // be asked.
    Duration age(std::uint64_t connection, Time now) const
    {
        const auto found = this->connections.find(connection);
        if (found == this->connections.end()) {
            return Duration::zero();
        }
        return std::max(now - found->second.knownUntil, Duration::zero());
    }

    // Says whether to send a question now, and counts it as sent.
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

    // Says whether several questions in a row had no answer, so that silence is not only quiet.
    bool isSilent(std::uint64_t connection) const
    {
        constexpr int maxUnanswered = 3;
        const auto found = this->connections.find(connection);
        return found != this->connections.end() && found->second.unanswered >= maxUnanswered;
    }

    // Call every 50 ms. After a pause of this process the messages of others still lie unread.
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
        int unanswered = 0; // questions since the last message
    };

    CallerFreshnessSettings settings;
    Time advancedAt{};
    std::unordered_map<std::uint64_t, Connection> connections; // by number
};

} // namespace kumquat
