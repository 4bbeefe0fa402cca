// Sections: parts, creation, inputs, outputs, queries.
#include "ownership/engine.h"

#include "ownership/engine_context.h"
#include "ownership/handover.h"
#include "ownership/log_follower.h"
#include "ownership/membership.h"
#include "ownership/owner_lease.h"
#include "ownership/peer_role.h"
#include "ownership/takeover.h"
#include "wire/trace.pb.h"

#include <set>
#include <utility>

namespace kumquat {

// ---- parts ----

namespace {

constexpr Duration endReadRetention = 300s; // longer than request ids are remembered

} // namespace

class OwnershipEngine::Parts
{
public:
    Parts(EngineSettings settings, EngineHooks hooks)
        : lease(context)
        , peers(context)
        , takeover(context)
        , handover(context)
        , membership(context, lease, takeover, handover)
        , follower(context)
    {
        this->context.state = ClusterState(settings.layout);
        this->context.settings = std::move(settings);
        this->context.hooks = std::move(hooks);
        const auto stoppedOwn = [this](SessionId session, Time now) {
            return this->membership.hasStoppedOwn(session, now);
        };
        this->peers.hasStoppedOwn = stoppedOwn;
        this->takeover.hasStoppedOwn = stoppedOwn;
        this->takeover.tryRelease = [this](SessionId session, Time now) {
            return this->peers.tryRelease(session, now);
        };
    }

    // Returns the time of an input, which never decreases for the parts. A long unplanned gap
    // between inputs counts as a pause of the process.
    Time beginInput(Time now)
    {
        now = std::max(now, this->lastInput);
        if (now > this->lastInput + this->context.timings().pauseThreshold + this->plannedIdle) {
            this->context.resumed = now;
        }
        this->lastInput = now;
        return now;
    }

    // Passes an input to the trace hook, if one is set.
    template <typename Fill>
    void trace(Time now, Fill fill)
    {
        if (!this->context.hooks.trace) {
            return;
        }
        wire::TraceEvent event;
        event.set_time_ns(now.count());
        fill(event);
        this->context.hooks.trace(event);
    }

    void step(Time now)
    {
        this->follower.step(now);
        this->lease.step(now);
        this->peers.step(now);
        this->takeover.step(now);
        this->handover.step(now);
        this->membership.step(now);
        this->due = this->findDue(now);
        this->plannedIdle = this->due == never ? Duration(0) : this->due - now;
    }

    void update(const ApplyResult &result, Time now)
    {
        std::set<SessionId> sessions(result.ended.begin(), result.ended.end());
        for (const SessionId session : sessions) {
            this->endReadTimes[session] = now;
        }
        sessions.insert(result.started);
        sessions.insert(result.released);
        sessions.insert(this->changedPeers);
        this->changedPeers = 0;
        this->lease.update(now);
        this->membership.update(result, now);
        for (const SessionId session : sessions) {
            this->peers.update(session, now);
        }
        this->takeover.update(result, now);
        this->handover.update(result, now);
    }

    void updateAll(Time now)
    {
        this->lease.update(now);
        this->membership.update({}, now);
        this->peers.updateAll(now);
        this->takeover.updateAll(now);
    }

    void prune(Time now)
    {
        this->context.outbox.prune(now);
        std::erase_if(this->endReadTimes,
                      [now](const auto &entry) { return entry.second + endReadRetention < now; });
    }

