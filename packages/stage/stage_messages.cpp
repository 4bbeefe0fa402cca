// The part of Stage that talks to other processes.
// Sections: messages of other processes, what others know.
#include "stage/stage.h"

#include "base/log.h"
#include "base/text.h"
#include "platform/configuration.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr Duration gossipLimit = 900ms; // for an answer; three round trips between regions at least
constexpr Duration spreadLimit = 400ms; // the same for news; then its list goes another way
constexpr Duration fetchPause = 50ms;   // between two requests for news

} // namespace

// ---- Messages of other processes ----

void Stage::onMessage(const LinkPeer &peer, LinkMessage message, const LinkReply &reply)
{
    const Time now = readBootTime();
    wire::LinkFrame answer;
    this->coordinator.noteHeard(peer.node);
    this->lateMessages.note(peer.node, message.delayed);
    switch (message.head.content_case()) {
    case wire::LinkFrame::kExecute:
        this->onExecute(peer, std::move(message), reply);
        break;
    case wire::LinkFrame::kCancel:
        this->executor.cancel({.connection = peer.number, .call = message.head.call()});
        break;
    case wire::LinkFrame::kVouch:
        this->onVouch(message.head.vouch(), reply);
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
        reply(answer, {});
        break;
    case wire::LinkFrame::kStateReply: {
        wire::StateReply &news = *message.head.mutable_state_reply();
        this->onState(peer.node, news);
        answer.mutable_load_ack();
        reply(answer, {});
        const std::vector<std::string> nodes(news.pass_on().begin(), news.pass_on().end());
        news.clear_pass_on();
        this->spread(std::make_shared<wire::StateReply>(std::move(news)), nodes);
        break;
    }
    default:
        logWarning(LogPart::Mesh, "message of an unknown kind dropped", {{"node", peer.node}});
        break;
    }
}

void Stage::onExecute(const LinkPeer &peer, LinkMessage message, const LinkReply &reply)
{
    const ExecuteCaller caller{.connection = peer.number, .call = message.head.call()};
    wire::Execute execute = std::move(*message.head.mutable_execute());
    // What was held up on the way has less time left; the caller's host counts it as well.
    const auto delayed =
            std::chrono::duration_cast<std::chrono::milliseconds>(message.delayed).count();
    const auto left = static_cast<std::int64_t>(execute.remaining_ms()) - delayed;
    execute.set_remaining_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0)));
    if (this->isTableOverdue(execute.tables_end())) {
        this->fetchState(peer.node);
    }
    // Without a fiber: where work comes faster than it is done, each that is refused costs little.
    const WorkKind kind = execute.has_key() ? WorkKind::Request : WorkKind::Call;
    if (const auto refusal = this->isBehind(kind)) {
        wire::LinkFrame frame;
        *frame.mutable_execute_reply() = this->executor.refuse(execute, *refusal, "behind");
        reply(frame, {});
        return;
    }
    this->executor.announce(caller, readBootTime(), message.delayed);
    auto work = [this, caller, reply, execute = std::move(execute),
                 body = std::move(message.body)]() mutable {
        ExecuteResult result = this->executor.run(execute, std::move(body), caller);
        wire::LinkFrame frame;
        *frame.mutable_execute_reply() = std::move(result.reply);
        reply(frame, result.body);
    };
    this->thread.spawn(std::move(work), WakeOrder::Last);
}

void Stage::onVouch(const wire::Vouch &vouch, const LinkReply &reply)
{
    wire::LinkFrame frame;
    wire::VouchReply &answer = *frame.mutable_vouch_reply();
    const bool isAsked = vouch.session() != 0;
    answer.set_granted(isAsked
                       && this->voter.vote(this->view.table(vouch.service()), vouch.session(),
                                           readBootTime()));
    *answer.mutable_known() = this->known();
    *answer.mutable_load() = this->executor.load(this->settings.node, readBootTime());
    reply(frame, {});
    if (!vouch.load().node().empty()) {
        this->picker.noteLoad(vouch.load().node(), decodeLoad(vouch.load()), readBootTime());
    }
}

bool Stage::hasVoterReleased(const wire::ReleaseQuery &query) const
{
    return this->voter.hasReleased(this->view.table(query.service()), query.session(),
                                   query.ended_at(), readBootTime());
}

// ---- What others know ----

