// Implements planKeyTable.
//
// Sections: planner, sessions, ranges, balance.
#include "keyspace/range_planner.h"

#include "keyspace/balance_moves.h"
#include "keyspace/evacuation_moves.h"
#include "keyspace/key_weights.h"
#include "keyspace/span_distribution.h"
#include "keyspace/voter_choice.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kumquat {
namespace {

// ---- Planner ----

class Planner
{
public:
    Planner(const PlanInput &planInput, const PlannerSettings &plannerSettings)
        : input(planInput)
        , settings(plannerSettings)
        , next(*planInput.table)
        , weights(planInput.load->rates(planInput.now), this->assumedKeyRate())
        , usualServiceSeconds(this->medianServiceSeconds())
        , mayEnd(this->mayEndSilent())
    {}

    std::optional<KeyTable> plan()
    {
        this->endSessions();
        this->admitSessions();
        this->markLeaving();
        this->moveFromLeaving();
        this->moveFromEvacuated();
        this->assignUnownedRanges();
        if (this->input.mayBalance) {
            this->balance();
        }
        this->chooseVoters();
        if (!this->hasChanged) {
            return std::nullopt;
        }
        this->dropSettledPredecessors();
        this->removeStoppedSessions();
        this->next.writer = this->input.node;
        this->next.end = this->input.newEnd;
        return std::move(this->next);
    }

private:
    // Sessions.
    void endSessions();
    void endSession(KeySession &session, bool isStopped);
    bool mayEndSilent() const;
    void admitSessions();
    void markLeaving();
    void chooseVoters();
    void removeStoppedSessions();

    // Ranges.
    void moveFromLeaving();
    void moveFromEvacuated();
    void moveSpan(const KeyMove &move);
    void assignUnownedRanges();
    void distribute(const std::vector<KeySpan> &spans);
    void assign(KeyRange &range, std::uint64_t owner);
    void dropSettledPredecessors();
    bool isSettled(const KeyRange &range) const;
    std::vector<Candidate> candidates() const;
    std::size_t maxFillMoves(std::size_t sessions) const;

    // Balance.
    void balance();
    double maxRateOf(std::uint64_t receiver) const;

    double assumedKeyRate() const;
    double medianServiceSeconds() const;
    double serviceSecondsOf(const KeySession &session) const;
    const SessionReport *report(std::uint64_t session) const;

