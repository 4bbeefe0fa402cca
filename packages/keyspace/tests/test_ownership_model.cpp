// Random scenarios of a whole service in virtual time: hosts that freeze, lose messages or restart,
// upstreams that answer late or not at all, a store that is away. The deciding code is the real
// one.
//
// Checked all the time: no two upstreams hold a key at once, and each key's fence only grows.
#include "keyspace/lease.h"
#include "keyspace/range_holder.h"
#include "keyspace/range_planner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace kumquat {
namespace {

constexpr Duration step = 20ms;
constexpr int hostCount = 4;
constexpr Duration beatEvery = 870ms;
constexpr Duration answerWindow = 1s; // in which the answer to a heartbeat is taken

// Guards that a test can take out to show that the scenarios notice.
struct Guards
{
    bool proofs = true;      // ranges wait for their former owners
    bool leaseBounds = true; // grants end with the lease
    bool lateGrants = true;  // unanswered grants count as held
    bool reportOrder = true; // a heartbeat that was overtaken says nothing
    bool runningWork = true; // keys with requests that still run count as held
    bool lateOrders = true;  // an order is looked at again when it is sent
};

// An upstream: holds keys until a time by its own clock, which may be slow.
struct ModelUpstream
{
    struct Hold
    {
        KeySpan span;
        std::uint64_t fence = 0;
        Time until{};
    };

    // One heartbeat under way; the next is sent when it has been answered or given up.
    struct Beat
    {
        std::uint64_t sequence = 0;
        Time sentAt{};
        HoldReport report;
    };

    std::vector<Hold> holds;
    std::vector<Hold> working; // taken away, with requests that still run until then
    std::vector<ReleasedRange> released;
    std::optional<Beat> beat;
    std::uint64_t sequence = 0;
    Time nextBeat{};
    double slowness = 1;

    HoldReport report(Time now, bool withWork) const
    {
        HoldReport report{.released = this->released};
        for (const Hold &hold : this->holds) {
            if (hold.until > now) {
                report.holds.push_back({.span = hold.span, .fence = hold.fence});
            }
        }
        for (const Hold &hold : this->working) {
            if (withWork) {
                report.holds.push_back({.span = hold.span, .fence = hold.fence});
            }
        }
        return report;
    }

    // Takes an answer: holds its rows, and stops work on all other keys after `work`.
    void take(const HoldAnswer &answer, Time sentAt, Time now, Duration work)
    {
        const std::vector<Hold> before = std::exchange(this->holds, {});
        const auto length = std::chrono::duration_cast<Duration>(answer.hold * this->slowness);
        for (const HoldRow &row : answer.rows) {
            this->holds.push_back({row.span, row.fence, sentAt + length});
        }
        for (const Hold &old : before) {
            if (old.until <= now) {
                continue;
            }
            std::vector<KeySpan> left{old.span};
            for (const HoldRow &row : answer.rows) {
                left = without(left, row.span);
            }
            for (const KeySpan &span : left) {
                this->working.push_back({span, old.fence, std::min(old.until, now + work)});
            }
        }
    }

    static std::vector<KeySpan> without(const std::vector<KeySpan> &spans, const KeySpan &cut)
    {
        std::vector<KeySpan> rest;
        for (const KeySpan &span : spans) {
            if (!span.overlaps(cut)) {
                rest.push_back(span);
                continue;
            }
            if (span.first < cut.first) {
                rest.push_back({.first = span.first, .last = cut.first - 1});
            }
            if (span.last > cut.last) {
                rest.push_back({.first = cut.last + 1, .last = span.last});
            }
        }
        return rest;
    }

    // Moves what has ended from `working` to `released`.
    void finishWork(Time now)
    {
        std::erase_if(this->working, [&](const Hold &hold) {
            if (hold.until > now) {
                return false;
            }
            this->released.push_back({.span = hold.span, .handover = "token"});
            return true;
        });
    }

