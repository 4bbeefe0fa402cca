// Implements planKeyTable.
//
// Sections: planner, sessions, voters, ranges, balance.
#include "keyspace/range_planner.h"

#include "keyspace/evacuation_moves.h"
#include "keyspace/key_weights.h"
#include "keyspace/lease.h"
#include "keyspace/voter_choice.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
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
    void removeStoppedSessions();

    // Voters.
    void chooseVoters();
    std::optional<std::vector<std::string>> replaceVoters(const KeySession &session) const;
    bool isVoterUnavailable(const std::string &node) const;
    bool isVoterStopping(const std::string &node) const;

    // Ranges.
    void moveFromLeaving();
    void moveFromEvacuated();
    void moveSpan(const KeySpan &span, std::uint64_t owner);
    void assignUnownedRanges();
    void distribute(std::vector<std::size_t> rangeIndexes);
    void assign(KeyRange &range, std::uint64_t owner);
    void dropSettledPredecessors();
    bool isSettled(const KeyRange &range) const;
    std::vector<Candidate> candidates() const;
    std::size_t maxFillMoves(std::size_t sessions) const;
    std::size_t rangeCountOf(std::uint64_t session) const;

    // Balance.
    void balance();
    bool moveLoad(const Candidate &donor, const Candidate &receiver, double commonUtilisation);
    double maxRateOf(std::uint64_t receiver) const;
    std::optional<KeySpan> pickSpan(std::uint64_t donor, double targetRate) const;

    double assumedKeyRate() const;
    double medianServiceSeconds() const;
    double serviceSecondsOf(const KeySession &session) const;
    const HostInfo *host(std::string_view node) const;
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
    const bool isLimited = usableSlotsOf(this->host(session.node), session) < session.slots;
    return isLimited ? this->settings.assumedServiceSeconds : this->usualServiceSeconds;
}

const HostInfo *Planner::host(std::string_view node) const
{
    const auto found = std::find_if(this->input.hosts.begin(), this->input.hosts.end(),
                                    [node](const HostInfo &info) { return info.node == node; });
    return found == this->input.hosts.end() ? nullptr : &*found;
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
        const HostInfo *info = this->host(session.node);
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

// ---- Voters ----

bool Planner::isVoterUnavailable(const std::string &node) const
{
    const HostInfo *info = this->host(node);
    return info == nullptr || !info->isReachable;
}

bool Planner::isVoterStopping(const std::string &node) const
{
    const HostInfo *info = this->host(node);
    return info != nullptr && info->isStopping;
}

// Returns the voters to use instead of the present ones, or std::nullopt to keep them.
//
// A set of fewer voters is chosen only if the lease could not be renewed otherwise. It is safe:
// until the owner has read the new set, both sets must give proof that the session has stopped.
std::optional<std::vector<std::string>> Planner::replaceVoters(const KeySession &session) const
{
    std::size_t left = 0;
    std::size_t unavailable = 0;
    for (const std::string &voter : session.voters) {
        const bool isUnavailable = this->isVoterUnavailable(voter);
        unavailable += isUnavailable ? 1 : 0;
        left += !isUnavailable && !this->isVoterStopping(voter) ? 1 : 0;
    }
    const std::size_t others = std::max<std::size_t>(1, this->input.hosts.size()) - 1;
    const bool hasTooFew = session.voters.size() < std::min(this->settings.voters, others);
    const bool hasLostLease = left < voterMajority(session.voters.size());
    if (!hasTooFew && unavailable == 0 && !hasLostLease) {
        return std::nullopt;
    }
    std::vector<std::string> voters = pickVoters(session, this->input.hosts, this->settings.voters);
    const bool mayBeCutOff = (unavailable > 0 || voters.empty()) && !this->mayEnd;
    const bool mayUse = voters.size() >= session.voters.size() || (hasLostLease && !mayBeCutOff);
    return mayUse && voters != session.voters ? std::optional(std::move(voters)) : std::nullopt;
}

void Planner::chooseVoters()
{
    for (KeySession &session : this->next.sessions) {
        if (!session.isActive()) {
            continue;
        }
        const SessionReport *found = this->report(session.id);
        const bool usesVoters = found != nullptr && found->votersEnd >= this->input.table->end;
        if (!session.formerVoters.empty() && usesVoters) {
            // Written with the next change, but at once if a lost voter could be missed in a proof.
            this->hasChanged =
                    this->hasChanged
                    || std::any_of(session.formerVoters.begin(), session.formerVoters.end(),
                                   [this](const std::string &voter) {
                                       return this->isVoterUnavailable(voter);
                                   });
            session.formerVoters.clear();
        }
        if (!session.formerVoters.empty()) {
            continue;
        }
        std::optional<std::vector<std::string>> voters = this->replaceVoters(session);
        if (!voters) {
            continue;
        }
        session.formerVoters = std::exchange(session.voters, *std::move(voters));
        if (session.formerVoters.empty() && this->input.table->session(session.id) != nullptr) {
            // Until the session's host has read the new voters, it keeps working without any vote,
            // so the host itself remains a former voter.
            session.formerVoters = {session.node};
        }
        this->hasChanged = true;
    }
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
        const double slots = usableSlotsOf(this->host(session.node), session);
        Candidate candidate{.session = session.id,
                            .capacity = slots / this->serviceSecondsOf(session)};
        for (const KeyRange &range : this->next.ranges) {
            candidate.rate += range.owner == session.id ? this->weights.rateOf(range.span) : 0;
        }
        result.push_back(candidate);
    }
    return result;
}

