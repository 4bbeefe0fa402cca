#include "traffic/journal.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

wire::JournalEntry makeEntry(const RequestId &id, std::uint64_t keyHash)
{
    wire::JournalEntry entry;
    *entry.mutable_id() = toWire(id);
    entry.set_key_hash(keyHash);
    return entry;
}

bool hasIdIn(const std::set<RequestId> &ids, const wire::JournalEntry &entry)
{
    return ids.contains(fromWire(entry.id()));
}

} // namespace

wire::RequestId toWire(const RequestId &id)
{
    wire::RequestId message;
    message.set_high(id.high);
    message.set_low(id.low);
    return message;
}

RequestId fromWire(const wire::RequestId &id)
{
    return {.high = id.high(), .low = id.low()};
}

JournalWriter::JournalWriter(std::uint64_t ownSession, JournalSettings initial)
    : session(ownSession)
    , settings(initial)
{}

void JournalWriter::setPeerSets(std::vector<JournalPeerSet> newSets, Time now)
{
    this->sets = std::move(newSets);
    std::set<std::string> peerNames;
    std::set<std::uint32_t> generations;
    for (const JournalPeerSet &set : this->sets) {
        peerNames.insert(set.peers.begin(), set.peers.end());
        generations.insert(set.generation);
    }
    std::erase_if(this->requiredGenerations,
                  [&](std::uint32_t old) { return !generations.contains(old); });
    if (!this->sets.empty()) {
        this->requiredGenerations.insert(this->sets.front().generation);
    }
    for (auto peer = this->peers.begin(); peer != this->peers.end();) {
        if (peerNames.contains(peer->first)) {
            ++peer;
            continue;
        }
        this->removeHolder(peer->first);
        peer = this->peers.erase(peer);
    }
    for (const std::string &node : peerNames) {
        this->peers.try_emplace(node);
    }
    this->flush(now);
    this->completeWrites();
}

void JournalWriter::notePeer(const std::string &node, std::uint64_t incarnation, Time now)
{
    const auto found = this->peers.find(node);
    if (found == this->peers.end() || this->sessionReleased) {
        return;
    }
    Peer &peer = found->second;
    if (peer.incarnation == incarnation && peer.state != PeerState::Absent) {
        return;
    }
    if (peer.incarnation != incarnation) {
        this->removeHolder(node);
        peer.incarnation = incarnation;
    }
    this->startCopy(node, peer, now);
}

WriteTicket JournalWriter::write(const std::vector<JournalId> &ids, Time deadline, Time now)
{
    this->expire(now);
    const WriteTicket ticket = ++this->lastTicket;
    if (this->sessionReleased) {
        this->output.failed.push_back(ticket);
        return ticket;
    }
    this->remember(ids, now);
    if (ids.empty() || !this->hasPeers()) {
        this->output.written.push_back(ticket);
        return ticket;
    }
    PendingWrite pending{.ids = {}, .deadline = deadline, .first = 0, .last = 0};
    for (const JournalId &id : ids) {
        pending.ids.push_back(id.id);
        this->queue.push_back(makeEntry(id.id, id.keyHash));
    }
    this->pendingWrites.emplace(ticket, std::move(pending));
    const Time due = this->flushTime(now);
    if (due <= now || this->queue.size() >= this->settings.maxBatchIds) {
        this->flush(now);
    } else if (!this->flushDue) {
        this->flushDue = due;
    }
    return ticket;
}

// Returns when to send the queue. A batch costs each peer a wake-up and an acknowledgement,
// whatever its size. When many ids arrive, a round trip is too short to collect enough of them, so
// batches are then sent at least loadedBatchInterval apart.
Time JournalWriter::flushTime(Time now) const
{
    const bool isWriteInFlight =
            std::any_of(this->pendingWrites.begin(), this->pendingWrites.end(),
                        [](const auto &other) { return other.second.first != 0; });
    const Time due = isWriteInFlight ? now + this->settings.maxBatchDelay : now;
    const bool isLoaded = this->lastFlushIds >= this->settings.loadedBatchIds;
    return isLoaded ? std::max(due, this->lastFlush + this->settings.loadedBatchInterval) : due;
}