    void take(const KeySpan &span, std::uint64_t fence, Time arrived, Duration hold)
    {
        const auto length = std::chrono::duration_cast<Duration>(hold * this->slowness);
        this->holds.push_back({span, fence, arrived + length});
    }

    void release(const KeySpan &span, std::uint64_t fence)
    {
        std::vector<Hold> rest;
        for (const Hold &hold : this->holds) {
            if (hold.fence > fence || !hold.span.overlaps(span)) {
                rest.push_back(hold);
                continue;
            }
            if (hold.span.first < span.first) {
                rest.push_back({{hold.span.first, span.first - 1}, hold.fence, hold.until});
            }
            if (hold.span.last > span.last) {
                rest.push_back({{span.last + 1, hold.span.last}, hold.fence, hold.until});
            }
        }
        this->holds = std::move(rest);
    }
};

struct ModelHost
{
    explicit ModelHost(Time started)
        : voter(LeaseSettings{}, started)
        , lease(LeaseSettings{})
        , holder({}, started)
    {
        this->voter.noteFreshRead();
    }

    LeaseVoter voter;
    QuorumLease lease;
    RangeHolder holder;
    StopProof proofs;
    KeyTable table = KeyTable::createEmpty("testlog");
    std::uint64_t session = 0;
    std::uint64_t lastSequence = 0; // of a heartbeat
    Time renewedAt = -1h;
};

class Model
{
public:
    Model(unsigned seed, Guards modelGuards, GrantMode modelGrantMode = GrantMode::Call)
        : random(seed)
        , guards(modelGuards)
        , grantMode(modelGrantMode)
        , load(3s)
    {
        for (int i = 0; i < hostCount; ++i) {
            this->hosts.push_back(std::make_unique<ModelHost>(this->now));
            this->upstreams.emplace_back();
            this->upstreams.back().slowness = this->chance(0.5) ? 1.02 : 1.0;
            this->frozenUntil.push_back(Time::zero());
            this->cutUntil.push_back(Time::zero());
        }
    }

    // Returns a line for the first promise that was broken, or an empty text.
    std::string play(Duration length)
    {
        const Time end = this->now + length;
        while (this->now < end && this->fault.empty()) {
            this->now += step;
            this->injectFaults();
            this->runDue();
            this->coordinate();
            for (int i = 0; i < hostCount; ++i) {
                this->advance(i);
                if (this->grantMode == GrantMode::Heartbeat) {
                    this->advanceUpstream(i);
                }
            }
            this->check();
        }
        return this->fault;
    }

    // Number of keys that some upstream holds at the end.
    std::uint32_t heldKeys() const
    {
        std::uint32_t held = 0;
        for (const ModelUpstream &upstream : this->upstreams) {
            for (const ModelUpstream::Hold &hold : upstream.holds) {
                held += hold.until > this->now ? hold.span.size() : 0;
            }
        }
        return held;
    }

private:
    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < share;
    }