    const PlanInput &input;
    const PlannerSettings &settings;
    KeyTable next;
    KeyWeights weights;
    double usualServiceSeconds; // of the sessions with a known service time
    bool mayEnd; // silent sessions may be ended, and lost voters may be left without replacement
    bool hasChanged = false;
    std::set<std::uint64_t> evacuated; // sessions that leave only because of an evacuation
};

// Returns the request rate to assume for a key without requests.
double Planner::assumedKeyRate() const
{
    double slots = 0;
    for (const KeySession &session : this->input.table->sessions) {
        slots += session.isActive() ? session.slots : 0;
    }
    const double rate = std::max(1.0, slots) * this->settings.assumedUtilisation
                        / this->settings.assumedServiceSeconds;
    return rate / (lastShardKey + 1.0);
}

double Planner::medianServiceSeconds() const
{
    std::vector<double> known;
    for (const KeySession &session : this->input.table->sessions) {
        const SessionReport *found = session.isActive() ? this->report(session.id) : nullptr;
        if (found != nullptr && found->serviceSeconds > 0) {
            known.push_back(found->serviceSeconds);
        }
    }
    return known.empty() ? this->settings.assumedServiceSeconds : medianOf(std::move(known));
}

// A session without requests counts as fast as the others. If it counted as much slower, it could
// be left with so few keys that no request ever shows its service time.
double Planner::serviceSecondsOf(const KeySession &session) const
{
    const SessionReport *found = this->report(session.id);
    if (found != nullptr && found->serviceSeconds > 0) {
        return found->serviceSeconds;
    }
    // The host of a cold upstream has computed its usable slots with the assumed service time.
    const bool isLimited =
            usableSlotsOf(findHost(this->input.hosts, session.node), session) < session.slots;
    return isLimited ? this->settings.assumedServiceSeconds : this->usualServiceSeconds;
}

const SessionReport *Planner::report(std::uint64_t session) const
{
    const auto found = this->input.reports.find(session);
    return found == this->input.reports.end() ? nullptr : &found->second;
}

// ---- Sessions ----

// Returns whether silent sessions may be ended. If most sessions are silent, the planner waits
// longer: this host may be the one that is cut off, and lost hosts usually return soon.
bool Planner::mayEndSilent() const
{
    std::size_t active = 0;
    std::size_t heard = 0;
    for (const KeySession &session : this->next.sessions) {
        const SessionReport *found = this->report(session.id);
        active += session.isActive() ? 1 : 0;
        heard += session.isActive() && found != nullptr && found->wasHeard
                                 && found->silence < this->settings.endAfter / 2
                         ? 1
                         : 0;
    }
    const Duration wait =
            heard * 2 >= active ? this->settings.endAfter : this->settings.endAfterMassLoss;
    return this->input.planningFor >= wait;
}

void Planner::endSessions()
{
    for (KeySession &session : this->next.sessions) {
        if (!session.isActive()) {
            continue;
        }
        // Only the host itself grants keys to its upstream, so its report proves that the session
        // has stopped. The host's record in the store is no proof: an older record may be appended
        // late.
        const SessionReport *found = this->report(session.id);
        if (found != nullptr && found->isRetired) {
            this->endSession(session, true);
            continue;
        }
        // A host can report its session only after it has read the table that admitted the session,
        // so a session without a report is not silent.
        const bool isSilent = found != nullptr && found->silence >= this->settings.endAfter;
        const bool isOwn = session.node == this->input.node;
        if (this->mayEnd && !isOwn && isSilent) {
            this->endSession(session, false);
        }
    }
}

void Planner::endSession(KeySession &session, bool isStopped)
{
    session.endedAt = this->input.newEnd;
    session.stopped = isStopped;
    this->hasChanged = true;
}

void Planner::admitSessions()
{
    std::uint64_t index = 0;
    for (const HostInfo &info : this->input.hosts) {
        const bool isCandidate = info.service == this->next.service && info.isReachable
                                 && info.phase == UpstreamPhase::Ready && info.instance.isKnown();
        if (!isCandidate || this->next.activeSessionOf(info.node) != nullptr) {
            continue;
        }
        constexpr std::uint64_t maxAdmissions = 4096; // per record; keeps session ids unique
        KeySession session{.id = this->input.newEnd * maxAdmissions + index++,
                           .node = info.node,
                           .instance = info.instance,
                           .slots = std::max(1U, info.slots)};
        this->next.sessions.push_back(std::move(session));
        this->hasChanged = true;
    }
}

void Planner::markLeaving()
{
    for (KeySession &session : this->next.sessions) {
        const HostInfo *info = findHost(this->input.hosts, session.node);
        const SessionReport *found = this->report(session.id);
        const bool drains = info != nullptr && info->instance == session.instance
                            && info->phase == UpstreamPhase::Draining;
        const bool stops = found != nullptr && (found->isStopping || found->isFailing);
        const bool isEvacuated = session.isActive() && info != nullptr && info->isEvacuated;
        const bool leaves = session.isActive() && (drains || stops || isEvacuated);
        if (isEvacuated && !drains && !stops) {
            this->evacuated.insert(session.id);
        }
        if (session.isActive() && session.leaving != leaves) {
            session.leaving = leaves;
            this->hasChanged = true;
        }
    }
}

void Planner::chooseVoters()
{
    const VoterInput voterInput{
            .hosts = this->input.hosts, .count = this->settings.voters, .mayEnd = this->mayEnd};
    for (KeySession &session : this->next.sessions) {
        if (!session.isActive()) {
            continue;
        }
        const SessionReport *found = this->report(session.id);
        const bool usesVoters = found != nullptr && found->votersEnd >= this->input.table->end;
        const bool isNew = this->input.table->session(session.id) == nullptr;
        const bool mustWrite = updateVoters(session, usesVoters, isNew, voterInput);
        this->hasChanged = this->hasChanged || mustWrite;
    }
}

void Planner::removeStoppedSessions()
{
    for (KeySession &session : this->next.sessions) {
        // An ended session counts as stopped once no range refers to it.
        const bool isReferenced = std::any_of(
                this->next.ranges.begin(), this->next.ranges.end(), [&](const KeyRange &range) {
                    return range.owner == session.id
                           || std::any_of(range.predecessors.begin(), range.predecessors.end(),
                                          [&](const FormerOwner &predecessor) {
                                              return predecessor.session == session.id;
                                          });
                });
        session.stopped = session.stopped || (!session.isActive() && !isReferenced);
    }
    for (KeyRange &range : this->next.ranges) {
        std::erase_if(range.predecessors, [&](const FormerOwner &predecessor) {
            const KeySession *session = this->next.session(predecessor.session);
            return session == nullptr || session->stopped;
        });
    }
    std::erase_if(this->next.sessions, [&](const KeySession &session) {
        const bool owns =
                std::any_of(this->next.ranges.begin(), this->next.ranges.end(),
                            [&](const KeyRange &range) { return range.owner == session.id; });
        return session.stopped && !owns;
    });
}

// ---- Ranges ----

std::vector<Candidate> Planner::candidates() const
{
    std::vector<Candidate> result;
    for (const KeySession &session : this->next.sessions) {
        const SessionReport *found = this->report(session.id);
        const bool isSuspect = found != nullptr && found->silence >= this->settings.suspectAfter;
        if (!session.isActive() || session.leaving || isSuspect) {
            continue;
        }
        const double slots = usableSlotsOf(findHost(this->input.hosts, session.node), session);
        Candidate candidate{.session = session.id,
                            .capacity = slots / this->serviceSecondsOf(session)};
        for (const KeyRange &range : this->next.ranges) {
            candidate.rate += range.owner == session.id ? this->weights.rateOf(range.span) : 0;
        }
        result.push_back(candidate);
    }
    return result;
}

// Returns whether no predecessor may hold the range any more, as reported by the owner's host.
bool Planner::isSettled(const KeyRange &range) const
{
    const SessionReport *found = this->report(range.owner);
    return range.predecessors.empty()
           || (found != nullptr && found->tablesEnd >= range.fence
               && std::find(found->unsettled.begin(), found->unsettled.end(), range.fence)
                          == found->unsettled.end());
}

// Gives a range to a new owner; the previous owner becomes a predecessor.
void Planner::assign(KeyRange &range, std::uint64_t owner)
{
    const KeySession *previous = this->next.session(range.owner);
    if (this->isSettled(range)) {
        range.predecessors.clear();
    }
    if (previous != nullptr && !previous->stopped) {
        range.predecessors.push_back({.session = previous->id, .fence = range.fence});
    }
    range.owner = owner;
    range.fence = this->input.newEnd;
    this->hasChanged = true;
}

void Planner::dropSettledPredecessors()
{
    for (KeyRange &range : this->next.ranges) {
        if (range.fence != this->input.newEnd && this->isSettled(range)) {
            range.predecessors.clear();
        }
    }
}

void Planner::moveFromLeaving()
{
    std::vector<KeySpan> spans;
    for (const KeyRange &range : this->next.ranges) {
        const KeySession *owner = this->next.session(range.owner);
        if (owner != nullptr && owner->isActive() && owner->leaving
            && !this->evacuated.contains(owner->id)) {
            spans.push_back(range.span);
        }
    }
    this->distribute(spans);
}

void Planner::moveFromEvacuated()
{
    const std::vector<Candidate> receivers = this->candidates();
    const auto moves = chooseEvacuationMoves(
            {.table = this->next,
             .weights = this->weights,
             .evacuated = this->evacuated,
             .receivers = receivers,
             .maxMoves = this->maxFillMoves(receivers.size()),
             .isSettled = [this](const KeyRange &range) { return this->isSettled(range); }});
    for (const KeyMove &move : moves) {
        this->moveSpan(move);
    }
}

// Gives keys of one range to a new owner.
void Planner::moveSpan(const KeyMove &move)
{
    const KeySpan &span = move.span;
    this->next.splitBefore(span.first);
    if (span.last < lastShardKey) {
        this->next.splitBefore(span.last + 1);
    }
    auto range = std::partition_point(
            this->next.ranges.begin(), this->next.ranges.end(),
            [&span](const KeyRange &other) { return other.span.first < span.first; });
    for (; range != this->next.ranges.end() && span.contains(range->span); ++range) {
        this->assign(*range, move.receiver);
    }
}

void Planner::assignUnownedRanges()
{
    std::vector<KeySpan> spans;
    std::uint32_t keys = 0;
    for (const KeyRange &range : this->next.ranges) {
        const KeySession *owner = this->next.session(range.owner);
        if (owner == nullptr || !owner->isActive()) {
            spans.push_back(range.span);
            keys += range.span.size();
        }
    }
    const bool isMassLoss = keys > this->settings.massLossShare * (lastShardKey + 1);
    if (isMassLoss && this->input.hostsSteadyFor < this->settings.massLossWait) {
        return;
    }
    this->distribute(spans);
}

void Planner::distribute(const std::vector<KeySpan> &spans)
{
    for (const KeyMove &move : distributeSpans(spans, this->candidates(), this->weights)) {
        this->moveSpan(move);
    }
}

// ---- Balance ----

std::size_t Planner::maxFillMoves(std::size_t sessions) const
{
    return std::max(this->settings.maxMovesPerPlan, sessions / this->settings.sessionsPerFillMove);
}

void Planner::balance()
{
    const std::size_t sessions = this->candidates().size();
    const std::size_t maxFill = this->maxFillMoves(sessions);
    const std::size_t maxMoves =
            std::max(maxFill, std::min(sessions, this->settings.maxOverloadMoves));
    for (std::size_t move = 0; move < maxMoves; ++move) {
        const std::optional<KeyMove> chosen = chooseBalanceMove(
                {.table = this->next,
                 .weights = this->weights,
                 .settings = this->settings,
                 .newEnd = this->input.newEnd,
                 .sessions = this->candidates(),
                 .earlierMoves = move,
                 .maxFillMoves = maxFill,
                 .isSettled = [this](const KeyRange &range) { return this->isSettled(range); },
                 .maxRateOf = [this](std::uint64_t session) { return this->maxRateOf(session); }});
        if (!chosen) {
            return;
        }
        this->moveSpan(*chosen);
    }
}

// Returns the load that the session may get in one move.
double Planner::maxRateOf(std::uint64_t receiver) const
{
    const HostInfo *info = findHost(this->input.hosts, this->next.session(receiver)->node);
    const std::uint32_t keys = info != nullptr && info->isReturning
                                       ? returningKeys(this->candidates().size())
                                       : lastShardKey + 1;
    return this->weights.rateOf(allKeys) * keys / (lastShardKey + 1);
}

} // namespace

const HostInfo *findHost(const std::vector<HostInfo> &hosts, std::string_view node)
{
    const auto found = std::find_if(hosts.begin(), hosts.end(),
                                    [node](const HostInfo &info) { return info.node == node; });
    return found == hosts.end() ? nullptr : &*found;
}

std::optional<KeyTable> planKeyTable(const PlanInput &input, const PlannerSettings &settings)
{
    return Planner(input, settings).plan();
}

} // namespace kumquat
