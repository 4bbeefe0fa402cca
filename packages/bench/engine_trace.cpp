// Sections: traces, events, processes, links, log, faults, results.
#include "bench/engine_trace.h"

#include "ownership/replay.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>

namespace kumquat::bench {

namespace {

constexpr int dataCentres = 6;
constexpr int regions = 3;
constexpr Duration delayWithinDataCentre = 100us; // one way
constexpr Duration longPollTimeout = 10s;
constexpr Duration pollRetry = 200ms;     // delay after a poll that the log did not answer
constexpr Duration checkInterval = 5ms;   // between two checks of the lost slots
constexpr Duration sampleInterval = 20ms; // between two checks of the sampled slots
constexpr double frameBytes = 66;         // Ethernet, IP, TCP and ZMTP headers of one message
constexpr double pollBytes = 300;         // HTTP headers of one poll and its answer

constexpr Time distributeAt = 10s; // all sessions have joined by then
constexpr Time steadyFrom = 30s;
constexpr Time faultAt = 60s;
constexpr Duration logOutage = 60s;
constexpr Duration lossDelayInOutage = 20s;
constexpr Duration faultPeriod = 10s;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

// --- traces ---

std::vector<EngineTrace> makeEngineTraces(std::uint64_t seed)
{
    std::vector<EngineTrace> traces;
    for (const EngineFault fault :
         {EngineFault::OwnerLost, EngineFault::DataCentreLost, EngineFault::LostInLogOutage}) {
        traces.push_back({"teranga", {{"testlog", 10}, {"certdesk", 6}}, 1ms, 30ms, fault, seed});
        traces.push_back(
                {"sahya", {{"habit-core", 8}, {"bonus-hub", 6}}, 1500us, 30ms, fault, seed});
    }
    return traces;
}

EngineTrace makeBusyLogTrace(int nodes, std::uint64_t seed)
{
    constexpr double logRate = 300; // appends/s
    constexpr double nodesOfLog = 550;
    const int endpointsPerService = nodes / 2;
    EngineTrace trace{"busy-log",
                      {{"service-0", endpointsPerService}, {"service-1", endpointsPerService}},
                      1ms,
                      30ms,
                      EngineFault::DataCentreLost,
                      seed};
    trace.logRate = logRate * nodes / nodesOfLog;
    return trace;
}

// --- events ---

EngineSimulation::EngineSimulation(EngineTrace replayed)
    : trace(std::move(replayed))
    , random(trace.seed)
{
    this->log.resize(1); // offset 0 is never used as a session id
    for (const ServiceSize &service : this->trace.services) {
        for (int index = 0; index < service.endpoints; ++index) {
            Node node;
            node.service = service.name;
            node.dataCentre = index % dataCentres;
            node.region = node.dataCentre * regions / dataCentres;
            this->nodes.push_back(std::move(node));
        }
    }
}

void EngineSimulation::schedule(Time when, std::function<void()> action)
{
    this->events.push({std::max(when, this->now), ++this->lastSequence, std::move(action)});
}

void EngineSimulation::runUntil(Time end)
{
    while (!this->events.empty() && this->events.top().at <= end) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
    this->now = end;
}

// --- processes ---

void EngineSimulation::start(int index)
{
    Node &node = this->nodes[static_cast<std::size_t>(index)];
    EngineSettings settings;
    settings.node = "n" + std::to_string(index);
    settings.incarnation = this->random.next() | 1;
    settings.meshAddress = "127.0.0.1:" + std::to_string(7'000 + index);
    settings.callerAddress = "127.0.0.1:" + std::to_string(8'000 + index);
    settings.adminAddress = "127.0.0.1:" + std::to_string(9'000 + index);
    settings.region = "r" + std::to_string(node.region);
    settings.dataCentre = "d" + std::to_string(node.dataCentre);
    node.engine = OwnershipEngine::create(settings, makeIdleHooks()).value();
    node.engine->start(this->now);
    node.engine->setUpstream(UpstreamInfo{node.service, true}, this->now);
    this->processOutput(index);
    this->poll(index);
}

// Sends the messages and appends the log records that the engine has produced.
void EngineSimulation::processOutput(int index)
{
    Node &node = this->nodes[static_cast<std::size_t>(index)];
    const EngineOutput output = node.engine->takeOutput();
    for (const OutgoingMessage &message : output.messages) {
        this->send(index, message);
    }
    for (const wire::LogRecord &record : output.records) {
        this->append(index, record);
    }
    for (const PeerView &peer : node.engine->ownSession().peers) {
        if (peer.incarnation != 0 && !peer.journalComplete) {
            node.engine->setJournalComplete(peer.node, peer.incarnation, this->now);
        }
    }
    this->scheduleTick(index);
}

void EngineSimulation::scheduleTick(int index)
{
    Node &node = this->nodes[static_cast<std::size_t>(index)];
    const auto due = node.engine->nextDue();
    if (!due || (node.nextTick > this->now && node.nextTick <= *due)) {
        return;
    }
    const Time when = std::max(*due, this->now + 1ms);
    node.nextTick = when;
    this->schedule(when, [this, index, when] {
        Node &self = this->nodes[static_cast<std::size_t>(index)];
        if (self.engine == nullptr || self.nextTick != when) {
            return;
        }
        self.engine->onTick(this->now);
        this->processOutput(index);
    });
}

// --- links ---

Duration EngineSimulation::delayBetween(int from, int to) const
{
    const Node &left = this->nodes[static_cast<std::size_t>(from)];
    const Node &right = this->nodes[static_cast<std::size_t>(to)];
    if (left.dataCentre == right.dataCentre) {
        return delayWithinDataCentre;
    }
    return left.region == right.region ? this->trace.betweenDataCentres
                                       : this->trace.betweenRegions;
}

Duration EngineSimulation::delayToLog(int index) const
{
    const bool isNear = this->nodes[static_cast<std::size_t>(index)].region == 0;
    return isNear ? this->trace.betweenDataCentres : this->trace.betweenRegions;
}

void EngineSimulation::send(int from, const OutgoingMessage &message)
{
    const int to = std::stoi(message.node.substr(1));
    this->nodes[static_cast<std::size_t>(from)].bytes +=
            frameBytes + static_cast<double>(message.message.ByteSizeLong());
    this->schedule(this->now + this->delayBetween(from, to), [this, to, content = message.message] {
        Node &node = this->nodes[static_cast<std::size_t>(to)];
        if (node.engine != nullptr) {
            node.engine->onMessage(content, this->now);
            this->processOutput(to);
        }
    });
}

// --- log ---

void EngineSimulation::append(int index, const wire::LogRecord &record)
{
    this->nodes[static_cast<std::size_t>(index)].bytes +=
            pollBytes + static_cast<double>(record.ByteSizeLong());
    this->schedule(this->now + this->delayToLog(index), [this, record] {
        if (!this->logUp) {
            return;
        }
        if (this->trace.logRate <= 0) {
            this->storeRecord(record);
            return;
        }
        const Duration appendTime(static_cast<Duration::rep>(1e9 / this->trace.logRate));
        this->logBusyUntil = std::max(this->logBusyUntil, this->now) + appendTime;
        this->schedule(this->logBusyUntil, [this, record] { this->storeRecord(record); });
    });
}

void EngineSimulation::storeRecord(const wire::LogRecord &record)
{
    this->log.push_back(record);
    for (int node = 0; node < static_cast<int>(this->nodes.size()); ++node) {
        this->answerPoll(node);
    }
}

void EngineSimulation::poll(int index)
{
    const Time pollSentAt = this->now;
    this->nodes[static_cast<std::size_t>(index)].bytes += pollBytes;
    this->schedule(this->now + this->delayToLog(index), [this, index, pollSentAt] {
        Node &node = this->nodes[static_cast<std::size_t>(index)];
        if (node.engine == nullptr) {
            return;
        }
        if (!this->logUp) {
            this->failPoll(index);
            return;
        }
        node.isPolling = true;
        node.lastPollSentAt = pollSentAt;
        const bool hasNewRecords = node.engine->nextOffset() < this->log.size();
        if (hasNewRecords || !node.hasAnswer || !node.engine->hasCaughtUp()) {
            this->answerPoll(index);
            return;
        }
        this->schedule(this->now + longPollTimeout, [this, index, pollSentAt] {
            Node &self = this->nodes[static_cast<std::size_t>(index)];
            if (self.isPolling && self.lastPollSentAt == pollSentAt) {
                this->answerPoll(index);
            }
        });
    });
}

void EngineSimulation::answerPoll(int index)
{
    Node &node = this->nodes[static_cast<std::size_t>(index)];
    if (!node.isPolling || node.engine == nullptr) {
        return;
    }
    node.isPolling = false;
    const Time pollSentAt = node.lastPollSentAt;
    const Offset end = this->log.size();
    this->schedule(this->now + this->delayToLog(index), [this, index, pollSentAt, end] {
        Node &self = this->nodes[static_cast<std::size_t>(index)];
        if (self.engine == nullptr) {
            return;
        }
        self.hasAnswer = true;
        self.engine->onLogAnswering(true, this->now);
        for (Offset offset = self.engine->nextOffset(); offset < end; ++offset) {
            self.engine->onRecord(offset, this->log[offset], this->now);
        }
        self.engine->onLogEnd(end, pollSentAt, this->now);
        this->processOutput(index);
        this->poll(index);
    });
}

void EngineSimulation::failPoll(int index)
{
    this->schedule(this->now + this->delayToLog(index), [this, index] {
        Node &node = this->nodes[static_cast<std::size_t>(index)];
        if (node.engine != nullptr) {
            node.hasAnswer = false;
            node.engine->onLogAnswering(false, this->now);
            this->processOutput(index);
            this->schedule(this->now + pollRetry, [this, index] {
                if (this->nodes[static_cast<std::size_t>(index)].engine != nullptr) {
                    this->poll(index);
                }
            });
        }
    });
}

// --- faults ---

// Distributes the slots of each service evenly. The first session of a service owns all of them and
// moves an equal share to every other session.
void EngineSimulation::distributeSlots()
{
    for (int index = 0; index < static_cast<int>(this->nodes.size()); ++index) {
        const Node &node = this->nodes[static_cast<std::size_t>(index)];
        const ServiceState *state = node.engine->cluster().findService(node.service);
        const SessionId own = node.engine->ownSession().session;
        if (state == nullptr || state->slots.front().owner != own) {
            continue;
        }
        std::vector<SessionId> members;
        for (const Session *member : node.engine->cluster().members()) {
            if (member->service == node.service) {
                members.push_back(member->id);
            }
        }
        for (std::size_t part = 0; part < members.size(); ++part) {
            std::vector<Slot> slots;
            for (Slot slot = static_cast<Slot>(part); slot < hashedSlotCount;
                 slot += static_cast<Slot>(members.size())) {
                slots.push_back(slot);
            }
            if (members[part] != own) {
                node.engine->requestMove(slots, members[part], this->now);
            }
        }
        this->processOutput(index);
    }
}

void EngineSimulation::injectFault()
{
    constexpr int lostNode = 2;
    constexpr int lostDataCentre = 1;
    switch (this->trace.fault) {
    case EngineFault::OwnerLost:
        this->loseNode(lostNode);
        return;
    case EngineFault::DataCentreLost:
        for (int index = 0; index < static_cast<int>(this->nodes.size()); ++index) {
            if (this->nodes[static_cast<std::size_t>(index)].dataCentre == lostDataCentre) {
                this->loseNode(index);
            }
        }
        return;
    case EngineFault::LostInLogOutage:
        this->logUp = false;
        for (int index = 0; index < static_cast<int>(this->nodes.size()); ++index) {
            Node &node = this->nodes[static_cast<std::size_t>(index)];
            if (std::exchange(node.isPolling, false)) {
                this->failPoll(index);
            }
        }
        this->schedule(this->now + lossDelayInOutage, [this] { this->loseNode(lostNode); });
        this->schedule(this->now + logOutage, [this] { this->logUp = true; });
        return;
    }
}

void EngineSimulation::loseNode(int index)
{
    Node &node = this->nodes[static_cast<std::size_t>(index)];
    const SessionId own = node.engine->ownSession().session;
    const ServiceState *state = node.engine->cluster().findService(node.service);
    for (Slot slot = 0; slot < hashedSlotCount; ++slot) {
        if (state->slots[slot].owner == own) {
            this->lostSlots.push_back({node.service, slot});
        }
    }
    node.engine.reset();
    node.isPolling = false;
    if (this->lostAt == Time(0)) {
        this->schedule(this->now + checkInterval, [this] { this->checkServed(); });
    }
    this->lostAt = this->now;
}

void EngineSimulation::checkServed()
{
    std::erase_if(this->lostSlots, [this](const ServiceSlot &lost) {
        // No slot can be taken over while the log is down.
        const bool isServedAgain = this->logUp && this->isServed(lost);
        if (isServedAgain) {
            this->servedAfter.push_back(toSeconds(this->now - this->lostAt));
        }
        return isServedAgain;
    });
    if (!this->lostSlots.empty()) {
        this->schedule(this->now + checkInterval, [this] { this->checkServed(); });
    }
}

// Selects slots of owners that were not lost, to measure gaps in their service.
void EngineSimulation::sampleSurvivors()
{
    constexpr Slot sampleStep = 127; // 129 slots of each service, spread over all owners
    for (const ServiceSize &service : this->trace.services) {
        for (Slot slot = 0; slot < hashedSlotCount; slot += sampleStep) {
            const ServiceSlot sample{service.name, slot};
            if (this->isServed(sample)) {
                this->sampledSlots.push_back({sample, this->now});
            }
        }
    }
    this->schedule(this->now + sampleInterval, [this] { this->checkSurvivors(); });
}

void EngineSimulation::checkSurvivors()
{
    for (SampledSlot &sample : this->sampledSlots) {
        const bool served = this->isServed(sample.slot);
        this->maxServiceGap = std::max(this->maxServiceGap, toSeconds(this->now - sample.servedAt));
        sample.servedAt = served ? this->now : sample.servedAt;
    }
    this->schedule(this->now + sampleInterval, [this] { this->checkSurvivors(); });
}

bool EngineSimulation::isServed(const ServiceSlot &slot) const
{
    return std::any_of(this->nodes.begin(), this->nodes.end(), [this, &slot](const Node &node) {
        if (node.engine == nullptr || node.service != slot.service) {
            return false;
        }
        // The slot of a key hash below the number of slots is the hash itself.
        return node.engine->mayServe(slot.service, slot.slot, this->now).error == ErrorKind::None;
    });
}

// --- results ---

void EngineSimulation::resetBytes()
{
    for (Node &node : this->nodes) {
        node.bytes = 0;
    }
}

double EngineSimulation::bytesPerSecond(Duration span, double &worst) const
{
    double sum = 0;
    double count = 0;
    worst = 0;
    for (const Node &node : this->nodes) {
        if (node.engine != nullptr) {
            sum += node.bytes / toSeconds(span);
            worst = std::max(worst, node.bytes / toSeconds(span));
            count += 1;
        }
    }
    return sum / count;
}

EngineResult EngineSimulation::run()
{
    for (int index = 0; index < static_cast<int>(this->nodes.size()); ++index) {
        const Duration startDelay(static_cast<Duration::rep>(this->random.uniform() * 2e9));
        this->schedule(this->now + startDelay, [this, index] { this->start(index); });
    }
    this->schedule(distributeAt, [this] { this->distributeSlots(); });
    this->runUntil(steadyFrom);
    this->resetBytes();
    this->runUntil(faultAt);
    EngineResult result;
    result.user = this->trace.user;
    result.fault = this->trace.fault;
    result.nodes = static_cast<int>(this->nodes.size());
    result.steadyBytes = this->bytesPerSecond(faultAt - steadyFrom, result.faultBytesWorst);
    this->resetBytes();
    const std::size_t before = this->log.size();
    this->injectFault();
    const bool hasOutage = this->trace.fault == EngineFault::LostInLogOutage;
    this->schedule(this->now + (hasOutage ? lossDelayInOutage : 0s),
                   [this] { this->sampleSurvivors(); });
    const Time settled = faultAt + (hasOutage ? logOutage : 0s);
    this->runUntil(settled);
    this->resetBytes();
    this->runUntil(settled + faultPeriod);
    result.faultBytes = this->bytesPerSecond(faultPeriod, result.faultBytesWorst);
    this->runUntil(settled + 30s);
    result.appends = this->log.size() - before;
    result.maxSurvivorGap = this->maxServiceGap;
    result.unserved = this->lostSlots.size();
    result.lostSlots = this->servedAfter.size() + result.unserved;
    std::sort(this->servedAfter.begin(), this->servedAfter.end());
    if (!this->servedAfter.empty()) {
        result.servedMedian = this->servedAfter[this->servedAfter.size() / 2];
        result.servedWorst = this->servedAfter.back();
        result.servedAfterLog =
                hasOutage ? result.servedWorst - toSeconds(logOutage - lossDelayInOutage) : 0;
    }
    return result;
}

bool EngineResult::meetsTarget() const
{
    constexpr double target = 2; // s, section 1.3 of the design page
    const bool hasOutage = this->fault == EngineFault::LostInLogOutage;
    const double recoveryTime = hasOutage ? this->servedAfterLog : this->servedWorst;
    return this->unserved == 0 && recoveryTime <= target && this->maxSurvivorGap <= target;
}

std::string formatEngineTable(const std::vector<EngineResult> &results)
{
    std::string text =
            "\nownership engines, time until lost slots are served again\n"
            "user     fault               nodes  lost slots  unserved  median s  worst s"
            "  survivors s  after log s  appends  steady B/s  after B/s  worst node B/s  2 s\n";
    for (const EngineResult &result : results) {
        std::array<char, 256> line{};
        const std::string fault(engineFaultNames.nameOf(result.fault));
        std::snprintf(line.data(), line.size(),
                      "%-8s %-18s %6d %11zu %9zu %9.3f %8.3f %12.3f %12.3f %8zu %11.0f %10.0f "
                      "%15.0f  %s\n",
                      result.user.c_str(), fault.c_str(), result.nodes, result.lostSlots,
                      result.unserved, result.servedMedian, result.servedWorst,
                      result.maxSurvivorGap, result.servedAfterLog, result.appends,
                      result.steadyBytes, result.faultBytes, result.faultBytesWorst,
                      result.meetsTarget() ? "met" : "missed");
        text += line.data();
    }
    return text;
}

} // namespace kumquat::bench
