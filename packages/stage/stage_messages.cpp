// Messages between Stage and other processes.
// Sections: messages of other processes, state exchange, requests that crash upstreams.
#include "stage/stage.h"

#include "base/durations.h"
#include "base/log.h"
#include "base/text.h"
#include "platform/configuration.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr Duration gossipTimeout = 900ms;      // at least three round trips between regions
constexpr Duration broadcastTimeout = 400ms;   // then other hosts become heads of the branch
constexpr Duration fetchInterval = 50ms;       // between two state queries
constexpr std::size_t maxQuarantinedSent = 16; // per message

} // namespace

// ---- Messages of other processes ----

void Stage::onMessage(const LinkPeer &peer, LinkMessage message, const LinkReply &reply)
{
    const Time now = readBootTime();
    wire::LinkFrame answer;
    this->coordinator.noteHeard(peer.node);
    this->lateMessages.note(peer.node, message.excessDelay);
    switch (message.head.content_case()) {
    case wire::LinkFrame::kExecute:
        this->onExecute(peer, std::move(message), reply);
        break;
    case wire::LinkFrame::kCancel:
        this->executor.cancel({.connection = peer.number, .call = message.head.call()});
        break;
    case wire::LinkFrame::kVouch:
        this->onVoteRequest(message.head.vouch(), reply);
        this->noteKnown(peer.node, message.head.vouch().known());
        break;
    case wire::LinkFrame::kReleaseQuery:
        answer.mutable_release_reply()->set_released(
                this->hasVoterReleased(message.head.release_query()));
        reply(answer, {});
        break;
    case wire::LinkFrame::kStopQuery:
        *answer.mutable_stop_reply() = this->keys.answerStop(message.head.stop_query(), now);
        reply(answer, {});
        if (message.head.stop_query().tables_end() > this->view.tablesEnd()) {
            this->fetchState(peer.node);
        }
        break;
    case wire::LinkFrame::kLoadReport:
        this->coordinator.noteReport(peer.node, message.head.load_report(), now);
        *answer.mutable_load_ack()->mutable_known() = this->known();
        reply(answer, {});
        this->noteKnown(peer.node, message.head.load_report().known());
        break;
    case wire::LinkFrame::kStateQuery:
        *answer.mutable_state_reply() = this->view.stateSince(message.head.state_query().known());
        *answer.mutable_state_reply()->mutable_known() = this->known();
        reply(answer, {});
        break;
    case wire::LinkFrame::kStateReply: {
        wire::StateReply &update = *message.head.mutable_state_reply();
        this->onState(peer.node, update);
        answer.mutable_load_ack();
        reply(answer, {});
        const std::vector<std::string> nodes(update.pass_on().begin(), update.pass_on().end());
        update.clear_pass_on();
        this->broadcast(std::make_shared<wire::StateReply>(std::move(update)), nodes);
        break;
    }
    default:
        logWarning(LogPart::Mesh, "message of unknown type dropped", {{"node", peer.node}});
        break;
    }
}