    Duration between(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(least.count(),
                                                                     most.count())(this->random));
    }

    std::string nameOf(int host) const { return std::string(1, static_cast<char>('a' + host)); }
    int indexOf(const std::string &node) const { return node[0] - 'a'; }
    bool isAwake(int host) const { return this->now >= this->frozenUntil[host]; }
    bool isLinked(int a, int b) const
    {
        return this->now >= this->cutUntil[a] && this->now >= this->cutUntil[b];
    }

    void later(Duration delay, std::function<void()> work)
    {
        this->due.emplace(this->now + delay, std::move(work));
    }

    void runDue()
    {
        while (!this->due.empty() && this->due.begin()->first <= this->now) {
            const std::function<void()> work = std::move(this->due.begin()->second);
            this->due.erase(this->due.begin());
            work();
        }
    }

    void injectFaults()
    {
        const int host = static_cast<int>(this->random() % hostCount);
        if (this->chance(0.004)) {
            this->frozenUntil[host] = this->now + this->between(500ms, 5s);
        }
        if (this->chance(0.004)) {
            this->cutUntil[host] = this->now + this->between(500ms, 5s);
        }
        if (this->chance(0.002)) {
            // The process is killed; its upstream goes on with what it holds.
            this->hosts[host] = std::make_unique<ModelHost>(this->now);
            this->hosts[host]->table = this->stored;
        }
        if (this->chance(0.002)) {
            this->storeAwayUntil = this->now + this->between(500ms, 5s);
        }
    }

    // The first host that is awake and linked plans; all see the store's table with a delay.
    void coordinate()
    {
        if (this->now < this->plannedAt + 200ms || this->now < this->storeAwayUntil) {
            return;
        }
        this->plannedAt = this->now;
        int acting = 0;
        while (acting < hostCount
               && !(this->isAwake(acting) && this->now >= this->cutUntil[acting])) {
            ++acting;
        }
        if (acting == hostCount) {
            return;
        }
        PlanInput input{.table = &this->stored,
                        .newEnd = this->stored.end + 1,
                        .node = this->nameOf(acting),
                        .load = &this->load,
                        .mayBalance = true,
                        .planningFor = this->now,
                        .now = this->now};
        for (int i = 0; i < hostCount; ++i) {
            const bool isLeaving = this->chance(0.02);
            input.hosts.push_back(
                    {.node = this->nameOf(i),
                     .dataCentre = this->nameOf(i),
                     .region = "north",
                     .service = "testlog",
                     .instance = {.id = "i-" + this->nameOf(i), .startedMs = 1},
                     .slots = 9,
                     .phase = isLeaving ? UpstreamPhase::Draining : UpstreamPhase::Ready});
            ModelHost &host = *this->hosts[i];
            if (host.session != 0) {
                SessionReport &report = input.reports[host.session];
                const bool isHeard = this->isAwake(i) && this->isLinked(i, acting);
                this->heardAt[i] = isHeard ? this->now : this->heardAt[i];
                report.silence = this->now - this->heardAt[i];
                report.tablesEnd = host.table.end;
                report.unsettled = host.holder.unsettledFences();
            }
        }
        for (int i = 0; i < 20; ++i) {
            this->load.add(static_cast<ShardKey>(this->random() % (lastShardKey + 1)), 40,
                           this->now);
        }
        std::optional<KeyTable> next = planKeyTable(input, {});
        if (!next) {
            return;
        }
        this->stored = *next;
        for (int i = 0; i < hostCount; ++i) {
            this->later(this->between(5ms, 400ms),
                        [this, i, table = *next] { this->tell(i, table); });
        }
    }

    void tell(int index, const KeyTable &table)
    {
        if (!this->isAwake(index) || this->now < this->cutUntil[index]) {
            this->later(100ms, [this, index, table] { this->tell(index, table); });
            return;
        }
        ModelHost &host = *this->hosts[index];
        if (table.end <= host.table.end && host.session != 0) {
            return;
        }
        host.table = table.end > host.table.end ? table : host.table;
        const KeySession *own = host.table.activeSessionOf(this->nameOf(index));
        const std::uint64_t id = own != nullptr ? own->id : 0;
        if (id != host.session) {
            host.lease.reset();
            host.session = id;
        }
        host.lease.setVoters(own != nullptr ? own->voters : std::vector<std::string>());
        host.holder.setLease(own != nullptr ? host.lease.validUntil() : Time::zero());
        host.holder.assign(host.table, id, this->now);
        host.proofs.prune(host.table);
    }

    void advance(int index)
    {
        if (!this->isAwake(index)) {
            return;
        }
        ModelHost &host = *this->hosts[index];
        if (host.session == 0 && host.table.activeSessionOf(this->nameOf(index)) != nullptr) {
            this->tell(index, host.table);
        }
        if (host.session != 0 && this->now - host.renewedAt >= 400ms) {
            host.renewedAt = this->now;
            this->renew(index);
        }
        this->collectProofs(index);
        const Time lease = this->guards.leaseBounds ? host.lease.validUntil() : this->now + 10s;
        host.holder.setLease(host.session != 0 ? lease : Time::zero());
        if (this->grantMode == GrantMode::Heartbeat) {
            return;
        }
        for (const HoldOrder &order : host.holder.takeOrders(this->now)) {
            this->send(index, order);
        }
    }

    // Sends heartbeats of an upstream, one after the other has been answered or given up.
    void advanceUpstream(int index)
    {
        ModelUpstream &upstream = this->upstreams[index];
        upstream.finishWork(this->now);
        if (upstream.beat && this->now >= upstream.beat->sentAt + answerWindow) {
            upstream.beat.reset();
        }
        if (upstream.beat || this->now < upstream.nextBeat) {
            return;
        }
        upstream.nextBeat = this->now + (upstream.working.empty() ? beatEvery : 100ms);
        upstream.beat = {.sequence = ++upstream.sequence,
                         .sentAt = this->now,
                         .report = upstream.report(this->now, this->guards.runningWork)};
        this->later(this->delay(),
                    [this, index, beat = *upstream.beat] { this->deliver(index, beat); });
    }

    // Returns how long a message between an upstream and its host takes; some are very late.
    Duration delay()
    {
        return this->chance(0.1) ? this->between(300ms, 4s) : this->between(1ms, 40ms);
    }

    void deliver(int index, const ModelUpstream::Beat &beat)
    {
        if (!this->isAwake(index)) {
            this->later(100ms, [this, index, beat] { this->deliver(index, beat); });
            return;
        }
        ModelHost &host = *this->hosts[index];
        const bool isNewest = beat.sequence > host.lastSequence || !this->guards.reportOrder;
        host.lastSequence = std::max(host.lastSequence, beat.sequence);
        this->advance(index);
        std::optional<HoldAnswer> answer;
        if (isNewest) {
            host.holder.noteReport(beat.report, this->now);
            answer = host.table.end != 0 ? host.holder.answerReport(0s, this->now) : answer;
        }
        if (this->chance(0.03)) {
            return; // lost
        }
        this->later(this->delay(),
                    [this, index, beat, answer] { this->takeAnswer(index, beat, answer); });
    }

    void takeAnswer(int index, const ModelUpstream::Beat &beat,
                    const std::optional<HoldAnswer> &answer)
    {
        ModelUpstream &upstream = this->upstreams[index];
        if (!upstream.beat || upstream.beat->sequence != beat.sequence) {
            return; // given up
        }
        upstream.beat.reset();
        upstream.released.erase(upstream.released.begin(),
                                upstream.released.begin()
                                        + static_cast<std::ptrdiff_t>(beat.report.released.size()));
        if (answer) {
            upstream.take(*answer, beat.sentAt, this->now, this->between(0ms, 400ms));
        }
    }

    void renew(int index)
    {
        ModelHost &host = *this->hosts[index];
        const KeySession *own = host.table.session(host.session);
        if (own == nullptr) {
            return;
        }
        for (const std::string &voter : own->voters) {
            const int peer = this->indexOf(voter);
            if (!this->isLinked(index, peer) || this->chance(0.1)) {
                continue;
            }
            const Time sentAt = this->now;
            const ModelHost *asked = this->hosts[index].get();
            this->later(this->between(1ms, 100ms), [this, index, peer, voter, sentAt, asked] {
                ModelHost &owner = *this->hosts[index];
                if (!this->isAwake(peer) || &owner != asked) {
                    return;
                }
                ModelHost &other = *this->hosts[peer];
                const bool granted = other.voter.vote(&other.table, owner.session, this->now);
                const std::uint64_t id = owner.session;
                this->later(this->between(1ms, 100ms), [this, index, voter, sentAt, granted, id] {
                    ModelHost &answered = *this->hosts[index];
                    if (granted && answered.session == id) {
                        answered.lease.noteVote(voter, sentAt);
                    }
                });
            });
        }
    }

    void collectProofs(int index)
    {
        ModelHost &host = *this->hosts[index];
        for (const MissingProof &missing : host.holder.missingProofs()) {
            const std::uint64_t id = missing.predecessor.session;
            const KeySession *former = host.table.session(id);
            if (!this->guards.proofs || host.proofs.isStopped(host.table, id)) {
                host.holder.notePredecessorStopped(missing.predecessor, missing.span, "");
                continue;
            }
            this->askHost(index, missing, *former);
            std::vector<std::string> voters = former->voters;
            voters.insert(voters.end(), former->formerVoters.begin(), former->formerVoters.end());
            for (const std::string &voter : voters) {
                const int peer = this->indexOf(voter);
                const ModelHost &other = *this->hosts[peer];
                const bool isReached = this->isAwake(peer) && this->isLinked(index, peer);
                if (isReached && !former->isActive()
                    && other.voter.hasReleased(&other.table, id, former->endedAt, this->now)) {
                    host.proofs.noteRelease(id, voter);
                }
            }
        }
    }

    void askHost(int index, const MissingProof &missing, const KeySession &former)
    {
        const int peer = this->indexOf(former.node);
        ModelHost &other = *this->hosts[peer];
        if (!this->isAwake(peer) || !this->isLinked(index, peer)
            || other.table.end < this->hosts[index]->table.end) {
            return;
        }
        const StopAnswer answer =
                other.holder.answerStop(missing.span, missing.predecessor.fence, this->now);
        if (answer.stopped) {
            this->hosts[index]->holder.notePredecessorStopped(missing.predecessor, missing.span,
                                                              answer.handover);
        }
    }

    // Sends an order; one of a process that is short of processor time leaves seconds after it was
    // decided.
    void send(int index, const HoldOrder &decided)
    {
        if (this->chance(0.04)) {
            const ModelHost *sender = this->hosts[index].get();
            this->later(this->between(100ms, 4s),
                        [this, index, decided, sender] { this->sendLate(index, decided, sender); });
        } else {
            this->sendNow(index, decided);
        }
    }

    void sendLate(int index, const HoldOrder &decided, const ModelHost *sender)
    {
        if (this->hosts[index].get() != sender) {
            return; // the process was killed
        }
        if (!this->isAwake(index)) {
            this->later(100ms,
                        [this, index, decided, sender] { this->sendLate(index, decided, sender); });
            return;
        }
        const Time lookAt = this->guards.lateOrders ? this->now : decided.decidedAt;
        const auto order = orderToSend(decided, HolderSettings{}.minHold, lookAt);
        if (order) {
            this->sendNow(index, *order);
        } else {
            this->hosts[index]->holder.noteGrant(decided.number, GrantOutcome::Refused, this->now);
        }
    }

    // Calls the upstream beside a host; it may act late, or its answer may be lost.
    void sendNow(int index, const HoldOrder &order)
    {
        ModelUpstream &upstream = this->upstreams[index];
        const bool isLate = this->chance(0.06);
        const bool isLost = isLate || this->chance(0.03);
        const Duration acts = isLate ? this->between(300ms, 4s) : this->between(1ms, 40ms);
        const Time arrived = this->now + 1ms;
        this->later(acts, [this, &upstream, order, arrived] {
            if (order.kind == HoldOrderKind::Release) {
                upstream.release(order.span, order.fence);
            } else if (arrived + order.hold > this->now) {
                upstream.take(order.span, order.fence, arrived, order.hold);
            }
        });
        const ModelHost *sender = this->hosts[index].get();
        this->later(isLost ? 800ms : acts + 2ms, [this, index, order, isLost, sender] {
            if (this->hosts[index].get() == sender) {
                this->finish(index, order, isLost);
            }
        });
    }

    void finish(int index, const HoldOrder &order, bool isLost)
    {
        ModelHost &host = *this->hosts[index];
        if (order.kind == HoldOrderKind::Grant) {
            const GrantOutcome lost =
                    this->guards.lateGrants ? GrantOutcome::Unknown : GrantOutcome::Refused;
            host.holder.noteGrant(order.number, isLost ? lost : GrantOutcome::Accepted, this->now);
        } else {
            host.holder.noteRelease(order.number, !isLost, "token", this->now);
        }
    }

    void check()
    {
        for (int a = 0; a < hostCount; ++a) {
            std::erase_if(this->upstreams[a].holds, [this](const ModelUpstream::Hold &hold) {
                return hold.until <= this->now;
            });
        }
        for (int a = 0; a < hostCount; ++a) {
            for (int b = a + 1; b < hostCount; ++b) {
                this->compare(a, b);
            }
        }
    }

    std::vector<ModelUpstream::Hold> allHolds(int index) const
    {
        std::vector<ModelUpstream::Hold> holds = this->upstreams[index].holds;
        const auto &working = this->upstreams[index].working;
        holds.insert(holds.end(), working.begin(), working.end());
        return holds;
    }

    void compare(int a, int b)
    {
        for (const ModelUpstream::Hold &first : this->allHolds(a)) {
            for (const ModelUpstream::Hold &second : this->allHolds(b)) {
                if (first.span.overlaps(second.span)) {
                    this->fault = "hosts " + this->nameOf(a) + " and " + this->nameOf(b)
                                  + " hold keys from "
                                  + std::to_string(std::max(first.span.first, second.span.first))
                                  + " under fences " + std::to_string(first.fence) + " and "
                                  + std::to_string(second.fence) + " at "
                                  + std::to_string(this->now.count());
                    return;
                }
            }
        }
    }

    std::mt19937 random;
    Guards guards;
    GrantMode grantMode;
    Time now = 100s;
    Time plannedAt{};
    Time storeAwayUntil{};
    KeyLoad load;
    KeyTable stored = KeyTable::createEmpty("testlog");
    std::vector<std::unique_ptr<ModelHost>> hosts;
    std::vector<ModelUpstream> upstreams;
    std::vector<Time> frozenUntil;
    std::vector<Time> cutUntil;
    std::map<int, Time> heardAt;
    std::multimap<Time, std::function<void()>> due;
    std::string fault;
};