std::size_t Planner::rangeCountOf(std::uint64_t session) const
{
    return static_cast<std::size_t>(
            std::count_if(this->next.ranges.begin(), this->next.ranges.end(),
                          [session](const KeyRange &range) { return range.owner == session; }));
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
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < this->next.ranges.size(); ++i) {
        const KeySession *owner = this->next.session(this->next.ranges[i].owner);
        if (owner != nullptr && owner->isActive() && owner->leaving
            && !this->evacuated.contains(owner->id)) {
            indexes.push_back(i);
        }
    }
    this->distribute(std::move(indexes));
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
    for (const EvacuationMove &move : moves) {
        this->moveSpan(move.span, move.receiver);
    }
}

// Gives keys of one range to a new owner.
void Planner::moveSpan(const KeySpan &span, std::uint64_t owner)
{
    this->next.splitBefore(span.first);
    if (span.last < lastShardKey) {
        this->next.splitBefore(span.last + 1);
    }
    for (KeyRange &range : this->next.ranges) {
        if (span.contains(range.span)) {
            this->assign(range, owner);
        }
    }
}

void Planner::assignUnownedRanges()
{
    std::vector<std::size_t> indexes;
    std::uint32_t keys = 0;
    for (std::size_t i = 0; i < this->next.ranges.size(); ++i) {
        const KeySession *owner = this->next.session(this->next.ranges[i].owner);
        if (owner == nullptr || !owner->isActive()) {
            indexes.push_back(i);
            keys += this->next.ranges[i].span.size();
        }
    }
    const bool isMassLoss = keys > this->settings.massLossShare * (lastShardKey + 1);
    if (isMassLoss && this->input.hostsSteadyFor < this->settings.massLossWait) {
        return;
    }
    this->distribute(std::move(indexes));
}

// Assigns whole ranges or parts of them to the sessions with the most free capacity, so that all of
// these sessions end at about the same utilisation.
void Planner::distribute(std::vector<std::size_t> rangeIndexes)
{
    std::vector<Candidate> eligible = this->candidates();
    if (eligible.empty() || rangeIndexes.empty()) {
        return;
    }
    double total = 0;
    for (const std::size_t index : rangeIndexes) {
        total += this->weights.rateOf(this->next.ranges[index].span);
    }
    std::sort(eligible.begin(), eligible.end(), [](const Candidate &a, const Candidate &b) {
        return a.utilisation() < b.utilisation();
    });
    // Finds how many of the least utilised sessions to fill, and up to which utilisation.
    std::size_t filled = 0;
    double rates = 0;
    double capacities = 0;
    double commonUtilisation = 0;
    while (filled < eligible.size()) {
        rates += eligible[filled].rate;
        capacities += eligible[filled].capacity;
        ++filled;
        commonUtilisation = (rates + total) / capacities;
        if (filled == eligible.size() || commonUtilisation <= eligible[filled].utilisation()) {
            break;
        }
    }
    std::size_t receiverIndex = 0;
    double quota = commonUtilisation * eligible[0].capacity - eligible[0].rate;
    const double minWeight =
            total / (4.0 * static_cast<double>(filled)); // less is not worth a separate range
    // Goes from the highest index down, so that splitting a range leaves the other indexes valid.
    std::sort(rangeIndexes.rbegin(), rangeIndexes.rend());
    for (const std::size_t index : rangeIndexes) {
        bool isWhole = false;
        while (!isWhole) {
            while (receiverIndex + 1 < filled && quota < minWeight) {
                ++receiverIndex;
                quota += commonUtilisation * eligible[receiverIndex].capacity
                         - eligible[receiverIndex].rate;
            }
            KeyRange &range = this->next.ranges[index];
            const double weight = this->weights.rateOf(range.span);
            const bool isLast = receiverIndex + 1 >= filled;
            const ShardKey cutKey = this->weights.firstKeyFromHigh(range.span, quota);
            isWhole = isLast || weight <= quota + minWeight || cutKey <= range.span.first;
            if (!isWhole) {
                this->next.splitBefore(cutKey);
            }
            KeyRange &assigned = this->next.ranges[isWhole ? index : index + 1];
            quota -= this->weights.rateOf(assigned.span);
            this->assign(assigned, eligible[receiverIndex].session);
        }
    }
}

