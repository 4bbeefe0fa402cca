// Data that the parts of the engine share: settings, replayed state, outputs, times.
// Sections: outbox, context.
#pragma once

#include "ownership/engine_types.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace kumquat {

inline constexpr Time never = Time::max();
inline constexpr Time distantPast = -24h * 365; // earlier than any time since a host's boot

// ---- outbox ----

// Identifies the subject of a record, to limit how often the record is repeated.
struct AppendKey
{
    int kind = 0;             // wire::LogRecord::BodyCase
    std::uint64_t first = 0;  // session or service hash
    std::uint64_t second = 0; // generation, epoch or target
    bool operator<(const AppendKey &other) const
    {
        return std::tie(this->kind, this->first, this->second)
               < std::tie(other.kind, other.first, other.second);
    }
};

// Collects messages and records, and limits how often a record is repeated.
class Outbox
{
public:
    EngineOutput output;

    // Returns the time from which the record may be appended or repeated.
    Time appendDue(const AppendKey &key, Duration repeat) const
    {
        const auto found = this->appended.find(key);
        return found == this->appended.end() ? distantPast : found->second + repeat;
    }

    // Appends the record, unless a record with the same key was appended within `repeat`. Returns
    // whether it was appended.
    bool append(const AppendKey &key, wire::LogRecord record, Duration repeat, Time now)
    {
        if (now < this->appendDue(key, repeat)) {
            return false;
        }
        this->appended[key] = now;
        this->output.records.push_back(std::move(record));
        return true;
    }

    // Allows immediate repeats of all records of a kind, because one of them was read and rejected.
    void allowRepeats(int kind)
    {
        std::erase_if(this->appended,
                      [kind](const auto &entry) { return entry.first.kind == kind; });
    }

    // Forgets records that were appended more than pruneAfter ago.
    void prune(Time now)
    {
        std::erase_if(this->appended,
                      [now](const auto &entry) { return entry.second + pruneAfter < now; });
    }

private:
    static constexpr Duration pruneAfter = 60s;

    std::map<AppendKey, Time> appended;
};

// ---- context ----

struct EngineContext
{
    EngineSettings settings;
    EngineHooks hooks;
    ClusterState state;
    Outbox outbox;
    Time started{0};
    Time resumed{0};        // end of the last pause of the process; initially its start
    bool answering = false; // the log service answers
    bool caughtUp = false;  // the log was read to an end queried after the start

    const LeaseTimings &timings() const { return this->settings.timings; }
    const Guards &guards() const { return this->settings.guards; }

    // Returns how long an owner uses a lease. The time is shortened by the drift bound, so that the
    // lease ends before the peer's grant even if the owner's clock is slow.
    Duration ownerLease() const
    {
        const double factor = this->guards().driftMargin ? 1.0 - this->timings().clockDrift : 1.0;
        return scale(this->timings().lease, factor);
    }

    // Returns how long a peer's grant lasts. The time is lengthened by the drift bound.
    Duration peerLease() const
    {
        const double factor = this->guards().driftMargin ? 1.0 + this->timings().clockDrift : 1.0;
        return scale(this->timings().lease, factor);
    }

    // Returns whether all grants and leases from before the restart of this node have expired.
    bool hasWaitedOneLease(Time now) const
    {
        return !this->guards().waitAfterRestart || now >= this->started + this->peerLease();
    }

    // Returns whether this node may grant and release as a peer.
    bool isPeerReady(Time now) const
    {
        return this->hasWaitedOneLease(now) && (!this->guards().readAfterRestart || this->caughtUp);
    }

    // Returns the active session of this process, or nullptr.
    const Session *ownSession() const
    {
        const Session *newest = this->state.findNode(this->settings.node);
        return newest == nullptr || newest->ended || !this->isOwn(*newest) ? nullptr : newest;
    }

    // Returns whether this process started the session; an earlier process of the node does not
    // count.
    bool isOwn(const Session &session) const
    {
        return session.node == this->settings.node
               && session.incarnation == this->settings.incarnation;
    }

    // Sends a message to a node. A node that never joined has no known address and gets nothing.
    void send(const std::string &node, wire::MeshMessage message)
    {
        const Session *newest = this->state.findNode(node);
        if (newest == nullptr || node == this->settings.node) {
            return;
        }
        message.set_from(this->settings.node);
        this->outbox.output.messages.push_back({node, newest->meshAddress, std::move(message)});
    }

    // Appends a record if the log answers and the repeat interval has passed. Returns whether it
    // was appended.
    bool append(const AppendKey &key, wire::LogRecord record, Time now)
    {
        return this->answering
               && this->outbox.append(key, std::move(record), this->timings().appendRepeatInterval,
                                      now);
    }

    // Returns when a record that is still needed may be appended, or `never` while the log is down.
    Time appendDue(const AppendKey &key) const
    {
        return this->answering ? this->outbox.appendDue(key, this->timings().appendRepeatInterval)
                               : never;
    }

private:
    static Duration scale(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }
};

} // namespace kumquat
