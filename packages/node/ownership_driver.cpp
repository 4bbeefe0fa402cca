#include "node/ownership_driver.h"

#include "base/errors.h"
#include "base/log.h"
#include "base/text.h"
#include "ownership/replay.h"

#include <absl/strings/str_cat.h>

namespace kumquat {
namespace {

// Returns whether the engine handles a message. Other messages, such as forwarded requests, do not
// take the exclusive engine lock.
bool isEngineMessage(const wire::MeshMessage &message)
{
    switch (message.body_case()) {
    case wire::MeshMessage::kRenew:
    case wire::MeshMessage::kGrant:
    case wire::MeshMessage::kSuspect:
    case wire::MeshMessage::kReleaseRequest:
    case wire::MeshMessage::kReleaseReply:
    case wire::MeshMessage::kHandover:
    case wire::MeshMessage::kHandoverRequest:
    case wire::MeshMessage::kHandoverAck:
        return true;
    default:
        return false;
    }
}

} // namespace

absl::StatusOr<std::unique_ptr<OwnershipDriver>>
OwnershipDriver::create(FiberThread &thread, Mesh &mesh, EngineSettings settings,
                        EngineHooks engineHooks, LogClientSettings logSettings, DriverHooks hooks)
{
    const std::string node = settings.node;
    auto engine = OwnershipEngine::create(std::move(settings), std::move(engineHooks));
    if (!engine.ok()) {
        return engine.status();
    }
    return std::unique_ptr<OwnershipDriver>(new OwnershipDriver(
            thread, mesh, *std::move(engine), node, std::move(logSettings), std::move(hooks)));
}

OwnershipDriver::OwnershipDriver(FiberThread &driverThread, Mesh &driverMesh,
                                 std::unique_ptr<OwnershipEngine> driverEngine,
                                 std::string nodeName, LogClientSettings logSettings,
                                 DriverHooks driverHooks)
    : thread(driverThread)
    , mesh(driverMesh)
    , node(std::move(nodeName))
    , hooks(std::move(driverHooks))
    , engine(std::move(driverEngine))
    , log(driverThread, std::move(logSettings),
          {.receive = [this](std::uint64_t offset,
                             wire::LogRecord &&record) { this->acceptRecord(offset, record); },
           .reachEnd =
                   [this](std::uint64_t end, Time askedAt) {
                       this->applyInput(
                               [&](Time now) { this->engine->onLogEnd(end, askedAt, now); });
                   },
           .skipGap =
                   [this](std::uint64_t firstKept) {
                       this->applyInput(
                               [&](Time now) { this->engine->onFirstKept(firstKept, now); });
                   },
           .reportAnswering =
                   [this](bool answering) {
                       this->logAnswering = answering;
                       this->applyInput(
                               [&](Time now) { this->engine->onLogAnswering(answering, now); });
                   }})
    , tick(driverThread, [this](Time) { this->advanceEngine(); })
    , relayTick(driverThread, [this](Time now) { this->advanceRelay(now); })
{}

void OwnershipDriver::start()
{
    this->thread.post([this] {
        this->applyInput([this](Time now) { this->engine->start(now); });
        this->log.startReading(0);
    });
}

// ---- Inputs ----

absl::Status OwnershipDriver::recordTrace(const std::string &path)
{
    this->trace.open(path, std::ios::binary | std::ios::trunc);
    if (!this->trace) {
        return makeError(ErrorKind::SettingsInvalid, absl::StrCat("cannot write trace ", path));
    }
    this->engine->setTrace([this](const wire::TraceEvent &event) { this->writeTrace(event); });
    return absl::OkStatus();
}

void OwnershipDriver::writeTrace(const wire::TraceEvent &event)
{
    std::string bytes;
    appendTraceEvent(bytes, event);
    this->trace << bytes << std::flush;
}

template <typename Function>
void OwnershipDriver::applyInput(Function function)
{
    EngineOutput output;
    OwnSession session;
    {
        const std::unique_lock lock(this->engineMutex);
        function(readBootTime());
        output = this->engine->takeOutput();
        session = this->engine->ownSession();
    }
    this->carryOut(std::move(output));
    this->hooks.reportSession(session);
    this->armTick();
}

void OwnershipDriver::carryOut(EngineOutput &&output)
{
    for (OutgoingMessage &outgoing : output.messages) {
        outgoing.message.clear_from(); // the receiver knows the sender from the connection
        if (outgoing.message.has_grant() && this->relay.hasRecentRecord(readBootTime())) {
            outgoing.message.mutable_grant()->set_log_offset(this->relay.next());
        }
        this->mesh.send(outgoing.meshAddress, outgoing.message);
    }
    for (const wire::LogRecord &record : output.records) {
        this->log.append(record);
    }
}

void OwnershipDriver::armTick()
{
    std::optional<Time> due;
    {
        const std::shared_lock lock(this->engineMutex);
        due = this->engine->nextDue();
    }
    this->tick.arm(due);
}

void OwnershipDriver::acceptRecord(std::uint64_t offset, const wire::LogRecord &record)
{
    std::uint64_t version = 0;
    this->applyInput([&](Time now) {
        version = this->engine->cluster().rules().version;
        this->engine->onRecord(offset, record, now);
    });
    // The last part of a checkpoint completes the state up to the offset that the checkpoint
    // covers, which is before the checkpoint's own records. The records after that offset must be
    // read again.
    if (const Offset nextNeeded = this->nextOffset(); nextNeeded <= offset) {
        this->log.readFrom(nextNeeded);
    }
    this->relay.keep(offset, record, readBootTime());
    this->updateRules(version);
    for (const SessionId session : record.fence().sessions()) {
        this->hooks.reportFenced(session);
    }
    if (record.has_crash_suspect()) {
        this->hooks.reportCrash(record.crash_suspect());
    }
}

void OwnershipDriver::updateRules(std::uint64_t previousVersion)
{
    const auto version = this->withEngine(
            [](const OwnershipEngine &state) { return state.cluster().rules().version; });
    if (version == previousVersion) {
        return;
    }
    const RulesState state = this->rulesText();
    // An invalid file cannot be published, so a fault here means that another version of the
    // program published the rules.
    auto parsed = parseRules(state.text, "rules");
    if (!parsed.ok()) {
        logError(LogPart::Rules, "published rules are not valid; keeping the previous ones",
                 {{"version", absl::StrCat(state.version)}});
        return;
    }
    {
        const std::unique_lock lock(this->rulesMutex);
        this->currentRules = std::make_shared<const RuleSet>(*std::move(parsed));
    }
    logInfo(LogPart::Rules, "rules in force",
            {{"version", absl::StrCat(state.version)}, {"author", state.author}});
}

void OwnershipDriver::receive(wire::MeshMessage &&message)
{
    this->noteOffset(message);
    if (!isEngineMessage(message)) {
        if (!this->receiveRelay(message)) {
            this->hooks.receiveOther(message);
        }
        return;
    }
    this->applyInput([&](Time now) { this->engine->onMessage(message, now); });
}

void OwnershipDriver::setUpstream(const std::optional<UpstreamInfo> &upstream)
{
    this->applyInput([&](Time now) { this->engine->setUpstream(upstream, now); });
}

void OwnershipDriver::requestDrain()
{
    this->applyInput([&](Time now) { this->engine->requestDrain(now); });
}

void OwnershipDriver::requestMove(const std::vector<Slot> &slots, SessionId target)
{
    this->applyInput([&](Time now) { this->engine->requestMove(slots, target, now); });
}

void OwnershipDriver::requestBind(std::uint64_t keyHash)
{
    this->applyInput([&](Time now) { this->engine->requestBind(keyHash, now); });
}

void OwnershipDriver::requestUnbind(std::uint64_t keyHash)
{
    this->applyInput([&](Time now) { this->engine->requestUnbind(keyHash, now); });
}

void OwnershipDriver::setJournalComplete(const OwnSession &session)
{
    this->applyInput([&](Time now) {
        for (const PeerView &peer : session.peers) {
            this->engine->setJournalComplete(peer.node, peer.incarnation, now);
        }
    });
}

void OwnershipDriver::append(const wire::LogRecord &record)
{
    this->log.append(record);
}

void OwnershipDriver::advanceEngine()
{
    this->applyInput([this](Time now) { this->engine->onTick(now); });
}

void OwnershipDriver::wake()
{
    if (this->wakePosted.exchange(true)) {
        return;
    }
    this->thread.post([this] {
        this->wakePosted = false;
        this->advanceEngine();
    });
}

// ---- Records from other processes ----

void OwnershipDriver::noteOffset(const wire::MeshMessage &message)
{
    Offset offset = 0;
    if (message.has_grant()) {
        offset = message.grant().log_offset();
    } else if (message.has_forward()) {
        offset = message.forward().log_offset();
    } else if (message.has_forward_reply()) {
        offset = message.forward_reply().log_offset();
    }
    if (offset > this->relay.next()) {
        this->relay.noteOffset(offset, message.from(), readBootTime());
        this->relayTick.arm(this->relay.nextDue());
    }
}

bool OwnershipDriver::receiveRelay(const wire::MeshMessage &message)
{
    if (message.has_relay_query()) {
        wire::MeshMessage reply;
        *reply.mutable_relay_reply() = this->relay.answer(message.relay_query().from());
        this->sendTo(message.from(), reply);
        return true;
    }
    if (message.has_relay_reply()) {
        this->acceptRelayed(message.relay_reply());
        return true;
    }
    return false;
}

void OwnershipDriver::acceptRelayed(const wire::RelayReply &reply)
{
    // Until the end of the log is known, relayed records may belong to a state that a checkpoint
    // will replace.
    if (!this->log.knowsEnd()) {
        return;
    }
    Offset offset = reply.from();
    for (const std::string &bytes : reply.records()) {
        wire::LogRecord record;
        if (offset == this->nextOffset() && record.ParseFromString(bytes)) {
            this->log.readFrom(offset + 1);
            this->acceptRecord(offset, record);
        }
        ++offset;
    }
}

void OwnershipDriver::advanceRelay(Time now)
{
    if (this->relay.takeQuery(now)) {
        wire::MeshMessage message;
        *message.mutable_relay_query() = this->relay.makeQuery();
        this->sendTo(this->relay.source(), message);
    }
    this->relayTick.arm(this->relay.nextDue());
}

void OwnershipDriver::sendTo(const std::string &receiver, const wire::MeshMessage &message)
{
    const std::string address = this->meshAddressOf(receiver);
    if (!address.empty()) {
        this->mesh.send(address, message);
    }
}

// ---- Queries ----

ServeAnswer OwnershipDriver::mayServe(std::string_view service, std::uint64_t keyHash) const
{
    const std::shared_lock lock(this->engineMutex);
    return this->engine->mayServe(service, keyHash, readBootTime());
}

RouteAnswer OwnershipDriver::route(std::string_view service, std::uint64_t keyHash) const
{
    const std::shared_lock lock(this->engineMutex);
    return this->engine->route(service, keyHash);
}

Slot OwnershipDriver::slotOf(std::string_view service, std::uint64_t keyHash) const
{
    const std::shared_lock lock(this->engineMutex);
    const auto view = this->engine->cluster().find(service, keyHash);
    return view ? view->slot : kumquat::slotOf(keyHash);
}

std::vector<LineageSession> OwnershipDriver::findLineage(std::string_view service, Slot slot) const
{
    const std::shared_lock lock(this->engineMutex);
    const ClusterState &cluster = this->engine->cluster();
    const Time now = readBootTime();
    std::vector<LineageSession> lineage;
    for (const SessionId id : this->engine->journalSessions(service, slot)) {
        const std::optional<Time> endedAt = this->engine->endReadAt(id);
        if (endedAt && now - *endedAt > requestIdLifetime) {
            continue;
        }
        LineageSession entry;
        entry.session = id;
        // For a session that is no longer known no peers can be queried, so the verdict will be
        // Unknown.
        if (const Session *session = cluster.findSession(id)) {
            for (const PeerSet &set : session->peerSets) {
                entry.peerSets.push_back({set.generation, set.peers});
            }
        }
        lineage.push_back(std::move(entry));
    }
    return lineage;
}

bool OwnershipDriver::hasReleased(SessionId session) const
{
    const std::shared_lock lock(this->engineMutex);
    return this->engine->hasReleased(session);
}

std::string OwnershipDriver::meshAddressOf(std::string_view name) const
{
    const std::shared_lock lock(this->engineMutex);
    const Session *session = this->engine->cluster().findNode(name);
    return session == nullptr ? std::string() : session->meshAddress;
}

std::string OwnershipDriver::nodeOf(SessionId id) const
{
    const std::shared_lock lock(this->engineMutex);
    const Session *session = this->engine->cluster().findSession(id);
    return session == nullptr ? std::string() : session->node;
}

SessionId OwnershipDriver::session() const
{
    const std::shared_lock lock(this->engineMutex);
    return this->engine->ownSession().session;
}

Offset OwnershipDriver::nextOffset() const
{
    const std::shared_lock lock(this->engineMutex);
    return this->engine->nextOffset();
}

bool OwnershipDriver::isDraining() const
{
    const std::shared_lock lock(this->engineMutex);
    return this->engine->isDraining();
}

bool OwnershipDriver::isDrained() const
{
    const std::shared_lock lock(this->engineMutex);
    return this->engine->isDrained();
}

DriverStatus OwnershipDriver::status() const
{
    const std::shared_lock lock(this->engineMutex);
    const ClusterState &cluster = this->engine->cluster();
    const Time now = readBootTime();
    DriverStatus status;
    status.session = this->engine->ownSession().session;
    status.rulesVersion = cluster.rules().version;
    status.logOffset = this->engine->nextOffset();
    status.logAnswering = this->logAnswering;
    status.lease = std::max(this->engine->leaseEnd(now) - now, Duration::zero());
    status.draining = this->engine->isDraining();
    for (const Session *member : cluster.members()) {
        status.members.push_back(
                {member->node, member->adminAddress, member->service, member->id, member->slots});
        if (member->id == status.session) {
            status.service = member->service;
            status.slots = member->slots;
        }
    }
    return status;
}

RulesState OwnershipDriver::rulesText() const
{
    const std::shared_lock lock(this->engineMutex);
    return this->engine->cluster().rules();
}

std::optional<RouteAnswer> OwnershipDriver::findOwner(const std::string &service,
                                                      const std::string &key,
                                                      std::string &adminAddress) const
{
    const std::shared_lock lock(this->engineMutex);
    const std::uint64_t keyHash = hashKey(service, key);
    if (!this->engine->cluster().find(service, keyHash)) {
        return std::nullopt;
    }
    RouteAnswer answer = this->engine->route(service, keyHash);
    const Session *session = this->engine->cluster().findSession(answer.session);
    adminAddress = session == nullptr ? std::string() : session->adminAddress;
    return answer;
}

std::shared_ptr<const RuleSet> OwnershipDriver::rules() const
{
    const std::shared_lock lock(this->rulesMutex);
    return this->currentRules;
}

} // namespace kumquat
