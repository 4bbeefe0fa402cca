// Sections: time and random numbers, processes, faults, mesh, log, calls, findings.
#include "harness.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <ostream>

namespace kumquat::test {

namespace {

constexpr Duration maxMeshDelay = 3ms;      // maximum delay of a message without faults
constexpr Duration maxLogDelay = 30ms;      // maximum delay to or from the log without faults
constexpr Duration pollHoldTime = 400ms;    // hold time of the log's long poll
constexpr Duration pollRetryDelay = 100ms;  // after a poll that was not answered
constexpr double slowAppendShare = 0.05;    // share of appends that take up to 1.5 s
constexpr double repeatedAppendShare = 0.1; // share of appends that take effect twice
constexpr Duration singleReadTime = 300ms;  // duration of one read during LogSingleReads
constexpr SlotLayout layout{World::keys, 2};

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

std::ostream &operator<<(std::ostream &stream, const Schedule &schedule)
{
    stream << "seed " << schedule.seed << ", " << schedule.nodes << " nodes\n";
    for (const Fault &fault : schedule.faults) {
        stream << "kind " << static_cast<int>(fault.kind)
               << (fault.atOwner ? " owner of " : " node ") << fault.node << " other "
               << fault.other << " at " << fault.at / 1ms << " ms for " << fault.duration / 1ms
               << " ms\n";
    }
    return stream;
}

// ---- time and random numbers ----

World::World(Schedule wanted, WorldOptions chosen)
    : schedule(std::move(wanted))
    , options(chosen)
    , state(this->schedule.seed * 2 + 1)
{
    this->nodes.resize(static_cast<std::size_t>(this->schedule.nodes));
    this->servedTimes.resize(keys);
    for (int node = 0; node < this->schedule.nodes; ++node) {
        Node &entry = this->nodes[static_cast<std::size_t>(node)];
        entry.rate = this->clockRate(node);
        entry.offset = this->randomUpTo(1000s);
        const Duration late = this->options.directed && node > 0 ? 300ms : 0ms;
        this->runAt(late + this->randomUpTo(50ms), [this, node] { this->start(node); });
        for (int key = 0; key < keys; ++key) {
            this->runAt(this->randomUpTo(this->options.callInterval),
                        [this, node, key] { this->call(node, key); });
        }
    }
    for (const Fault &fault : this->schedule.faults) {
        this->runAt(fault.at, [this, fault] { this->inject(fault); });
    }
}

double World::random()
{
    this->state += 0x9e3779b97f4a7c15;
    return static_cast<double>(hashPair(this->state, 1) >> 11) / 9007199254740992.0; // 2^53
}

Duration World::randomUpTo(Duration limit)
{
    return Duration(
            static_cast<Duration::rep>(this->random() * static_cast<double>(limit.count())));
}

// Returns the full delay in directed schedules, and a random part of it otherwise.
Duration World::faultDelay(Duration limit)
{
    return this->options.directed ? limit : this->randomUpTo(limit);
}

double World::clockRate(int node)
{
    constexpr double bound = 0.0099; // just within 1 %
    if (this->options.directed) {
        return this->options.slowOwner ? 1.0 + (node == 0 ? -bound : bound) : 1.0;
    }
    // Clock rates at the bounds are the hardest case, so half of the clocks have such a rate.
    const double drawn = 2.0 * this->random() - 1.0;
    const double atBound = drawn < 0.0 ? -1.0 : 1.0;
    return 1.0 + bound * (this->random() < 0.5 ? atBound : drawn);
}

Duration World::localTime(int node, Duration real) const
{
    const Node &entry = this->nodes.at(static_cast<std::size_t>(node));
    return entry.offset
           + Duration(static_cast<Duration::rep>(static_cast<double>(real.count()) * entry.rate));
}

void World::runAt(Duration when, std::function<void()> action)
{
    this->events.push({std::max(when, this->now), ++this->eventCount, std::move(action)});
}

void World::run()
{
    while (!this->events.empty() && this->events.top().at <= this->options.length) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
}

// ---- processes ----

EngineSettings World::settingsOf(int node, std::uint64_t incarnation, const WorldOptions &options)
{
    EngineSettings settings;
    settings.node = nodeName(node);
    settings.incarnation = incarnation;
    settings.meshAddress = "127.0.0.1:" + std::to_string(7000 + node);
    settings.region = "r1";
    settings.dataCentre = "d" + std::to_string(node % options.dataCentres);
    settings.layout = layout;
    settings.guards = options.guards;
    settings.timings.lostLeaseTimeout = options.lostLeaseTimeout;
    return settings;
}

void World::start(int node)
{
    Node &entry = this->nodes[static_cast<std::size_t>(node)];
    if (entry.engine != nullptr) {
        return;
    }
    ++entry.instance;
    entry.incarnation = hashPair(static_cast<std::uint64_t>(node) + 1, entry.instance) | 1;
    entry.pausedInputs.clear();
    entry.running.clear();
    entry.journals.clear();
    entry.drained = false;
    entry.pausedUntil = Duration(0);
    EngineHooks hooks;
    const auto busy = [this, node](const std::function<bool(int)> &matches) {
        const Node &self = this->nodes[static_cast<std::size_t>(node)];
        return std::any_of(self.running.begin(), self.running.end(), [&](const Run &run) {
            return run.until > this->now && matches(run.key);
        });
    };
    hooks.hasInFlight = [busy](const SlotKeys &slotKeys) {
        return busy([&slotKeys](int key) { return slotKeys.contains(keyHash(key)); });
    };
    hooks.hasAnyInFlight = [busy](const std::string &) { return busy([](int) { return true; }); };
    hooks.remembered = [](const SlotKeys &) { return std::vector<wire::RememberedRequest>(); };
    hooks.importRemembered = [](const std::string &, const auto &) {};
    if (node == this->options.traceNode) {
        hooks.trace = [this](const wire::TraceEvent &event) { this->recorded.push_back(event); };
    }
    entry.engine = OwnershipEngine::create(settingsOf(node, entry.incarnation, this->options),
                                           std::move(hooks))
                           .value();
    entry.engine->start(this->localTime(node, this->now));
    this->input(node, [](OwnershipEngine &engine, Time time) {
        engine.setUpstream(UpstreamInfo{std::string(service), true}, time);
    });
    this->poll(node);
    this->scheduleTick(node);
}

void World::stop(int node)
{
    Node &entry = this->nodes[static_cast<std::size_t>(node)];
    entry.engine.reset();
    ++entry.instance;
}

// Passes an input to a process, or keeps it until the end of the pause if the process is paused.
void World::input(int node, const std::function<void(OwnershipEngine &, Time)> &applyInput)
{
    Node &entry = this->nodes[static_cast<std::size_t>(node)];
    if (entry.engine == nullptr) {
        return;
    }
    if (this->now < entry.pausedUntil) {
        entry.pausedInputs.push_back([this, node, applyInput] { this->input(node, applyInput); });
        return;
    }
    applyInput(*entry.engine, this->localTime(node, this->now));
    this->drainOutput(node);
}

void World::drainOutput(int node)
{
    Node &entry = this->nodes[static_cast<std::size_t>(node)];
    const EngineOutput output = entry.engine->takeOutput();
    for (const OutgoingMessage &message : output.messages) {
        this->sendMessage(node, message);
    }
    for (const wire::LogRecord &record : output.records) {
        this->appendRecord(node, record);
    }
    this->copyJournal(node);
    if (entry.engine->isDrained() && !entry.drained) {
        entry.drained = true;
        this->stop(node);
        this->runAt(this->now + entry.restartAfter, [this, node] { this->start(node); });
        return;
    }
    this->scheduleTick(node);
}

// Copies the journal of the session to peers that do not have it.
void World::copyJournal(int node)
{
    Node &entry = this->nodes[static_cast<std::size_t>(node)];
    for (const PeerView &peer : entry.engine->ownSession().peers) {
        if (peer.incarnation == 0 || peer.journalComplete
            || !entry.journals.insert({peer.node, peer.incarnation}).second) {
            continue;
        }
        const std::uint64_t instance = entry.instance;
        this->runAt(this->now + this->options.journalCopyTime, [this, node, instance, peer] {
            Node &self = this->nodes[static_cast<std::size_t>(node)];
            if (self.instance != instance) {
                return;
            }
            self.journals.erase({peer.node, peer.incarnation});
            this->input(node, [peer](OwnershipEngine &engine, Time time) {
                engine.setJournalComplete(peer.node, peer.incarnation, time);
            });
        });
    }
}

void World::scheduleTick(int node)
{
    Node &entry = this->nodes[static_cast<std::size_t>(node)];
    if (entry.engine == nullptr || !entry.engine->nextDue()) {
        return;
    }
    const Duration ahead = *entry.engine->nextDue() - this->localTime(node, this->now);
    const Duration due = this->now + std::max(ahead, Duration(1ms));
    if (entry.nextTick > this->now && entry.nextTick <= due) {
        return;
    }
    entry.nextTick = due;
    const std::uint64_t instance = entry.instance;
    this->runAt(due, [this, node, instance, due] {
        Node &self = this->nodes[static_cast<std::size_t>(node)];
        if (self.instance != instance || self.nextTick != due) {
            return;
        }
        self.nextTick = Duration(0);
        this->input(node, [](OwnershipEngine &engine, Time time) { engine.onTick(time); });
    });
}

// ---- faults ----

void World::cut(int from, int to, Duration until)
{
    Duration &last = this->cutUntil[{from, to}];
    last = std::max(last, until);
}

// Returns the node that served the key last, or 0 if no node did.
int World::findLastServingNode(int key) const
{
    const auto last = std::find_if(this->allRuns.rbegin(), this->allRuns.rend(),
                                   [key](const Run &run) { return run.key == key % keys; });
    return last == this->allRuns.rend() ? 0 : last->node;
}

void World::inject(const Fault &fault)
{
    const Duration until = this->now + fault.duration;
    const int node = fault.atOwner ? this->findLastServingNode(fault.node)
                                   : fault.node % this->schedule.nodes;
    const int other = fault.other % this->schedule.nodes;
    Node &entry = this->nodes[static_cast<std::size_t>(node)];
    switch (fault.kind) {
    case FaultKind::Crash:
        this->stop(node);
        this->runAt(until, [this, node] { this->start(node); });
        break;
    case FaultKind::Pause:
        entry.pausedUntil = std::max(entry.pausedUntil, until);
        this->runAt(entry.pausedUntil, [this, node] {
            Node &self = this->nodes[static_cast<std::size_t>(node)];
            if (this->now < self.pausedUntil) {
                return;
            }
            for (const auto &action : std::exchange(self.pausedInputs, {})) {
                action();
            }
        });
        break;
    case FaultKind::CutOneWay:
        this->cut(node, other, until);
        break;
    case FaultKind::CutBothWays:
        this->cut(node, other, until);
        this->cut(other, node, until);
        break;
    case FaultKind::Isolate:
        for (int peer = 0; peer < this->schedule.nodes; ++peer) {
            this->cut(node, peer, until);
            this->cut(peer, node, until);
        }
        break;
    case FaultKind::CutOutgoingAndLog:
        entry.logCutUntil = std::max(entry.logCutUntil, until + fault.duration);
        [[fallthrough]];
    case FaultKind::CutOutgoing:
        for (int peer = 0; peer < this->schedule.nodes; ++peer) {
            this->cut(node, peer, until);
        }
        break;
    case FaultKind::LogOutage:
        this->logDownUntil = std::max(this->logDownUntil, until);
        break;
    case FaultKind::LogCut:
        entry.logCutUntil = std::max(entry.logCutUntil, until);
        break;
    case FaultKind::LogLag:
        entry.logLagUntil = until;
        entry.logLag = fault.duration;
        break;
    case FaultKind::LogSingleReads:
        entry.singleReadsUntil = until;
        break;
    case FaultKind::SlowMessages:
        this->slowUntil[{node, other}] = until;
        this->slowBy[{node, other}] = fault.duration;
        break;
    case FaultKind::LossyMesh:
        this->lossyUntil = std::max(this->lossyUntil, until);
        break;
    case FaultKind::Move:
        this->input(node, [this, other](OwnershipEngine &engine, Time time) {
            const Session *target = engine.cluster().findNode(nodeName(other));
            const ServiceState *slots = engine.cluster().findService(service);
            std::vector<Slot> chosen;
            for (Slot slot = 0; slots != nullptr && slot < slots->slots.size(); ++slot) {
                const bool own = slots->slots[slot].owner == engine.ownSession().session;
                if (own && this->random() < 0.6) {
                    chosen.push_back(slot);
                }
            }
            if (target != nullptr) {
                engine.requestMove(chosen, target->id, time);
            }
        });
        break;
    case FaultKind::Drain:
        entry.restartAfter = fault.duration;
        this->input(node, [](OwnershipEngine &engine, Time time) { engine.requestDrain(time); });
        break;
    case FaultKind::Upstream:
        this->input(node, [](OwnershipEngine &engine, Time time) {
            engine.setUpstream(std::nullopt, time);
        });
        this->runAt(until, [this, node] {
            this->input(node, [](OwnershipEngine &engine, Time time) {
                engine.setUpstream(UpstreamInfo{std::string(service), true}, time);
            });
        });
        break;
    case FaultKind::Bind:
    case FaultKind::Unbind:
        this->input(node, [this, fault](OwnershipEngine &engine, Time time) {
            for (int key = 0; key < keys; ++key) {
                if (this->random() < 0.5 && fault.kind == FaultKind::Bind) {
                    engine.requestBind(keyHash(key), time);
                } else if (fault.kind == FaultKind::Unbind) {
                    engine.requestUnbind(keyHash(key), time);
                }
            }
        });
        break;
    }
}

// ---- mesh ----

void World::sendMessage(int from, const OutgoingMessage &message)
{
    const int to = std::stoi(message.node.substr(1));
    if (this->cutUntil[{from, to}] > this->now
        || (this->now < this->lossyUntil && this->random() < 0.5)) {
        return;
    }
    Duration delay = 100us + this->randomUpTo(maxMeshDelay);
    if (this->slowUntil[{from, to}] > this->now) {
        delay += this->faultDelay(this->slowBy[{from, to}]);
    }
    this->runAt(this->now + delay, [this, to, wire = message.message] {
        this->input(to,
                    [wire](OwnershipEngine &engine, Time time) { engine.onMessage(wire, time); });
    });
}

// ---- log ----

void World::storeRecord(const wire::LogRecord &record)
{
    this->log.push_back(record);
}

// An append may be lost, be slow, or take effect twice, as if its reply was lost and it was
// repeated.
void World::appendRecord(int node, const wire::LogRecord &record)
{
    const bool slow = !this->options.directed && this->random() < slowAppendShare;
    const Duration delay = this->randomUpTo(slow ? Duration(1500ms) : maxLogDelay);
    const bool twice = this->random() < repeatedAppendShare;
    const auto store = [this, node, record] {
        const Node &self = this->nodes[static_cast<std::size_t>(node)];
        if (this->now >= this->logDownUntil && this->now >= self.logCutUntil) {
            this->storeRecord(record);
        }
    };
    this->runAt(this->now + delay, store);
    if (twice) {
        this->runAt(this->now + delay + this->randomUpTo(800ms), store);
    }
}

void World::poll(int node)
{
    Node &entry = this->nodes[static_cast<std::size_t>(node)];
    const Duration delay = this->randomUpTo(maxLogDelay);
    const std::uint64_t instance = entry.instance;
    const Duration asked = this->now;
    this->runAt(this->now + delay, [this, node, instance, asked] {
        this->answerPoll(node, instance, asked, this->now + pollHoldTime);
    });
}

// Answers a long poll when there are records to read, or at the deadline. A process that has not
// caught up gets an answer at once.
void World::answerPoll(int node, std::uint64_t instance, Duration asked, Duration deadline)
{
    Node &entry = this->nodes[static_cast<std::size_t>(node)];
    if (entry.instance != instance || entry.engine == nullptr) {
        return;
    }
    if (this->now < this->logDownUntil || this->now < entry.logCutUntil) {
        this->input(node,
                    [](OwnershipEngine &engine, Time time) { engine.onLogAnswering(false, time); });
        this->runAt(this->now + pollRetryDelay, [this, node, instance] {
            if (this->nodes[static_cast<std::size_t>(node)].instance == instance) {
                this->poll(node);
            }
        });
        return;
    }
    const Offset next = entry.engine->nextOffset();
    const bool fresh = entry.instance == instance && !entry.engine->hasCaughtUp();
    if (next >= this->log.size() && this->now < deadline && !fresh) {
        this->runAt(this->now + 5ms, [this, node, instance, asked, deadline] {
            this->answerPoll(node, instance, asked, deadline);
        });
        return;
    }
    const Offset end = this->log.size();
    const bool hasSingleReads = this->now < entry.singleReadsUntil;
    const Offset last = hasSingleReads ? std::min(next + 1, end) : end;
    const std::vector<wire::LogRecord> batch(
            this->log.begin() + static_cast<std::ptrdiff_t>(std::min(next, last)),
            this->log.begin() + static_cast<std::ptrdiff_t>(last));
    Duration delay = this->randomUpTo(maxLogDelay);
    if (hasSingleReads) {
        delay += singleReadTime;
    }
    if (this->now < entry.logLagUntil) {
        delay += this->faultDelay(entry.logLag);
    }
    const Time askedLocal = this->localTime(node, asked);
    this->runAt(this->now + delay, [this, node, instance, batch, next, end, askedLocal] {
        const auto applyInput = [batch, next, end, askedLocal](OwnershipEngine &engine, Time time) {
            engine.onLogAnswering(true, time);
            for (std::size_t index = 0; index < batch.size(); ++index) {
                engine.onRecord(next + index, batch[index], time);
            }
            engine.onLogEnd(end, askedLocal, time);
        };
        if (this->nodes[static_cast<std::size_t>(node)].instance != instance) {
            return;
        }
        this->input(node, applyInput);
        Node &self = this->nodes[static_cast<std::size_t>(node)];
        const Duration again = std::max(this->now, self.pausedUntil);
        this->runAt(again, [this, node, instance] {
            if (this->nodes[static_cast<std::size_t>(node)].instance == instance) {
                this->poll(node);
            }
        });
    });
}

// ---- calls ----

// Tries to run a call for the key at the node. If it is allowed, the upstream runs it for up to the
// granted time, or for 1 ms if calls are quick.
void World::call(int node, int key)
{
    this->runAt(this->now + this->options.callInterval / 2
                        + this->randomUpTo(this->options.callInterval),
                [this, node, key] { this->call(node, key); });
    Node &entry = this->nodes[static_cast<std::size_t>(node)];
    if (entry.engine == nullptr || this->now < entry.pausedUntil) {
        return;
    }
    const Time local = this->localTime(node, this->now);
    const ServeAnswer answer = entry.engine->mayServe(service, keyHash(key), local);
    if (node == this->options.traceNode) {
        this->allAnswers.push_back({this->recorded.size(), local, key, answer});
    }
    if (answer.error != ErrorKind::None) {
        return;
    }
    Duration lasts = this->options.quickCalls ? Duration(1ms) : this->options.maxCallTime;
    if (!this->options.quickCalls && this->random() < 0.5) {
        lasts = this->randomUpTo(lasts);
    }
    // The process and its upstream use the same clock for the expiry.
    const Duration granted = std::min(answer.leaseEnd - local, lasts);
    const Duration real(
            static_cast<Duration::rep>(static_cast<double>(granted.count()) / entry.rate));
    const Run run{node, key, this->now, this->now + real};
    for (auto past = this->allRuns.rbegin(); past != this->allRuns.rend(); ++past) {
        if (past->key == key && past->node != node && past->until > run.from) {
            this->foundViolations.push_back(
                    absl::StrFormat("key %d: n%d ran from %.4f to %.4f, n%d from %.4f to %.4f", key,
                                    past->node, toSeconds(past->from), toSeconds(past->until), node,
                                    toSeconds(run.from), toSeconds(run.until)));
            break;
        }
        if (past->from + 2s < this->now) {
            break; // no call lasts longer than 2 s
        }
    }
    this->allRuns.push_back(run);
    std::erase_if(entry.running, [this](const Run &past) { return past.until <= this->now; });
    entry.running.push_back(run);
    this->servedTimes[static_cast<std::size_t>(key)].push_back(this->now);
}

// ---- findings ----

Duration World::findMaxGap(int key, Duration from, Duration until) const
{
    Duration maxGap{0};
    Duration last = from;
    for (const Duration served : this->servedTimes.at(static_cast<std::size_t>(key))) {
        if (served > from && served <= until) {
            maxGap = std::max(maxGap, served - last);
            last = served;
        }
    }
    return std::max(maxGap, until - last);
}

} // namespace kumquat::test