void Stage::onExecute(const LinkPeer &peer, LinkMessage message, const LinkReply &reply)
{
    const ExecuteCaller caller{.connection = peer.number, .call = message.head.call()};
    wire::Execute execute = std::move(*message.head.mutable_execute());
    // The time left shrinks by the delay of the message; the caller's host counts this delay as
    // well.
    const auto delayed =
            std::chrono::duration_cast<std::chrono::milliseconds>(message.excessDelay).count();
    const auto left = static_cast<std::int64_t>(execute.remaining_ms()) - delayed;
    execute.set_remaining_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0)));
    if (this->isTableOverdue(execute.tables_end())) {
        this->fetchState(peer.node);
    }
    // Refuses without starting a fiber: refusals must be cheap while requests arrive faster than
    // they are served.
    const WorkKind kind =
            execute.has_key() && !execute.is_call() ? WorkKind::Request : WorkKind::Call;
    const auto refusal =
            message.lacksRoom
                    ? std::optional<AdmissionRefusal>(AdmissionRefusal{.retryAfter = memoryRetry})
                    : this->isOverloaded(kind);
    if (refusal) {
        wire::LinkFrame frame;
        *frame.mutable_execute_reply() = this->executor.refuse(
                execute, *refusal, message.lacksRoom ? "memory-full" : "behind");
        reply(frame, {});
        return;
    }
    this->executor.announce(caller, readBootTime(), message.excessDelay);
    auto work = [this, caller, reply, execute = std::move(execute),
                 body = SharedBody(std::move(message.body), std::move(message.charge))]() mutable {
        ExecuteResult result = this->executor.run(execute, std::move(body), caller);
        wire::LinkFrame frame;
        *frame.mutable_execute_reply() = std::move(result.reply);
        reply(frame, SharedBody(std::move(result.body), std::move(result.charge)));
    };
    this->thread.spawn(std::move(work), WakeOrder::Last);
}

void Stage::onVoteRequest(const wire::Vouch &request, const LinkReply &reply)
{
    wire::LinkFrame frame;
    wire::VouchReply &answer = *frame.mutable_vouch_reply();
    const bool isVoteRequested = request.session() != 0;
    answer.set_granted(isVoteRequested
                       && this->voter.vote(this->view.table(request.service()), request.session(),
                                           readBootTime()));
    *answer.mutable_known() = this->known();
    *answer.mutable_load() = this->executor.load(this->settings.node, readBootTime());
    reply(frame, {});
    this->applyQuarantined(request, readBootTime());
    if (!request.load().node().empty()) {
        this->picker.noteLoad(request.load().node(), decodeLoad(request.load()), readBootTime());
    }
}

bool Stage::hasVoterReleased(const wire::ReleaseQuery &query) const
{
    return this->voter.hasReleased(this->view.table(query.service()), query.session(),
                                   query.ended_at(), readBootTime());
}

// ---- State exchange ----

void Stage::onState(const std::string &node, const wire::StateReply &state)
{
    this->view.noteEraOf(state.known(), readBootTime());
    if (!state.config().empty()) {
        auto configuration = platform::decodeConfiguration(state.config());
        if (configuration.ok()) {
            this->view.applyConfiguration(*std::move(configuration), state.config(), node);
        } else {
            logWarning(LogPart::Rules, "invalid configuration ignored",
                       {{"source", node},
                        {"reason", std::string(toStd(configuration.status().message()))}});
        }
    }
    for (const wire::StateItem &item : state.hosts()) {
        this->view.applyHost(item.key(), item.offset(), item.value());
    }
    for (const wire::StateItem &item : state.tables()) {
        this->view.applyTable(item.key(), item.offset(), item.value());
    }
    CrashGuard &guard = this->executor.crashGuard();
    for (const wire::CrashNotice &notice : state.crashes()) {
        guard.applyRecord({notice.fingerprints().begin(), notice.fingerprints().end()},
                          notice.crash(), readBootTime());
    }
    for (const Fingerprint fingerprint : state.cleared()) {
        guard.clear(fingerprint);
    }
}

wire::Known Stage::known() const
{
    wire::Known known = this->view.known();
    known.set_reads_store(!this->follower.isStoreLost());
    const std::uint32_t era = storeEraOf(this->view.tablesEnd());
    if (const auto age = this->freshness.age(readBootTime(), era)) {
        known.set_tables_age_ms(static_cast<std::uint32_t>(toMilliseconds(*age) + 1)); // rounded up
    }
    return known;
}

// Learns how current the key tables of this process are from another process that has not read more
// of them. `askedAt`: when this process sent the call whose answer holds `known`.
void Stage::noteTableAge(const wire::Known &known, Time askedAt)
{
    if (known.has_tables_age_ms() && known.tables_end() <= this->view.tablesEnd()) {
        this->freshness.note(askedAt - std::chrono::milliseconds(known.tables_age_ms()),
                             storeEraOf(known.tables_end()));
    }
}