void JournalWriter::erase(const std::vector<RequestId> &ids, Time now)
{
    this->expire(now);
    std::vector<RequestId> known;
    for (const RequestId &id : ids) {
        if (this->remembered.erase(id) > 0) {
            known.push_back(id);
        }
    }
    if (known.empty() || this->sessionReleased) {
        return;
    }
    const std::set<RequestId> erased(known.begin(), known.end());
    std::erase_if(this->pendingWrites, [&](const auto &pending) {
        const std::vector<RequestId> &waiting = pending.second.ids;
        const bool isAffected =
                std::any_of(waiting.begin(), waiting.end(),
                            [&](const RequestId &id) { return erased.contains(id); });
        if (isAffected) {
            this->output.failed.push_back(pending.first);
        }
        return isAffected;
    });
    this->removeUnacknowledged(erased);
    this->sendErase(known);
    this->completeWrites();
}

void JournalWriter::acknowledge(const std::string &from, const wire::JournalAck &ack, Time now)
{
    const auto found = this->peers.find(from);
    if (ack.session() != this->session || found == this->peers.end()) {
        return;
    }
    if (!ack.accepted()) {
        this->failAll();
        return;
    }
    Peer &peer = found->second;
    const WriteCount count = ack.batch() & batchNumber(0, ~WriteCount{0});
    if (batchNumber(peer.incarnation, count) != ack.batch() || peer.sent.erase(count) == 0) {
        return;
    }
    const auto batch = this->batches.find(count);
    if (batch != this->batches.end()) {
        batch->second.holders.insert(from);
    }
    if (peer.copySent.erase(count) > 0) {
        this->continueCopy(from, peer, now);
    }
    if (peer.state == PeerState::SendingFlag && count == peer.flagCount) {
        this->finishCopy(from, peer);
    }
    this->completeWrites();
}

void JournalWriter::advance(Time now)
{
    this->expire(now);
    if (this->flushDue && *this->flushDue <= now) {
        this->flush(now);
    }
    for (auto &[node, peer] : this->peers) {
        this->resend(node, peer, now);
    }
    std::erase_if(this->pendingWrites, [&](const auto &pending) {
        const bool isLate = pending.second.deadline <= now;
        if (isLate) {
            this->output.failed.push_back(pending.first);
        }
        return isLate;
    });
}

std::optional<Time> JournalWriter::nextDue() const
{
    std::optional<Time> next = this->flushDue;
    const auto useEarlier = [&next](Time due) { next = next ? std::min(*next, due) : due; };
    for (const auto &[node, peer] : this->peers) {
        for (const auto &[count, sent] : peer.sent) {
            useEarlier(sent.due);
        }
    }
    for (const auto &[ticket, pending] : this->pendingWrites) {
        useEarlier(pending.deadline);
    }
    return next;
}

JournalOutput JournalWriter::takeOutput()
{
    return std::exchange(this->output, {});
}

bool JournalWriter::isComplete(std::uint32_t generation) const
{
    if (!this->requiredGenerations.contains(generation)) {
        return false;
    }
    for (const JournalPeerSet &set : this->sets) {
        if (set.generation != generation) {
            continue;
        }
        const auto hasBatch = [&](const auto &batch) {
            return this->hasMajority(set, batch.second);
        };
        return std::all_of(this->batches.begin(), this->batches.end(), hasBatch);
    }
    return false;
}

void JournalWriter::remember(const std::vector<JournalId> &ids, Time now)
{
    const Time expires = now + this->settings.idLifetime;
    for (const JournalId &id : ids) {
        this->remembered[id.id] = {.keyHash = id.keyHash, .expires = expires};
        this->expiries.push_back({.due = expires, .id = id.id});
    }
}

void JournalWriter::expire(Time now)
{
    while (!this->expiries.empty() && this->expiries.front().due <= now) {
        const auto found = this->remembered.find(this->expiries.front().id);
        // An id that was written again has its own later expiry entry.
        if (found != this->remembered.end() && found->second.expires <= now) {
            this->remembered.erase(found);
        }
        this->expiries.pop_front();
        ++this->expiredCount;
    }
    std::erase_if(this->batches, [now](const auto &batch) { return batch.second.expires <= now; });
}

// Sends the queue to every peer that has a copy or is receiving one.
void JournalWriter::flush(Time now)
{
    this->flushDue.reset();
    std::vector<wire::JournalEntry> entries = std::exchange(this->queue, {});
    this->lastFlush = now;
    this->lastFlushIds = entries.size();
    const WriteCount first = this->lastCount + 1;
    for (std::size_t from = 0; from < entries.size(); from += this->settings.maxBatchIds) {
        const std::size_t to = std::min(entries.size(), from + this->settings.maxBatchIds);
        const WriteCount count = ++this->lastCount;
        Batch &batch = this->batches[count];
        batch.expires = now + this->settings.idLifetime;
        batch.entries.assign(entries.begin() + static_cast<std::ptrdiff_t>(from),
                             entries.begin() + static_cast<std::ptrdiff_t>(to));
        for (auto &[node, peer] : this->peers) {
            if (peer.state != PeerState::Absent) {
                this->send(node, peer, count, batch.entries, false, now);
            }
        }
    }
    for (auto &[ticket, pending] : this->pendingWrites) {
        if (pending.first == 0) {
            pending.first = first;
            pending.last = this->lastCount;
        }
    }
}