    EngineContext context;
    OwnerLease lease;
    PeerRole peers;
    Takeover takeover;
    HandoverSender handover;
    Membership membership;
    LogFollower follower;
    std::map<SessionId, Time> endReadTimes;
    SessionId changedPeers = 0;   // session whose peer sets the current record changes
    Time lastInput = distantPast; // time of the last input
    Duration plannedIdle{0};      // planned time from the last input to the next one
    Time due = never;
    bool hasStarted = false;

private:
    Time findDue(Time now) const
    {
        return std::min({this->lease.nextDue(now), this->peers.nextDue(now),
                         this->takeover.nextDue(now), this->handover.nextDue(),
                         this->membership.nextDue(now), this->follower.nextDue(now)});
    }
};

// ---- creation ----

absl::StatusOr<std::unique_ptr<OwnershipEngine>> OwnershipEngine::create(EngineSettings settings,
                                                                         EngineHooks hooks)
{
    if (settings.node.empty() || settings.incarnation == 0) {
        return makeError(ErrorKind::SettingsInvalid, "the engine needs a node and an incarnation");
    }
    const LeaseTimings &timings = settings.timings;
    const Duration shortestTiming =
            std::min({timings.lease, timings.renewInterval, timings.silenceTimeout,
                      timings.appendRepeatInterval, timings.resendInterval, timings.retention,
                      timings.checkpointJitter, timings.releasedStagger});
    if (shortestTiming <= Duration(0) || timings.clockDrift < 0.0 || timings.clockDrift >= 1.0) {
        return makeError(ErrorKind::SettingsInvalid,
                         "the engine needs positive timings and a drift from 0 to below 1");
    }
    if (!hooks.hasInFlight || !hooks.hasAnyInFlight || !hooks.remembered
        || !hooks.importRemembered) {
        return makeError(ErrorKind::SettingsInvalid, "the engine needs all required hooks");
    }
    auto parts = std::make_unique<Parts>(std::move(settings), std::move(hooks));
    return std::unique_ptr<OwnershipEngine>(new OwnershipEngine(std::move(parts)));
}

OwnershipEngine::OwnershipEngine(std::unique_ptr<Parts> owned)
    : parts(std::move(owned))
{}

OwnershipEngine::~OwnershipEngine() = default;

// ---- inputs ----

void OwnershipEngine::setTrace(std::function<void(const wire::TraceEvent &)> hook)
{
    this->parts->context.hooks.trace = std::move(hook);
}

void OwnershipEngine::start(Time now)
{
    Parts &p = *this->parts;
    p.trace(now, [&p](wire::TraceEvent &event) {
        event.mutable_start()->set_node(p.context.settings.node);
        event.mutable_start()->set_incarnation(p.context.settings.incarnation);
    });
    p.lastInput = now;
    p.context.started = now;
    p.context.resumed = now;
    p.hasStarted = true;
    p.step(now);
}

void OwnershipEngine::onRecord(Offset offset, const wire::LogRecord &record, Time now)
{
    Parts &p = *this->parts;
    p.trace(now, [offset, &record](wire::TraceEvent &event) {
        event.mutable_record()->set_offset(offset);
        *event.mutable_record()->mutable_record() = record;
    });
    now = p.beginInput(now);
    const LogFollower::Step step = p.follower.onRecord(offset, record, now);
    if (step.reloaded) {
        p.updateAll(now);
        if (p.context.hooks.importCrashes) {
            p.context.hooks.importCrashes(p.context.state.allCrashes());
        }
    }
    if (step.applied && step.applied->accepted) {
        p.changedPeers = record.has_peers() ? record.peers().session() : 0;
        if (record.has_peers_settled()) {
            p.changedPeers = record.peers_settled().session();
        }
        p.update(*step.applied, now);
    }
    const EngineSettings &settings = p.context.settings;
    if (step.applied && !step.applied->accepted && record.join().node() == settings.node
        && record.join().incarnation() == settings.incarnation) {
        p.context.outbox.allowRepeats(record.body_case());
    }
    p.step(now);
}

void OwnershipEngine::onLogEnd(Offset end, Time askedAt, Time now)
{
    this->parts->trace(now, [end, askedAt](wire::TraceEvent &event) {
        event.mutable_log_end()->set_end(end);
        event.mutable_log_end()->set_asked_at_ns(askedAt.count());
    });
    now = this->parts->beginInput(now);
    this->parts->follower.onLogEnd(end, askedAt);
    this->parts->step(now);
}

void OwnershipEngine::onFirstKept(Offset firstKept, Time now)
{
    this->parts->trace(now, [firstKept](wire::TraceEvent &event) {
        event.mutable_first_kept()->set_offset(firstKept);
    });
    now = this->parts->beginInput(now);
    this->parts->follower.onFirstKept(firstKept);
    this->parts->step(now);
}

void OwnershipEngine::onLogAnswering(bool answering, Time now)
{
    this->parts->trace(now, [answering](wire::TraceEvent &event) {
        event.mutable_answering()->set_answering(answering);
    });
    now = this->parts->beginInput(now);
    this->parts->follower.onAnswering(answering, now);
    this->parts->context.answering = answering;
    this->parts->step(now);
}

bool OwnershipEngine::onMessage(const wire::MeshMessage &message, Time now)
{
    Parts &p = *this->parts;
    p.trace(now, [&message](wire::TraceEvent &event) { *event.mutable_message() = message; });
    now = p.beginInput(now);
    const std::string &from = message.from();
    switch (message.body_case()) {
    case wire::MeshMessage::kRenew:
        p.peers.onRenew(from, message.renew(), now);
        break;
    case wire::MeshMessage::kGrant:
        p.lease.onGrant(from, message.grant(), now);
        break;
    case wire::MeshMessage::kSuspect:
        p.peers.onSuspect(from, message.suspect(), now);
        break;
    case wire::MeshMessage::kReleaseRequest:
        p.peers.onReleaseRequest(from, message.release_request(), now);
        break;
    case wire::MeshMessage::kReleaseReply:
        p.takeover.onReleaseReply(from, message.release_reply(), now);
        break;
    case wire::MeshMessage::kHandover:
        p.takeover.onHandover(from, message.handover(), now);
        break;
    case wire::MeshMessage::kHandoverRequest:
        p.handover.onRequest(from, message.handover_request(), now);
        break;
    case wire::MeshMessage::kHandoverAck:
        p.handover.onAck(from, message.handover_ack(), now);
        break;
    default:
        return false;
    }
    p.step(now);
    return true;
}

void OwnershipEngine::onTick(Time now)
{
    this->parts->trace(now, [](wire::TraceEvent &event) { event.mutable_tick(); });
    now = this->parts->beginInput(now);
    this->parts->prune(now);
    this->parts->step(now);
}

void OwnershipEngine::setUpstream(const std::optional<UpstreamInfo> &upstream, Time now)
{
    this->parts->trace(now, [&upstream](wire::TraceEvent &event) {
        const UpstreamInfo known = upstream.value_or(UpstreamInfo());
        event.mutable_upstream()->set_service(known.service);
        event.mutable_upstream()->set_checks_grants(known.checksGrants);
    });
    now = this->parts->beginInput(now);
    this->parts->membership.setUpstream(upstream);
    this->parts->step(now);
}

void OwnershipEngine::requestDrain(Time now)
{
    this->parts->trace(now, [](wire::TraceEvent &event) { event.mutable_drain(); });
    now = this->parts->beginInput(now);
    this->parts->membership.requestDrain(now);
    this->parts->step(now);
}

void OwnershipEngine::requestMove(const std::vector<Slot> &slots, SessionId target, Time now)
{
    this->parts->trace(now, [&slots, target](wire::TraceEvent &event) {
        event.mutable_move()->mutable_slots()->Add(slots.begin(), slots.end());
        event.mutable_move()->set_target(target);
    });
    now = this->parts->beginInput(now);
    this->parts->membership.requestMove(slots, target, now);
    this->parts->step(now);
}

void OwnershipEngine::requestBind(std::uint64_t keyHash, Time now)
{
    this->parts->trace(now, [keyHash](wire::TraceEvent &event) {
        event.mutable_bind()->set_key_hash(keyHash);
    });
    now = this->parts->beginInput(now);
    this->parts->membership.requestBind(keyHash, now);
    this->parts->step(now);
}

void OwnershipEngine::requestUnbind(std::uint64_t keyHash, Time now)
{
    this->parts->trace(now, [keyHash](wire::TraceEvent &event) {
        event.mutable_bind()->set_key_hash(keyHash);
        event.mutable_bind()->set_unbind(true);
    });
    now = this->parts->beginInput(now);
    this->parts->membership.requestUnbind(keyHash, now);
    this->parts->step(now);
}

void OwnershipEngine::setJournalComplete(std::string_view peer, std::uint64_t incarnation, Time now)
{
    this->parts->trace(now, [peer, incarnation](wire::TraceEvent &event) {
        event.mutable_journal()->set_peer(std::string(peer));
        event.mutable_journal()->set_incarnation(incarnation);
    });
    now = this->parts->beginInput(now);
    this->parts->lease.setJournalComplete(std::string(peer), incarnation);
    this->parts->step(now);
}

// ---- outputs ----

EngineOutput OwnershipEngine::takeOutput()
{
    return std::exchange(this->parts->context.outbox.output, {});
}

std::optional<Time> OwnershipEngine::nextDue() const
{
    if (!this->parts->hasStarted || this->parts->due == never) {
        return std::nullopt;
    }
    return this->parts->due;
}

Offset OwnershipEngine::nextOffset() const
{
    return this->parts->follower.nextOffset();
}

// ---- queries ----

ServeAnswer OwnershipEngine::mayServe(std::string_view service, std::uint64_t keyHash,
                                      Time now) const
{
    const Parts &p = *this->parts;
    ServeAnswer answer;
    answer.error = ErrorKind::NoOwner;
    const auto view = p.context.state.find(service, keyHash);
    if (!view || view->owner == nullptr) {
        return answer;
    }
    answer.slot = view->slot;
    answer.epoch = view->state->epoch;
    const bool own = view->owner->id == p.lease.currentSession();
    if (!own) {
        answer.error = ErrorKind::NotOwner;
        return answer;
    }
    answer.leaseEnd = p.lease.leaseEnd(now);
    answer.waiting =
            !p.takeover.isSettled(view->slot, view->state->epoch) || now >= answer.leaseEnd;
    if (p.membership.refusesRequests(now)) {
        answer.error = ErrorKind::Draining;
    } else if (!answer.waiting) {
        answer.error = ErrorKind::None;
    }
    return answer;
}

RouteAnswer OwnershipEngine::route(std::string_view service, std::uint64_t keyHash) const
{
    RouteAnswer answer;
    const auto view = this->cluster().find(service, keyHash);
    if (!view) {
        return answer;
    }
    answer.slot = view->slot;
    answer.epoch = view->state->epoch;
    if (view->owner != nullptr) {
        answer.node = view->owner->node;
        answer.meshAddress = view->owner->meshAddress;
        answer.session = view->owner->id;
        answer.own = view->owner->id == this->parts->lease.currentSession();
    }
    return answer;
}

Time OwnershipEngine::leaseEnd(Time now) const
{
    return this->parts->lease.leaseEnd(now);
}

bool OwnershipEngine::hasReleased(SessionId session) const
{
    return this->parts->peers.hasReleased(session);
}

OwnSession OwnershipEngine::ownSession() const
{
    OwnSession own;
    const Session *session = this->cluster().findSession(this->parts->lease.currentSession());
    if (session == nullptr) {
        return own;
    }
    own.session = session->id;
    own.generation = session->generation;
    own.sets = session->peerSets;
    for (const std::string &peer : session->peerSets.back().peers) {
        PeerView view;
        view.node = peer;
        const Session *newest = this->cluster().findNode(peer);
        view.meshAddress = newest == nullptr ? "" : newest->meshAddress;
        view.incarnation = this->parts->lease.incarnationOf(peer);
        view.journalComplete = this->parts->lease.isJournalComplete(peer);
        own.peers.push_back(std::move(view));
    }
    return own;
}

std::optional<Time> OwnershipEngine::endReadAt(SessionId session) const
{
    const auto found = this->parts->endReadTimes.find(session);
    if (found != this->parts->endReadTimes.end()) {
        return found->second;
    }
    const Session *known = this->cluster().findSession(session);
    if (known != nullptr && !known->ended) {
        return std::nullopt;
    }
    return this->parts->context.started;
}

std::vector<SessionId> OwnershipEngine::journalSessions(std::string_view service, Slot slot) const
{
    const Session *own = this->parts->context.ownSession();
    if (own == nullptr || own->service != service) {
        return {};
    }
    return this->parts->takeover.journalSessions(slot);
}

bool OwnershipEngine::isDraining() const
{
    return this->parts->membership.isDraining();
}

bool OwnershipEngine::isDrained() const
{
    return this->parts->membership.isDrained();
}

bool OwnershipEngine::hasCaughtUp() const
{
    return this->parts->context.caughtUp;
}

bool OwnershipEngine::lacksHistory() const
{
    return this->parts->follower.lacksHistory();
}

const ClusterState &OwnershipEngine::cluster() const
{
    return this->parts->context.state;
}

} // namespace kumquat