void Stage::noteKnown(const std::string &node, const wire::Known &known)
{
    this->view.noteEraOf(known, readBootTime());
    this->relays.noteHeard(
            node,
            {.readsStore = known.reads_store(), .hasAddress = this->view.host(node) != nullptr},
            readBootTime());
    wire::Known missing = known;
    if (!this->isTableOverdue(known.tables_end())) {
        missing.clear_tables_end();
    }
    if (this->view.isOlderThan(missing)) {
        this->fetchState(node);
    }
}

// Says whether this process has known for some time that a newer key table exists, but has not
// received it.
bool Stage::isTableOverdue(std::uint64_t end)
{
    return this->awaitedTable.isOverdue(end, this->view.tablesEnd(), readBootTime());
}

void Stage::fetchState(const std::string &node)
{
    const Time now = readBootTime();
    const bool isInProgress = this->fetchesInProgress.contains(node);
    if (now - this->lastFetchAt < fetchInterval || node.empty() || isInProgress) {
        return;
    }
    this->lastFetchAt = now;
    this->fetchesInProgress.insert(node);
    wire::LinkFrame frame;
    *frame.mutable_state_query()->mutable_known() = this->known();
    this->links.call(node, frame, {}, gossipTimeout,
                     [this, node, now](CallOutcome outcome, const LinkMessage &answer) {
                         this->fetchesInProgress.erase(node);
                         if (outcome == CallOutcome::Answered) {
                             const wire::StateReply &state = answer.head.state_reply();
                             this->view.evacuations().applyState(state, node);
                             this->onState(node, state);
                             // The answer contains everything that was missing.
                             this->view.noteHostsEnd(state.known().hosts_end());
                             this->view.noteTablesEnd(state.known().tables_end());
                             this->noteTableAge(state.known(), now);
                         } else if (outcome == CallOutcome::NotSent) {
                             // The node's address may be unknown; the store has the same records.
                             this->follower.requestRead(platform::StoreTopic::Hosts);
                             this->follower.requestRead(platform::StoreTopic::Tables);
                         }
                     });
}

// Sends new state to these hosts: a few copies from here, which their receivers forward.
void Stage::broadcast(const std::shared_ptr<const wire::StateReply> &update,
                      const std::vector<std::string> &nodes)
{
    const Time now = readBootTime();
    std::vector<BroadcastHost> hosts;
    std::vector<BroadcastHost> unreachable;   // placed last, so that other hosts become heads
    std::vector<std::string> rotated = nodes; // other heads for each table: a head may be frozen
    if (!rotated.empty()) {
        const auto shift =
                static_cast<std::ptrdiff_t>(update->known().tables_end() % rotated.size());
        std::rotate(rotated.begin(), rotated.begin() + shift, rotated.end());
    }
    for (const std::string &name : rotated) {
        const KnownHost *host = this->view.host(name);
        if (host == nullptr || name == this->settings.node) {
            continue; // a host that is unknown here gets the state by gossip
        }
        (this->links.isDown(name, now) ? unreachable : hosts)
                .push_back({.node = name,
                            .dataCentre = host->info.dataCentre,
                            .region = host->info.region});
    }
    hosts.insert(hosts.end(), unreachable.begin(), unreachable.end());
    const BroadcastHost own{.node = this->settings.node,
                            .dataCentre = this->settings.dataCentre,
                            .region = this->settings.region};
    for (const BroadcastBranch &branch : planBroadcast(own, hosts)) {
        this->sendBranch(update, branch);
    }
}