// Starts a copy of every remembered id to a peer. The last part carries the complete flag and is
// sent after all other parts are acknowledged, because a peer that lacks a part must not become
// complete.
void JournalWriter::startCopy(const std::string &node, Peer &peer, Time now)
{
    this->expire(now);
    peer.state = PeerState::Absent;
    this->flush(now); // so that the copy covers exactly the batches up to copyUpTo
    peer.state = PeerState::Copying;
    peer.copyUpTo = this->lastCount;
    peer.copySent.clear();
    peer.sent.clear();
    peer.copyNext = this->expiredCount;
    peer.copyEnd = this->expiredCount + this->expiries.size();
    this->continueCopy(node, peer, now);
}

void JournalWriter::continueCopy(const std::string &node, Peer &peer, Time now)
{
    const auto isLastPart = [&] {
        return peer.copyNext + this->settings.maxBatchIds >= peer.copyEnd;
    };
    while (!isLastPart() && peer.copySent.size() < this->settings.maxCopyParts) {
        const WriteCount count = ++this->lastCount;
        peer.copySent.insert(count);
        this->send(node, peer, count, this->takeCopyPart(peer), false, now);
    }
    if (peer.state == PeerState::Copying && isLastPart() && peer.copySent.empty()) {
        peer.state = PeerState::SendingFlag;
        peer.flagCount = ++this->lastCount;
        this->send(node, peer, peer.flagCount, this->takeCopyPart(peer), true, now);
    }
}

// Returns the next ids from expiries, in which some ids occur twice. Collecting many remembered ids
// at once would block the thread for a considerable part of a lease.
std::vector<wire::JournalEntry> JournalWriter::takeCopyPart(Peer &peer) const
{
    std::vector<wire::JournalEntry> part;
    peer.copyNext = std::max(peer.copyNext, this->expiredCount);
    const std::uint64_t end = std::min(peer.copyEnd, peer.copyNext + this->settings.maxBatchIds);
    for (; peer.copyNext < end; ++peer.copyNext) {
        const RequestId &id = this->expiries[peer.copyNext - this->expiredCount].id;
        const auto kept = this->remembered.find(id);
        if (kept != this->remembered.end()) { // not erased since then
            part.push_back(makeEntry(id, kept->second.keyHash));
        }
    }
    return part;
}

void JournalWriter::finishCopy(const std::string &node, Peer &peer)
{
    peer.state = PeerState::Complete;
    for (auto &[count, batch] : this->batches) {
        if (count <= peer.copyUpTo) {
            batch.holders.insert(node);
        }
    }
}

void JournalWriter::send(const std::string &node, Peer &peer, WriteCount count,
                         std::vector<wire::JournalEntry> entries, bool complete, Time now)
{
    SentWrite &sent = peer.sent[count];
    sent.write.set_session(this->session);
    sent.write.set_batch(batchNumber(peer.incarnation, count));
    sent.write.set_complete(complete);
    for (wire::JournalEntry &entry : entries) {
        *sent.write.add_entries() = std::move(entry);
    }
    sent.firstSent = now;
    sent.backoff = this->settings.initialResendDelay;
    sent.due = now + sent.backoff;
    JournalMessage message{.to = node, .message = {}};
    *message.message.mutable_journal_write() = sent.write;
    this->output.messages.push_back(std::move(message));
}

// Resends overdue writes. A peer that stops acknowledging becomes Absent until its next Grant,
// which bounds the data kept for it.
void JournalWriter::resend(const std::string &node, Peer &peer, Time now)
{
    const auto hasTimedOut = [&](const auto &sent) {
        return now - sent.second.firstSent >= this->settings.ackTimeout;
    };
    if (std::any_of(peer.sent.begin(), peer.sent.end(), hasTimedOut)) {
        peer.state = PeerState::Absent;
        peer.copySent.clear();
        peer.sent.clear();
        return;
    }
    for (auto &[count, sent] : peer.sent) {
        if (sent.due > now) {
            continue;
        }
        sent.backoff = std::min(sent.backoff * 2, this->settings.maxResendDelay);
        sent.due = now + sent.backoff;
        JournalMessage message{.to = node, .message = {}};
        *message.message.mutable_journal_write() = sent.write;
        this->output.messages.push_back(std::move(message));
    }
}

