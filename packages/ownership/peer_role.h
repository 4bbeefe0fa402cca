// The role of a node as a peer of other sessions: grants leases, suspects and fences silent
// sessions, and releases ended ones.
#pragma once

#include "ownership/engine_context.h"

#include <map>
#include <set>
#include <string>

namespace kumquat {

// Part of one engine; engine.h states the rules for times and threads.
class PeerRole
{
public:
    explicit PeerRole(EngineContext &shared)
        : context(shared)
    {}

    // Processes a record that changed this session.
    void update(SessionId session, Time now);

    // Rebuilds all watches after a checkpoint replaced the state.
    void updateAll(Time now);

    void onRenew(const std::string &from, const wire::Renew &renew, Time now);
    void onSuspect(const std::string &from, const wire::Suspect &suspect, Time now);

    // Answers at once if the session can be released, or else as soon as it can be.
    void onReleaseRequest(const std::string &from, const wire::ReleaseRequest &request, Time now);

    // Releases a session of another node, as its peer, if this is allowed now. Returns whether the
    // session is released.
    bool tryRelease(SessionId session, Time now);

    bool hasReleased(SessionId session) const;

    void step(Time now);
    Time nextDue(Time now) const;

    // Returns whether a session of this node has stopped serving. Set by the engine.
    std::function<bool(SessionId session, Time now)> hasStoppedOwn;

private:
    // A session that this node is a peer of, or a session of this node itself.
    struct Watch
    {
        Time since{0};                        // when this node read that it is a peer
        Time lastRenew = distantPast;         // received last
        Time grantUntil = distantPast;        // end of the newest grant
        Time lastSuspect = distantPast;       // sent last
        std::map<std::string, Time> suspects; // time of the last Suspect, by sender
        Time fenceDue = never;
        std::set<std::string> requesters; // nodes that wait for the release
        bool active = false;
    };

    Time suspicionStart(const Watch &watch) const;
    bool isPeerOf(const Session &session) const;
    void sendSuspect(const Session &session, Watch &watch, Time now);
    Time findFenceTime(const Session &session, const Watch &watch, Time now) const;
    void appendFence(Time now);
    void sendReleaseReply(const std::string &to, SessionId session, bool released);
    void answerRequesters(SessionId session, Watch &watch, Time now);

    EngineContext &context;
    std::map<SessionId, Watch> watches;
    std::set<SessionId> releasedSessions;
};

} // namespace kumquat