void Stage::sendBranch(const std::shared_ptr<const wire::StateReply> &update,
                       const BroadcastBranch &branch)
{
    wire::LinkFrame frame;
    *frame.mutable_state_reply() = *update;
    for (const std::string &node : branch.rest) {
        frame.mutable_state_reply()->add_pass_on(node);
    }
    this->links.call(branch.head, frame, {}, broadcastTimeout,
                     [this, update, rest = branch.rest](CallOutcome outcome, const LinkMessage &) {
                         if (outcome != CallOutcome::Answered && !rest.empty()) {
                             this->broadcast(update, rest);
                         }
                     });
}

std::vector<std::string> Stage::knownNodes() const
{
    std::vector<std::string> nodes;
    nodes.reserve(this->view.hosts().size());
    for (const auto &[name, host] : this->view.hosts()) {
        nodes.push_back(name);
    }
    return nodes;
}

// Tells two hosts, different ones each time, how far this process has read and the load of its
// upstream, and learns the same from their replies.
void Stage::gossip(Time now)
{
    const auto &hosts = this->view.hosts();
    if (hosts.size() < 2) {
        return;
    }
    wire::LinkFrame frame;
    wire::Vouch &request = *frame.mutable_vouch();
    *request.mutable_known() = this->known();
    *request.mutable_load() = this->executor.load(this->settings.node, now);
    this->addQuarantined(request, now);
    const std::vector<std::string> nodes = this->knownNodes();
    // One of the relays, which wait for records of the store, and one of all hosts.
    const std::vector<std::string> relayNodes = this->relays.preferred(nodes);
    ++this->gossipRound;
    for (const std::string &node : {relayNodes[this->gossipRound % relayNodes.size()],
                                    nodes[this->gossipRound % nodes.size()]}) {
        if (node == this->settings.node) {
            continue;
        }
        this->links.call(node, frame, {}, gossipTimeout,
                         [this, node, now](CallOutcome outcome, const LinkMessage &answer) {
                             if (outcome == CallOutcome::Answered) {
                                 const wire::VouchReply &reply = answer.head.vouch_reply();
                                 this->picker.noteLoad(node, decodeLoad(reply.load()),
                                                       readBootTime());
                                 this->noteKnown(node, reply.known());
                                 this->noteTableAge(reply.known(), now);
                             }
                         });
    }
}

// ---- Requests that crash upstreams ----

// Tells all hosts at once, because the request may come again at any of them.
void Stage::broadcastCrash(const CrashReport &crash)
{
    const auto update = std::make_shared<wire::StateReply>();
    *update->mutable_known() = this->view.known();
    wire::CrashNotice &notice = *update->add_crashes();
    notice.set_crash(crash.crashId);
    notice.mutable_fingerprints()->Add(crash.fingerprints.begin(), crash.fingerprints.end());
    this->broadcast(update, this->knownNodes());
}

void Stage::broadcastCleared(Fingerprint fingerprint)
{
    const auto update = std::make_shared<wire::StateReply>();
    *update->mutable_known() = this->view.known();
    update->add_cleared(fingerprint);
    this->broadcast(update, this->knownNodes());
}

// Repeats quarantined requests in gossip, for hosts that have missed the crashes or restarted.
void Stage::addQuarantined(wire::Vouch &request, Time now)
{
    for (const auto &row : this->executor.crashGuard().quarantined(maxQuarantinedSent, now)) {
        wire::QuarantinedRequest &added = *request.add_quarantined();
        added.set_fingerprint(row.fingerprint);
        added.set_crashes(row.crashes);
        added.set_last_crash(row.lastCrashId);
        added.set_age_ms(static_cast<std::uint32_t>(toMilliseconds(now - row.lastCrash)));
    }
}

void Stage::applyQuarantined(const wire::Vouch &request, Time now)
{
    for (const wire::QuarantinedRequest &row : request.quarantined()) {
        this->executor.crashGuard().importCount(row.fingerprint(), row.crashes(), row.last_crash(),
                                                now - std::chrono::milliseconds(row.age_ms()));
    }
}

} // namespace kumquat