void JournalWriter::sendErase(const std::vector<RequestId> &ids)
{
    wire::JournalErase erase;
    erase.set_session(this->session);
    for (const RequestId &id : ids) {
        *erase.add_entries() = makeEntry(id, this->lastCount);
    }
    for (const auto &[node, peer] : this->peers) {
        if (peer.incarnation == 0) {
            continue;
        }
        JournalMessage message{.to = node, .message = {}};
        *message.message.mutable_journal_erase() = erase;
        this->output.messages.push_back(std::move(message));
    }
}

// Removes ids from all unacknowledged data, so that a resend does not restore them.
void JournalWriter::removeUnacknowledged(const std::set<RequestId> &ids)
{
    const auto isErased = [&](const wire::JournalEntry &entry) { return hasIdIn(ids, entry); };
    std::erase_if(this->queue, isErased);
    for (auto &[count, batch] : this->batches) {
        std::erase_if(batch.entries, isErased);
    }
    std::erase_if(this->batches, [](const auto &batch) { return batch.second.entries.empty(); });
    for (auto &[node, peer] : this->peers) {
        for (auto &[count, sent] : peer.sent) {
            auto *entries = sent.write.mutable_entries();
            entries->erase(std::remove_if(entries->begin(), entries->end(), isErased),
                           entries->end());
        }
    }
}

void JournalWriter::removeHolder(const std::string &node)
{
    for (auto &[count, batch] : this->batches) {
        batch.holders.erase(node);
    }
}

// Reports writes that a majority of every required peer set has stored, and stops tracking batches
// that a majority of every set in force has stored.
void JournalWriter::completeWrites()
{
    for (const JournalPeerSet &set : this->sets) {
        const auto complete =
                std::count_if(set.peers.begin(), set.peers.end(), [&](const std::string &node) {
                    return this->peers.at(node).state == PeerState::Complete;
                });
        if (static_cast<std::size_t>(complete) >= journalMajority(set.peers.size())) {
            this->requiredGenerations.insert(set.generation);
        }
    }
    std::erase_if(this->pendingWrites, [&](const auto &pending) {
        const bool written = this->isWritten(pending.second);
        if (written) {
            this->output.written.push_back(pending.first);
        }
        return written;
    });
    std::erase_if(this->batches, [&](const auto &batch) {
        const auto holds = [&](const JournalPeerSet &set) {
            return this->hasMajority(set, batch.second);
        };
        return std::all_of(this->sets.begin(), this->sets.end(), holds);
    });
}

// Only complete peers count, because the answer of any other peer to a query proves nothing.
bool JournalWriter::hasMajority(const JournalPeerSet &set, const Batch &batch) const
{
    const auto counts = [&](const std::string &node) {
        return batch.holders.contains(node) && this->peers.at(node).state == PeerState::Complete;
    };
    const auto holders = std::count_if(set.peers.begin(), set.peers.end(), counts);
    return static_cast<std::size_t>(holders) >= journalMajority(set.peers.size());
}

bool JournalWriter::isWritten(const Batch &batch) const
{
    return std::all_of(this->sets.begin(), this->sets.end(), [&](const JournalPeerSet &set) {
        return !this->requiredGenerations.contains(set.generation) || this->hasMajority(set, batch);
    });
}

bool JournalWriter::isWritten(const PendingWrite &pending) const
{
    if (pending.first == 0) {
        return false;
    }
    const auto last = this->batches.upper_bound(pending.last);
    return std::all_of(this->batches.lower_bound(pending.first), last,
                       [&](const auto &batch) { return this->isWritten(batch.second); });
}

bool JournalWriter::hasPeers() const
{
    return !this->peers.empty();
}

void JournalWriter::failAll()
{
    this->sessionReleased = true;
    for (const auto &[ticket, pending] : this->pendingWrites) {
        this->output.failed.push_back(ticket);
    }
    this->pendingWrites.clear();
    this->batches.clear();
    this->queue.clear();
    this->flushDue.reset();
    for (auto &[node, peer] : this->peers) {
        peer.state = PeerState::Absent;
        peer.copySent.clear();
        peer.sent.clear();
    }
}

} // namespace kumquat
