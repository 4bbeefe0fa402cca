// Sections: planner, sessions, voters, ranges, balance.
#include "keyspace/range_planner.h"

#include "base/hash.h"
#include "keyspace/key_weights.h"
#include "keyspace/lease.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace kumquat {
namespace {

// ---- Planner ----

// A session that may get keys, with what it has.
struct Candidate
{
    std::uint64_t session = 0;
    double rate = 0;     // requests a second of its keys
    double capacity = 1; // requests a second

    double use() const { return this->rate / this->capacity; }
};

// Returns the use of all sessions if each were equally full.
double levelOf(const std::vector<Candidate> &sessions)
{
    double rate = 0;
    double capacity = 0;
    for (const Candidate &session : sessions) {
        rate += session.rate;
        capacity += session.capacity;
    }
    return rate / capacity;
}

class Planner
{
public:
    Planner(const PlanInput &planInput, const PlannerSettings &plannerSettings)
        : input(planInput)
        , settings(plannerSettings)
        , next(*planInput.table)
        , weights(planInput.load->rates(planInput.now), this->assumedKeyRate())
    {}

    std::optional<KeyTable> plan()
    {
        this->endSessions();
        this->admitSessions();
        this->markLeaving();
        this->moveFromLeaving();
        this->assignOrphans();
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
    void end(KeySession &session, bool isStopped);
    bool mayEndSilent() const;
    void admitSessions();
    void markLeaving();
    void removeStoppedSessions();

    // Voters.
    void chooseVoters();
    std::vector<std::string> pickVoters(const KeySession &session) const;
    bool isVoterGone(const std::string &node) const;

    // Ranges.
    void moveFromLeaving();
    void assignOrphans();
    void spread(std::vector<std::size_t> rangeIndexes);
    void give(KeyRange &range, std::uint64_t owner);
    void dropSettledPredecessors();
    bool isSettled(const KeyRange &range) const;
    std::vector<Candidate> candidates() const;
    std::size_t rangeCountOf(std::uint64_t session) const;

    // Balance.
    void balance();
    bool moveLoad(const Candidate &donor, const Candidate &receiver, double level);
    std::optional<KeySpan> pickSpan(std::uint64_t donor, double wanted) const;

    double assumedKeyRate() const;
    double serviceSecondsOf(std::uint64_t session) const;
    const HostInfo *host(std::string_view node) const;
    const SessionReport *report(std::uint64_t session) const;

    const PlanInput &input;
    const PlannerSettings &settings;
    KeyTable next;
    KeyWeights weights;
    bool hasChanged = false;
};

double Planner::assumedKeyRate() const
{
    double slots = 0;
    for (const KeySession &session : this->input.table->sessions) {
        slots += session.isActive() ? session.slots : 0;
    }
    const double rate = std::max(1.0, slots) * this->settings.assumedRate
                        / this->settings.assumedServiceSeconds;
    return rate / (lastShardKey + 1.0);
}

double Planner::serviceSecondsOf(std::uint64_t session) const
{
    const SessionReport *found = this->report(session);
    return found != nullptr && found->serviceSeconds > 0 ? found->serviceSeconds
                                                         : this->settings.assumedServiceSeconds;
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

// Says whether silent sessions may be ended: where most are silent, this host may be the one that
// is cut off, and where most hosts were lost they are usually back soon.
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
    const bool mayEnd = this->mayEndSilent();
    for (KeySession &session : this->next.sessions) {
        if (!session.isActive()) {
            continue;
        }
        // Only the host itself grants keys to its upstream, so its word is proof. Its record in the
        // store is not: an older one may be appended late.
        const SessionReport *found = this->report(session.id);
        if (found != nullptr && found->isRetired) {
            this->end(session, true);
            continue;
        }
        // A host can name its session only after it has read the table that admitted it.
        const bool isSilent = found != nullptr && found->silence >= this->settings.endAfter;
        const bool isOwn = session.node == this->input.node;
        if (mayEnd && !isOwn && isSilent) {
            this->end(session, false);
        }
    }
}

void Planner::end(KeySession &session, bool isStopped)
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
        constexpr std::uint64_t mostAdmissions = 4096; // in one record
        KeySession session{.id = this->input.newEnd * mostAdmissions + index++,
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
        const bool leaves = session.isActive() && (drains || stops);
        if (session.isActive() && session.leaving != leaves) {
            session.leaving = leaves;
            this->hasChanged = true;
        }
    }
}

void Planner::removeStoppedSessions()
{
    for (KeySession &session : this->next.sessions) {
        // An ended session that nobody waits for any more is known to hold nothing.
        const bool isWaitedFor = std::any_of(
                this->next.ranges.begin(), this->next.ranges.end(), [&](const KeyRange &range) {
                    return range.owner == session.id
                           || std::any_of(range.predecessors.begin(), range.predecessors.end(),
                                          [&](const FormerOwner &predecessor) {
                                              return predecessor.session == session.id;
                                          });
                });
        session.stopped = session.stopped || (!session.isActive() && !isWaitedFor);
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

bool Planner::isVoterGone(const std::string &node) const
{
    const HostInfo *info = this->host(node);
    return info == nullptr || !info->isReachable;
}

// Picks voters that are seldom lost together: no two in one data centre if there is a choice, those
// of the owner's region first.
std::vector<std::string> Planner::pickVoters(const KeySession &session) const
{
    const HostInfo *own = this->host(session.node);
    struct Choice
    {
        std::size_t cost;
        std::uint64_t order;
        const HostInfo *info;
    };
    std::vector<Choice> choices;
    for (const HostInfo &info : this->input.hosts) {
        if (info.node == session.node || !info.isReachable) {
            continue;
        }
        const bool sameRegion = own != nullptr && own->region == info.region;
        choices.push_back({sameRegion ? 0UL : 1UL,
                           hashPair(hashBytes(session.node), hashBytes(info.node)), &info});
    }
    std::sort(choices.begin(), choices.end(), [](const Choice &first, const Choice &second) {
        return std::tie(first.cost, first.order) < std::tie(second.cost, second.order);
    });
    std::vector<std::string> picked;
    std::vector<std::string> usedCentres;
    for (const bool allowSameCentre : {false, true}) {
        for (const Choice &choice : choices) {
            const bool isUsed =
                    std::find(usedCentres.begin(), usedCentres.end(), choice.info->dataCentre)
                    != usedCentres.end();
            const bool isPicked =
                    std::find(picked.begin(), picked.end(), choice.info->node) != picked.end();
            if (picked.size() < this->settings.voters && !isPicked
                && (allowSameCentre || !isUsed)) {
                picked.push_back(choice.info->node);
                usedCentres.push_back(choice.info->dataCentre);
            }
        }
    }
    return picked;
}

void Planner::chooseVoters()
{
    for (KeySession &session : this->next.sessions) {
        if (!session.isActive()) {
            continue;
        }
        const SessionReport *found = this->report(session.id);
        const bool hasRead = found != nullptr && found->tablesEnd >= this->input.table->end;
        if (!session.formerVoters.empty() && hasRead) {
            session.formerVoters.clear(); // saved with the next change
        }
        const std::size_t possible = std::min(
                this->settings.voters, std::max<std::size_t>(1, this->input.hosts.size()) - 1);
        const bool isShort = session.voters.size() < possible;
        const bool hasGone =
                std::any_of(session.voters.begin(), session.voters.end(),
                            [this](const std::string &node) { return this->isVoterGone(node); });
        if ((!isShort && !hasGone) || !session.formerVoters.empty()) {
            continue;
        }
        std::vector<std::string> voters = this->pickVoters(session);
        if (voters.size() < session.voters.size() || voters == session.voters) {
            continue;
        }
        session.formerVoters = std::exchange(session.voters, std::move(voters));
        if (session.formerVoters.empty() && this->input.table->session(session.id) != nullptr) {
            // Until its host has read of them it goes on without any vouch.
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
        const bool isQuiet = found != nullptr && found->silence >= this->settings.quietAfter;
        if (!session.isActive() || session.leaving || isQuiet) {
            continue;
        }
        Candidate candidate{.session = session.id,
                            .capacity = session.slots / this->serviceSecondsOf(session.id)};
        for (const KeyRange &range : this->next.ranges) {
            candidate.rate += range.owner == session.id ? this->weights.of(range.span) : 0;
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

bool Planner::isSettled(const KeyRange &range) const
{
    const SessionReport *found = this->report(range.owner);
    return range.predecessors.empty()
           || (found != nullptr && found->tablesEnd >= range.fence
               && std::find(found->unsettled.begin(), found->unsettled.end(), range.fence)
                          == found->unsettled.end());
}

void Planner::give(KeyRange &range, std::uint64_t owner)
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
        if (owner != nullptr && owner->isActive() && owner->leaving) {
            indexes.push_back(i);
        }
    }
    this->spread(std::move(indexes));
}

void Planner::assignOrphans()
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
    const bool isMassLoss = keys > this->settings.massShare * (lastShardKey + 1);
    if (isMassLoss && this->input.hostsSteadyFor < this->settings.settleAfterMassLoss) {
        return;
    }
    this->spread(std::move(indexes));
}

// Gives whole ranges or parts of them to the sessions with the most room, so that all of these end
// at about the same use.
void Planner::spread(std::vector<std::size_t> rangeIndexes)
{
    std::vector<Candidate> open = this->candidates();
    if (open.empty() || rangeIndexes.empty()) {
        return;
    }
    double total = 0;
    for (const std::size_t index : rangeIndexes) {
        total += this->weights.of(this->next.ranges[index].span);
    }
    std::sort(open.begin(), open.end(),
              [](const Candidate &a, const Candidate &b) { return a.use() < b.use(); });
    // Fills the emptiest sessions up to a common level.
    std::size_t filled = 0;
    double rates = 0;
    double capacities = 0;
    double level = 0;
    while (filled < open.size()) {
        rates += open[filled].rate;
        capacities += open[filled].capacity;
        ++filled;
        level = (rates + total) / capacities;
        if (filled == open.size() || level <= open[filled].use()) {
            break;
        }
    }
    std::size_t taker = 0;
    double quota = level * open[0].capacity - open[0].rate;
    const double least =
            total / (4.0 * static_cast<double>(filled)); // not worth a range of its own
    // From the highest index down, so that cutting a range leaves the other indexes valid.
    std::sort(rangeIndexes.rbegin(), rangeIndexes.rend());
    for (const std::size_t index : rangeIndexes) {
        bool isWhole = false;
        while (!isWhole) {
            while (taker + 1 < filled && quota < least) {
                ++taker;
                quota += level * open[taker].capacity - open[taker].rate;
            }
            KeyRange &range = this->next.ranges[index];
            const double weight = this->weights.of(range.span);
            const bool isLast = taker + 1 >= filled;
            const ShardKey cut = this->weights.beginFromHigh(range.span, quota);
            isWhole = isLast || weight <= quota + least || cut <= range.span.first;
            if (!isWhole) {
                this->next.splitBefore(cut);
            }
            KeyRange &given = this->next.ranges[isWhole ? index : index + 1];
            quota -= this->weights.of(given.span);
            this->give(given, open[taker].session);
        }
    }
}

// ---- Balance ----

void Planner::balance()
{
    const std::size_t sessions = this->candidates().size();
    const std::size_t mostMoves =
            std::max(this->settings.movesAtOnce, sessions / this->settings.sessionsPerFill);
    for (std::size_t move = 0; move < mostMoves; ++move) {
        std::vector<Candidate> open = this->candidates();
        if (open.size() < 2) {
            return;
        }
        const double level = levelOf(open);
        const auto byUse = [](const Candidate &a, const Candidate &b) { return a.use() < b.use(); };
        const auto [emptiest, fullest] = std::minmax_element(open.begin(), open.end(), byUse);
        const bool isFill = emptiest->use() < level * this->settings.fillBelow;
        const bool isUneven = fullest->use() >= this->settings.leastUse
                              && fullest->use() - emptiest->use() >= this->settings.leastGap;
        const bool mayMove = isFill || (isUneven && move < this->settings.movesAtOnce);
        if (!mayMove || !this->moveLoad(*fullest, *emptiest, level)) {
            return;
        }
    }
}

// Moves what makes both equally full, but no more than the receiver lacks to the level of all.
bool Planner::moveLoad(const Candidate &donor, const Candidate &receiver, double level)
{
    const double equal =
            (donor.use() - receiver.use()) / (1 / donor.capacity + 1 / receiver.capacity);
    const double wanted = std::min(equal, level * receiver.capacity - receiver.rate);
    if (this->rangeCountOf(receiver.session) >= this->settings.mostRangesPerSession) {
        return false;
    }
    const std::optional<KeySpan> span = this->pickSpan(donor.session, wanted);
    if (!span) {
        return false;
    }
    this->next.splitBefore(span->first);
    if (span->last < lastShardKey) {
        this->next.splitBefore(span->last + 1);
    }
    for (KeyRange &range : this->next.ranges) {
        if (span->contains(range.span)) {
            this->give(range, receiver.session);
        }
    }
    return true;
}

// Picks the end of a settled range that comes closest to the wanted rate without going far over it;
// among equals the one with the fewest keys.
std::optional<KeySpan> Planner::pickSpan(std::uint64_t donor, double wanted) const
{
    constexpr double tooMuch = 1.3; // of the wanted rate; more would only turn the gap around
    constexpr double tooLittle = 0.25;
    std::optional<KeySpan> best;
    double bestScore = 0;
    for (const KeyRange &range : this->next.ranges) {
        if (range.owner != donor || range.fence == this->input.newEnd || !this->isSettled(range)) {
            continue;
        }
        const KeySpan low{.first = range.span.first,
                          .last = this->weights.endFromLow(range.span, wanted)};
        const KeySpan high{.first = this->weights.beginFromHigh(range.span, wanted),
                           .last = range.span.last};
        for (const KeySpan &span : {low, high}) {
            double rate = this->weights.of(span);
            KeySpan part = span;
            if (rate > wanted * tooMuch && part.size() > 1) {
                // The key that crosses the wanted rate is a hot one: leave it out.
                part = span == low ? KeySpan{.first = span.first, .last = span.last - 1}
                                   : KeySpan{.first = span.first + 1, .last = span.last};
                rate = this->weights.of(part);
            }
            const double off = std::abs(rate - wanted) / wanted;
            const double keys = static_cast<double>(part.size()) / (lastShardKey + 1);
            const double score = 1 - off - keys;
            if (rate <= wanted * tooMuch && rate >= wanted * tooLittle
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
