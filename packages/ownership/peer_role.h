// What a node does as a peer of others: grants, suspicion, fences and releases.
#pragma once

#include "ownership/engine_context.h"

#include <map>
#include <set>
#include <string>

namespace kumquat {

// Belongs to one engine; see engine.h for times and threads.
class PeerRole
{
public:
    explicit PeerRole(EngineContext &shared)
        : context(shared)
    {}

    // Follows the state after a record that changed this session.
    void update(SessionId session, Time now);

    // Follows a state that was replaced by a checkpoint.
    void updateAll(Time now);

    void onRenew(const std::string &from, const wire::Renew &renew, Time now);
    void onSuspect(const std::string &from, const wire::Suspect &suspect, Time now);

    // Answers at once if the session can be released, else when it can.
    void onReleaseRequest(const std::string &from, const wire::ReleaseRequest &request, Time now);

    // Releases a session of another node as its peer, if that is allowed now.
    bool tryRelease(SessionId session, Time now);

    bool hasReleased(SessionId session) const;

    void step(Time now);
    Time nextDue(Time now) const;

    // Called when another node asks about a session of this node; set by the engine.
    std::function<bool(SessionId session, Time now)> hasStoppedOwn;

private:
    struct Watch
    {
        Time since{0};                        // this node was read to be a peer
        Time lastRenew = longAgo;             // received
        Time grantUntil = longAgo;            // end of the newest grant
        Time lastSuspect = longAgo;           // sent
        std::map<std::string, Time> suspects; // received, by sender
        Time fenceDue = never;
        std::set<std::string> requesters; // wait for the release
        bool live = false;
    };

    Time silenceEnd(const Watch &watch) const;
    bool isListed(const Session &session) const;
    void suspect(const Session &session, Watch &watch, Time now);
    Time fenceTime(const Session &session, const Watch &watch, Time now) const;
    void fence(Time now);
    void reply(const std::string &to, SessionId session, bool released);
    void answerRequesters(SessionId session, Watch &watch, Time now);

    EngineContext &context;
    std::map<SessionId, Watch> watches;
    std::set<SessionId> releasedSessions;
};

} // namespace kumquat
