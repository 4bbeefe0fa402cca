#include "stage/key_owner.h"

#include "base/containment.h"
#include "base/durations.h"
#include "base/errors.h"
#include "base/http_status.h"
#include "base/log.h"
#include "base/text.h"
#include "keyspace/store_era.h"
#include "platform/upstream.h"

#include <algorithm>

namespace kumquat {
namespace {

// The upstream answers a grant at once, and a release when the work on its keys has ended.
constexpr Duration grantTimeout = 800ms;
constexpr Duration releaseTimeout = 3s;
constexpr Duration askTimeout = 500ms;
constexpr HttpClientLimits orderLimits{.maxIdle = 4, .connectLimit = 400ms};

std::string spanText(const KeySpan &span)
{
    return std::to_string(span.first) + "-" + std::to_string(span.last);
}

} // namespace

HttpCallOptions orderOptions(HoldOrderKind kind, std::shared_ptr<HttpCallHandle> handle)
{
    const bool isGrant = kind == HoldOrderKind::Grant;
    HttpCallOptions options{.limit = isGrant ? grantTimeout : releaseTimeout,
                            .handle = std::move(handle)};
    if (isGrant) {
        // If an accepted grant is answered twice, the holder assumes that the upstream holds more
        // keys than it does, which is safe.
        options.keepsConnection = [](const HttpResponse &response) {
            return platform::classifyGrantAnswer(response.status) == GrantOutcome::Accepted;
        };
    } else {
        options.maxIdle = Duration::zero();
        options.keepsConnection = [](const HttpResponse &) { return false; };
    }
    return options;
}

OrderResult sendOrderTo(HttpClient &upstream, const HoldOrder &order,
                        std::shared_ptr<HttpCallHandle> handle)
{
    bool isWithdrawn = false;
    auto answer = upstream.callWith(
            [&]() -> std::optional<HttpRequest> {
                const auto sent = orderToSend(order, HolderSettings{}.minHold, readBootTime());
                isWithdrawn = !sent.has_value();
                return sent ? std::optional(platform::encodeOrder(*sent)) : std::nullopt;
            },
            orderOptions(order.kind, std::move(handle)));
    return {.answer = std::move(answer), .isWithdrawn = isWithdrawn};
}

KeyOwner::KeyOwner(FiberThread &ownerThread, const std::string &ownNode,
                   const std::string &ownService, const Address &upstream, Duration allowedMaxHold,
                   ClusterView &clusterView, LinkPool &linkPool, UpstreamMonitor &upstreamMonitor,
                   const TableFreshness &tableFreshness, KeyOwnerHooks ownerHooks)
    : thread(ownerThread)
    , node(ownNode)
    , service(ownService)
    , view(clusterView)
    , links(linkPool)
    , monitor(upstreamMonitor)
    , freshness(tableFreshness)
    , hooks(std::move(ownerHooks))
    , upstreamOrders(ownerThread.io(), upstream, orderLimits)
    , platformMaxHold(allowedMaxHold)
    , lease(this->leaseSettings)
    , voterChange(readBootTime())
    , holder({.maxHold = std::min(this->leaseSettings.length, allowedMaxHold),
              .renewEvery = this->leaseSettings.renewEvery,
              .clockDrift = this->leaseSettings.clockDrift},
             readBootTime())
{}

void KeyOwner::advance(Time now)
{
    this->applyTable(now);
    this->holder.setLease(this->leaseEnd());
    if (this->ownSession != 0 && now - this->lastRenewalAt >= this->leaseSettings.renewEvery) {
        this->renew(now);
    }
    this->askForProofs(now);
    this->sendOrders(now);
}

void KeyOwner::applyTable(Time now)
{
    const KeyTable *table = this->view.table(this->service);
    const bool isSameInstance = this->monitor.instance() == this->appliedInstance;
    // A refused connection may be a false alarm, so an upstream that counted as ended may send
    // heartbeats again. Its session stays ended, because other processes may have learned that it
    // ended.
    const bool hasEnded = this->monitor.phase() == UpstreamPhase::Ended && this->ownSession != 0;
    if (table == nullptr || (table->end == this->appliedTableEnd && isSameInstance && !hasEnded)) {
        return;
    }
    this->abandonedSession = hasEnded ? this->ownSession : this->abandonedSession;
    if (!isSameInstance) {
        this->holder.noteUpstreamEnded(now);
        this->appliedInstance = this->monitor.instance();
    }
    this->appliedTableEnd = table->end;
    this->applyLeaseLength(*table);
    const KeySession *session = table->activeSessionOf(this->node);
    // Other hosts may act on another table in place of a former one.
    const bool isOwn = session != nullptr && !table->isFormer
                       && session->instance == this->monitor.instance()
                       && session->id != this->abandonedSession;
    const std::uint64_t id = isOwn ? session->id : 0;
    if (id != this->ownSession) {
        logInfo(LogPart::Lease, id == 0 ? "session ended" : "session started",
                {{"session", std::to_string(id)},
                 {"before", std::to_string(this->ownSession)},
                 {"upstream", this->monitor.instance().id},
                 {"end", std::to_string(table->end)}});
        this->lease.reset();
        this->ownSession = id;
        this->lastRenewalAt = -1h;
    }
    const std::vector<std::string> voters = isOwn ? session->voters : std::vector<std::string>();
    this->lease.setVoters(voters);
    this->voterChange.note(voters, table->end, now);
    this->holder.setLease(this->leaseEnd());
    this->holder.assign(*table, id, now);
    this->proofs.prune(*table);
    this->proofs.noteTable(*table, now);
}

void KeyOwner::applyLeaseLength(const KeyTable &table)
{
    this->leaseSettings.length = table.leaseLength;
    this->lease.setLength(table.leaseLength);
    const Duration hold = std::min(table.leaseLength, this->platformMaxHold);
    this->holder.setMaxHold(hold);
    this->monitor.setMaxHold(hold);
}

std::uint64_t KeyOwner::retiredSession(Time now) const
{
    const KeyTable *table = this->view.table(this->service);
    const KeySession *session = table != nullptr ? table->activeSessionOf(this->node) : nullptr;
    const bool isRetired = session != nullptr && session->id != this->ownSession
                           && this->monitor.isKnown() && this->holder.holdsNothing(now);
    return isRetired ? session->id : 0;
}

// ---- Lease ----

// Returns the time until which grants may last; zero without a session.
Time KeyOwner::leaseEnd() const
{
    const std::uint32_t era = storeEraOf(this->appliedTableEnd);
    return this->ownSession == 0
                   ? Time::zero()
                   : std::min(this->lease.validUntil(), this->freshness.leaseLimit(era));
}

void KeyOwner::renew(Time now)
{
    this->lastRenewalAt = now;
    const KeyTable *table = this->view.table(this->service);
    const KeySession *session = table->session(this->ownSession);
    if (session == nullptr) {
        return;
    }
    wire::LinkFrame frame;
    wire::Vouch &request = *frame.mutable_vouch();
    request.set_service(this->service);
    request.set_session(this->ownSession);
    *request.mutable_known() = this->view.known();
    *request.mutable_load() = this->hooks.load();
    for (const std::string &voter : session->voters) {
        this->links.call(voter, frame, {}, this->leaseSettings.length,
                         [this, voter, now, id = this->ownSession](CallOutcome outcome,
                                                                   const LinkMessage &answer) {
                             if (outcome != CallOutcome::Answered) {
                                 return; // the next round asks again
                             }
                             const wire::VouchReply &reply = answer.head.vouch_reply();
                             if (reply.granted() && id == this->ownSession) {
                                 this->lease.noteVote(voter, now);
                                 this->holder.setLease(this->leaseEnd());
                                 this->sendOrders(readBootTime());
                             }
                             this->hooks.voterReplied(voter, reply, now);
                         });
    }
}

// ---- Proofs ----

void KeyOwner::askForProofs(Time now)
{
    const KeyTable *table = this->view.table(this->service);
    if (table == nullptr || this->ownSession == 0 || now - this->lastAskedAt < askInterval) {
        return;
    }
    const std::vector<MissingProof> missing = this->holder.missingProofs();
    if (missing.empty()) {
        return;
    }
    this->lastAskedAt = now;
    std::vector<std::uint64_t> asked;
    for (const MissingProof &proof : missing) {
        const std::uint64_t id = proof.predecessor.session;
        const bool isStopped = this->proofs.isStopped(*table, id);
        if (isStopped || this->proofs.hasExpired(id, now)) {
            logInfo(LogPart::Lease, "former owner has stopped",
                    {{"session", std::to_string(id)},
                     {"keys", spanText(proof.span)},
                     {"proof", isStopped ? "voters or table" : "time since its end"}});
            this->holder.notePredecessorStopped(proof.predecessor, proof.span, {});
            continue;
        }
        this->askHost(*table, proof);
        const KeySession *session = table->session(id);
        const bool isAsked = std::find(asked.begin(), asked.end(), id) != asked.end();
        if (!session->isActive() && !isAsked) {
            asked.push_back(id);
            this->askVoters(*session);
        }
    }
}

void KeyOwner::askHost(const KeyTable &table, const MissingProof &missing)
{
    const KeySession *former = table.session(missing.predecessor.session);
    wire::LinkFrame frame;
    wire::StopQuery &query = *frame.mutable_stop_query();
    query.set_service(this->service);
    query.set_session(former->id);
    query.set_first(missing.span.first);
    query.set_last(missing.span.last);
    query.set_fence(missing.predecessor.fence);
    query.set_tables_end(table.end);
    if (former->node == this->node) {
        // The former owner is an earlier session of this host.
        const wire::StopReply reply = this->answerStop(query, readBootTime());
        if (reply.stopped()) {
            this->holder.notePredecessorStopped(missing.predecessor, missing.span,
                                                reply.handover());
        }
        return;
    }
    this->links.call(
            former->node, frame, {}, askTimeout,
            [this, missing](CallOutcome outcome, const LinkMessage &answer) {
                if (outcome != CallOutcome::Answered || !answer.head.stop_reply().stopped()) {
                    return; // the next round asks again
                }
                const std::string &handover = answer.head.stop_reply().handover();
                logInfo(LogPart::Lease, "former owner has stopped",
                        {{"session", std::to_string(missing.predecessor.session)},
                         {"keys", spanText(missing.span)},
                         {"proof", "its host"},
                         {"handover", handover.empty() ? "no" : "yes"}});
                this->holder.notePredecessorStopped(missing.predecessor, missing.span, handover);
                this->sendOrders(readBootTime());
            });
}

void KeyOwner::askVoters(const KeySession &session)
{
    wire::LinkFrame frame;
    wire::ReleaseQuery &query = *frame.mutable_release_query();
    query.set_service(this->service);
    query.set_session(session.id);
    query.set_ended_at(session.endedAt);
    std::vector<std::string> voters = session.voters;
    voters.insert(voters.end(), session.formerVoters.begin(), session.formerVoters.end());
    for (const std::string &voter : voters) {
        if (voter == this->node) {
            if (this->hooks.ownVoterReleased(query)) {
                this->proofs.noteRelease(session.id, voter);
            }
            continue;
        }
        this->links.call(voter, frame, {}, askTimeout,
                         [this, voter, id = session.id, endedAt = session.endedAt](
                                 CallOutcome outcome, const LinkMessage &answer) {
                             const KeyTable *table = this->view.table(this->service);
                             const KeySession *asked =
                                     table != nullptr ? table->session(id) : nullptr;
                             // The end may have been lost in a rollback of the store meanwhile.
                             const bool isSameEnd = asked != nullptr && asked->endedAt == endedAt;
                             if (outcome == CallOutcome::Answered && isSameEnd
                                 && answer.head.release_reply().released()) {
                                 this->proofs.noteRelease(id, voter);
                             }
                         });
    }
}

wire::StopReply KeyOwner::answerStop(const wire::StopQuery &query, Time now)
{
    wire::StopReply reply;
    const KeyTable *table = this->view.table(this->service);
    if (query.service() != this->service || table == nullptr || table->end < query.tables_end()) {
        // The table that moved the keys has not been read here, so the holder may still renew them.
        return reply;
    }
    const KeySession *session = table->session(query.session());
    if (session == nullptr || session->stopped) {
        reply.set_stopped(true);
        return reply;
    }
    if (session->instance != this->monitor.instance() && !this->monitor.isKnown()) {
        return reply; // a previous process may have granted the keys to the upstream that runs now
    }
    const KeySpan span{.first = query.first(), .last = query.last()};
    const StopAnswer answer = this->holder.answerStop(span, query.fence(), now);
    reply.set_stopped(answer.stopped);
    reply.set_handover(answer.handover);
    return reply;
}

// ---- Reports ----

std::optional<HoldAnswer> KeyOwner::processReport(const HoldReport &report, Duration late, Time now)
{
    this->advance(now);
    if (this->hooks.grantMode() != GrantMode::Heartbeat) {
        return std::nullopt;
    }
    this->holder.noteReport(report, now);
    // Without a key table it is unknown which keys the upstream has to hold.
    std::optional<HoldAnswer> answer;
    if (this->appliedTableEnd != 0) {
        answer = this->holder.answerReport(late, now);
    }
    this->logGrants(report, answer);
    this->thread.spawn([this] {
        sleepFor(this->thread.io(), HolderSettings{}.answerTravelTime);
        this->hooks.accessChanged(allKeys);
    });
    return answer;
}

// Logs an answer that changes which keys are held; an answer that only renews grants is not logged.
void KeyOwner::logGrants(const HoldReport &report, const std::optional<HoldAnswer> &answer) const
{
    const std::vector<HoldRow> rows = answer ? answer->rows : std::vector<HoldRow>();
    const bool isSame = answer && report.released.empty() && rows.size() == report.holds.size()
                        && std::equal(rows.begin(), rows.end(), report.holds.begin(),
                                      [](const HoldRow &row, const HeldRange &held) {
                                          return row.span == held.span && row.fence == held.fence;
                                      });
    if (isSame) {
        return;
    }
    const Duration left = this->leaseEnd() - readBootTime();
    logInfo(LogPart::Lease, "heartbeat answered",
            {{"session", std::to_string(this->ownSession)},
             {"upstream", this->monitor.instance().id},
             {"holds", std::to_string(report.holds.size())},
             {"released", std::to_string(report.released.size())},
             {"granted", answer ? std::to_string(rows.size()) : "none"},
             {"holdMs", answer ? std::to_string(toMilliseconds(answer->hold)) : "none"},
             {"leaseMs", std::to_string(toMilliseconds(left))},
             {"tables", std::to_string(this->appliedTableEnd)}});
}

// ---- Orders ----

void KeyOwner::sendOrders(Time now)
{
    const bool usesCalls = this->hooks.grantMode() == GrantMode::Call;
    if (!this->monitor.isKnown() || this->monitor.isRefusing() || !usesCalls) {
        return;
    }
    for (const HoldOrder &order : this->holder.takeOrders(now)) {
        this->thread.spawn([this, order] { this->sendOrder(order); });
    }
}

void KeyOwner::sendOrder(const HoldOrder &order)
{
    const bool isGrant = order.kind == HoldOrderKind::Grant;
    const UpstreamInstance instance = this->monitor.instance();
    const auto handle = std::make_shared<HttpCallHandle>();
    OrderResult result{
            .answer = makeError(ErrorKind::UpstreamLost, "the order failed while it was sent")};
    runContained(ContainedWork::Order,
                 [&] { result = sendOrderTo(this->upstreamOrders, order, handle); });
    const auto &answer = result.answer;
    const Time now = readBootTime();
    const int status = answer.ok() ? answer->status : 0;
    if (handle->wasRefused()) {
        this->monitor.noteRefused(now);
    } else if (answer.ok()) {
        this->monitor.noteAnswer();
    } else if (isGrant && !result.isWithdrawn) {
        this->monitor.noteUnanswered();
        this->upstreamOrders.dropIdle();
    }
    const bool isRoutine = isGrant && status != 0 && order.handover.empty();
    if (!isRoutine || platform::classifyGrantAnswer(status) != GrantOutcome::Accepted) {
        logInfo(LogPart::Lease, isGrant ? "grant sent" : "release sent",
                {{"keys", spanText(order.span)},
                 {"fence", std::to_string(order.fence)},
                 {"upstream", instance.id},
                 {"status", std::to_string(status)},
                 {"withdrawn", result.isWithdrawn ? "yes" : "no"},
                 {"ageMs", std::to_string(toMilliseconds(now - order.decidedAt))},
                 {"handover", order.handover}});
    }
    if (isGrant) {
        const bool neverSent = errorKindOf(answer.status()) == ErrorKind::UpstreamUnreachable;
        const GrantOutcome outcome =
                neverSent ? GrantOutcome::Refused : platform::classifyGrantAnswer(status);
        if (this->holder.noteGrant(order.number, outcome, now)) {
            this->hooks.accessChanged(order.span);
        }
    } else {
        // A release by a former instance says nothing about the current one.
        const bool isReleased = status == statusOk && instance == this->monitor.instance();
        this->holder.noteRelease(order.number, isReleased,
                                 isReleased ? platform::handoverOf(*answer) : "", now);
    }
    this->sendOrders(now);
}

} // namespace kumquat