// Plays scenarios until one breaks a promise; returns whether one did.
bool isNoticed(Guards guards, GrantMode grantMode = GrantMode::Call)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        if (!Model(seed, guards, grantMode).play(30s).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("no two upstreams hold a key at once under random faults", "[ownership_model]")
{
    const bool holds = rc::check("in every scenario", [](unsigned seed) {
        Model model(seed, {});
        const std::string fault = model.play(30s);
        RC_LOG() << "seed " << seed << ": " << fault;
        RC_ASSERT(fault.empty());
    });
    CHECK(holds);
}

// Without this the property above could hold because nothing is ever granted.
TEST_CASE("keys are held in a calm end of a scenario", "[ownership_model]")
{
    Model model(7, {});
    REQUIRE(model.play(30s).empty());
    CHECK(model.heldKeys() > 0);
}

TEST_CASE("no two upstreams hold a key at once where heartbeats are answered with grants",
          "[ownership_model]")
{
    const bool holds = rc::check("in every scenario", [](unsigned seed) {
        Model model(seed, {}, GrantMode::Heartbeat);
        const std::string fault = model.play(30s);
        RC_LOG() << "seed " << seed << ": " << fault;
        RC_ASSERT(fault.empty());
    });
    CHECK(holds);
    Model model(7, {}, GrantMode::Heartbeat);
    REQUIRE(model.play(30s).empty());
    CHECK(model.heldKeys() > 0);
}

TEST_CASE("the scenarios notice each guard that is taken out", "[ownership_model]")
{
    CHECK(isNoticed({.proofs = false}, GrantMode::Heartbeat));
    CHECK(isNoticed({.leaseBounds = false}, GrantMode::Heartbeat));
    CHECK(isNoticed({.reportOrder = false}, GrantMode::Heartbeat));
    CHECK(isNoticed({.runningWork = false}, GrantMode::Heartbeat));
    CHECK(isNoticed({.proofs = false}));
    CHECK(isNoticed({.leaseBounds = false}));
    CHECK(isNoticed({.lateGrants = false}));
    CHECK(isNoticed({.lateOrders = false}));
}

} // namespace kumquat