void Stage::onState(const std::string &node, const wire::StateReply &state)
{
    if (!state.config().empty()) {
        auto configuration = platform::decodeConfiguration(state.config());
        if (configuration.ok()) {
            this->view.applyConfiguration(*std::move(configuration), state.config(), node);
        } else {
            logWarning(LogPart::Rules, "configuration ignored",
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
}

wire::Known Stage::known() const
{
    wire::Known known = this->view.known();
    known.set_reads_store(!this->follower.isLost());
    return known;
}

void Stage::noteKnown(const std::string &node, const wire::Known &known)
{
    this->relays.noteHeard(
            node,
            {.readsStore = known.reads_store(), .hasAddress = this->view.host(node) != nullptr},
            readBootTime());
    wire::Known missing = known;
    if (!this->isTableOverdue(known.tables_end())) {
        missing.clear_tables_end();
    }
    if (this->view.isBehind(missing)) {
        this->fetchState(node);
    }
}

// Says whether this process has heard of a newer key table for a while and has not got it.
bool Stage::isTableOverdue(std::uint64_t end)
{
    return this->awaitedTable.isOverdue(end, this->view.tablesEnd(), readBootTime());
}

void Stage::fetchState(const std::string &node)
{
    const Time now = readBootTime();
    const bool isUnderWay = this->fetching.contains(node);
    if (now - this->fetchedAt < fetchPause || node.empty() || isUnderWay) {
        return;
    }
    this->fetchedAt = now;
    this->fetching.insert(node);
    wire::LinkFrame frame;
    *frame.mutable_state_query()->mutable_known() = this->known();
    this->links.call(node, frame, {}, gossipLimit,
                     [this, node](LinkEnd end, const LinkMessage &answer) {
                         this->fetching.erase(node);
                         if (end == LinkEnd::Answered) {
                             const wire::StateReply &state = answer.head.state_reply();
                             this->onState(node, state);
                             // The answer holds all that was missing.
                             this->view.noteHostsEnd(state.known().hosts_end());
                             this->view.noteTablesEnd(state.known().tables_end());
                         } else if (end == LinkEnd::NotSent) {
                             // Its address may not be known: the store has the same records.
                             this->follower.nudge(platform::StoreTopic::Hosts);
                             this->follower.nudge(platform::StoreTopic::Tables);
                         }
                     });
}

// Sends news to these hosts, a few copies from here.
void Stage::spread(const std::shared_ptr<const wire::StateReply> &news,
                   const std::vector<std::string> &nodes)
{
    const Time now = readBootTime();
    std::vector<SpreadHost> hosts;
    std::vector<SpreadHost> down;            // no good heads
    std::vector<std::string> turned = nodes; // each time other heads: one may be frozen
    if (!turned.empty()) {
        const auto turn = static_cast<std::ptrdiff_t>(news->known().tables_end() % turned.size());
        std::rotate(turned.begin(), turned.begin() + turn, turned.end());
    }
    for (const std::string &name : turned) {
        const KnownHost *host = this->view.host(name);
        if (host == nullptr || name == this->settings.node) {
            continue; // one that is not known here hears of the news by itself
        }
        (this->links.isDown(name, now) ? down : hosts)
                .push_back({.node = name,
                            .dataCentre = host->info.dataCentre,
                            .region = host->info.region});
    }
    hosts.insert(hosts.end(), down.begin(), down.end());
    const SpreadHost own{.node = this->settings.node,
                         .dataCentre = this->settings.dataCentre,
                         .region = this->settings.region};
    for (const SpreadPart &part : planSpread(own, hosts)) {
        this->sendPart(news, part);
    }
}

void Stage::sendPart(const std::shared_ptr<const wire::StateReply> &news, const SpreadPart &part)
{
    wire::LinkFrame frame;
    *frame.mutable_state_reply() = *news;
    for (const std::string &node : part.rest) {
        frame.mutable_state_reply()->add_pass_on(node);
    }
    this->links.call(part.head, frame, {}, spreadLimit,
                     [this, news, rest = part.rest](LinkEnd end, const LinkMessage &) {
                         if (end != LinkEnd::Answered && !rest.empty()) {
                             this->spread(news, rest);
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

// Exchanges with a few hosts in turn how far each has read and how busy its upstream is.
void Stage::gossip(Time now)
{
    const auto &hosts = this->view.hosts();
    if (hosts.size() < 2) {
        return;
    }
    wire::LinkFrame frame;
    wire::Vouch &vouch = *frame.mutable_vouch();
    *vouch.mutable_known() = this->known();
    *vouch.mutable_load() = this->executor.load(this->settings.node, now);
    const std::vector<std::string> nodes = this->knownNodes();
    // One of the hosts that wait for records of the store, and one of all.
    const std::vector<std::string> relayNodes = this->relays.first(nodes);
    ++this->gossipTurn;
    for (const std::string &node : {relayNodes[this->gossipTurn % relayNodes.size()],
                                    nodes[this->gossipTurn % nodes.size()]}) {
        if (node == this->settings.node) {
            continue;
        }
        this->links.call(
                node, frame, {}, gossipLimit, [this, node](LinkEnd end, const LinkMessage &answer) {
                    if (end == LinkEnd::Answered) {
                        const wire::VouchReply &reply = answer.head.vouch_reply();
                        this->picker.noteLoad(node, decodeLoad(reply.load()), readBootTime());
                        this->noteKnown(node, reply.known());
                    }
                });
    }
}

} // namespace kumquat