// ---- Balance ----

std::size_t Planner::maxFillMoves(std::size_t sessions) const
{
    return std::max(this->settings.maxMovesPerPlan, sessions / this->settings.sessionsPerFillMove);
}

void Planner::balance()
{
    const std::size_t maxMoves = this->maxFillMoves(this->candidates().size());
    for (std::size_t move = 0; move < maxMoves; ++move) {
        std::vector<Candidate> eligible = this->candidates();
        if (eligible.size() < 2) {
            return;
        }
        const double commonUtilisation = commonUtilisationOf(eligible);
        const auto byUtilisation = [](const Candidate &a, const Candidate &b) {
            return a.utilisation() < b.utilisation();
        };
        const auto [emptiest, fullest] =
                std::minmax_element(eligible.begin(), eligible.end(), byUtilisation);
        const bool isFill =
                emptiest->utilisation() < commonUtilisation * this->settings.fillThreshold;
        const bool isUneven = fullest->utilisation() >= this->settings.minPeakUtilisation
                              && fullest->utilisation() - emptiest->utilisation()
                                         >= this->settings.minUtilisationGap;
        const bool mayMove = isFill || (isUneven && move < this->settings.maxMovesPerPlan);
        if (!mayMove || !this->moveLoad(*fullest, *emptiest, commonUtilisation)) {
            return;
        }
    }
}

// Moves load until donor and receiver are equally utilised, but at most until the receiver reaches
// the common utilisation. Returns false if nothing was moved.
bool Planner::moveLoad(const Candidate &donor, const Candidate &receiver, double commonUtilisation)
{
    const double equal = (donor.utilisation() - receiver.utilisation())
                         / (1 / donor.capacity + 1 / receiver.capacity);
    const double targetRate =
            std::min({equal, commonUtilisation * receiver.capacity - receiver.rate,
                      this->maxRateOf(receiver.session)});
    if (this->rangeCountOf(receiver.session) >= this->settings.maxRangesPerSession) {
        return false;
    }
    const std::optional<KeySpan> span = this->pickSpan(donor.session, targetRate);
    if (!span) {
        return false;
    }
    this->moveSpan(*span, receiver.session);
    return true;
}

// Returns the load that the session may get in one move.
double Planner::maxRateOf(std::uint64_t receiver) const
{
    const HostInfo *info = this->host(this->next.session(receiver)->node);
    const std::uint32_t keys = info != nullptr && info->isReturning
                                       ? returningKeys(this->candidates().size())
                                       : lastShardKey + 1;
    return this->weights.rateOf(allKeys) * keys / (lastShardKey + 1);
}

// Picks a part at the low or high end of a settled range whose rate is close to the target rate and
// not far above it. Parts with fewer keys score higher.
std::optional<KeySpan> Planner::pickSpan(std::uint64_t donor, double targetRate) const
{
    constexpr double maxRatio = 1.3; // of the target rate; more would only invert the imbalance
    constexpr double minRatio = 0.25;
    std::optional<KeySpan> best;
    double bestScore = 0;
    for (const KeyRange &range : this->next.ranges) {
        if (range.owner != donor || range.fence == this->input.newEnd || !this->isSettled(range)) {
            continue;
        }
        const KeySpan low{.first = range.span.first,
                          .last = this->weights.lastKeyFromLow(range.span, targetRate)};
        const KeySpan high{.first = this->weights.firstKeyFromHigh(range.span, targetRate),
                           .last = range.span.last};
        for (const KeySpan &span : {low, high}) {
            double rate = this->weights.rateOf(span);
            KeySpan part = span;
            if (rate > targetRate * maxRatio && part.size() > 1) {
                // The key that exceeds the target rate is a hot key: leave it out.
                part = span == low ? KeySpan{.first = span.first, .last = span.last - 1}
                                   : KeySpan{.first = span.first + 1, .last = span.last};
                rate = this->weights.rateOf(part);
            }
            const double deviation = std::abs(rate - targetRate) / targetRate;
            const double keys = static_cast<double>(part.size()) / (lastShardKey + 1);
            const double score = 1 - deviation - keys;
            if (rate <= targetRate * maxRatio && rate >= targetRate * minRatio
                && (!best || score > bestScore)) {
                best = part;
                bestScore = score;
            }
        }
    }
    return best;
}

} // namespace

std::optional<KeyTable> planKeyTable(const PlanInput &input, const PlannerSettings &settings)
{
    return Planner(input, settings).plan();
}

} // namespace kumquat
