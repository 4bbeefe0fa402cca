#include "traffic/tests/journal_model.h"

#include <algorithm>
#include <limits>

namespace kumquat {
namespace {

constexpr std::size_t peerCount = 5;
constexpr std::size_t idCount = 4;
constexpr Duration requestTime = 200ms;
constexpr std::size_t networkLimit = 60; // packets; beyond it the oldest is dropped

RequestId makeId(std::uint8_t choice)
{
    return {.high = 0x7000 + choice % idCount, .low = 1};
}

} // namespace

JournalModel::JournalModel(Safeguard disabledSafeguard)
    : disabled(disabledSafeguard)
{
    for (std::size_t index = 0; index < peerCount; ++index) {
        PeerNode peer;
        peer.name = "p" + std::to_string(index);
        this->restart(peer);
        this->peers.push_back(std::move(peer));
    }
    this->addOwner(0);
}

void JournalModel::apply(const ModelStep &step)
{
    Owner &anyOwner = *this->owners[step.a % this->owners.size()];
    PeerNode &peer = this->peers[step.a % peerCount];
    const std::size_t packets = this->network.size();
    const int operation = step.operation;
    if (operation < 110) {
        for (std::size_t count = 0; count <= step.a % 6U; ++count) {
            this->deliver(0, false, step.b);
        }
    } else if (operation < 140) {
        this->deliver(packets == 0 ? 0 : step.a % packets, false, step.b);
    } else if (operation < 146) {
        this->deliver(packets == 0 ? 0 : step.a % packets, true, step.b);
    } else if (operation < 148) {
        this->dropPacket(step.a);
    } else if (operation < 152) {
        this->deliverDelayed(step.a);
    } else if (operation < 180) {
        this->sendRequest(this->current(), step.b);
    } else if (operation < 200) {
        this->sendRequest(anyOwner, step.b);
    } else if (operation < 210) {
        this->renew(this->current());
    } else if (operation < 214) {
        this->renew(anyOwner);
    } else if (operation < 222) {
        this->advance(std::chrono::milliseconds(step.b % 30));
    } else if (operation < 240) {
        this->readLog(peer);
    } else if (operation < 242) {
        this->settlePeers();
    } else if (operation < 246) {
        this->receiveHandover(this->current());
    } else if (operation < 249) {
        this->restart(peer);
    } else if (operation < 251) {
        this->changePeers(step.b);
    } else if (operation < 253) {
        this->takeOver(step.b);
    } else if (operation < 255) {
        this->move(step.b);
    } else {
        anyOwner.alive = false;
    }
}

bool JournalModel::hasDuplicateRun() const
{
    return std::any_of(this->runs.begin(), this->runs.end(),
                       [](const auto &run) { return run.second > 1; });
}

JournalModel::Owner &JournalModel::addOwner(std::uint8_t choice)
{
    auto owner = std::make_unique<Owner>();
    owner->session = this->owners.size() + 1;
    owner->name = "s" + std::to_string(owner->session);
    JournalSettings settings; // small limits split copies and writes into several parts
    settings.maxBatchIds = 1 + owner->session % 2;
    settings.maxCopyParts = 1 + owner->session % 3;
    owner->writer = std::make_unique<JournalWriter>(owner->session, settings);
    owner->lookup = std::make_unique<JournalLookup>(owner->session << 32);
    owner->sets = {{.generation = 0, .peers = this->choosePeers(choice)}};
    owner->writer->setPeerSets(owner->sets, this->now);
    this->owners.push_back(std::move(owner));
    return this->current();
}

std::vector<std::string> JournalModel::choosePeers(std::uint8_t choice) const
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < 3; ++index) {
        names.push_back(this->peers[(choice + index) % peerCount].name);
    }
    return names;
}

void JournalModel::sendRequest(Owner &owner, std::uint8_t choice)
{
    if (!owner.alive || !owner.serving || !owner.awaitedPredecessors.empty()
        || owner.importTicket) {
        return;
    }
    const RequestId id = makeId(choice);
    if (owner.memory.begin(id, 0, this->now).state != RequestState::Fresh) {
        return;
    }
    const bool queriesPeers = this->disabled != Safeguard::PredecessorLookup;
    const LookupTicket ticket =
            owner.lookup->begin(id, queriesPeers ? owner.lineage : std::vector<LineageSession>{},
                                this->now + requestTime, this->now);
    owner.lookups[ticket] = id;
    this->collectOutput(owner, choice);
}

void JournalModel::collectOutput(Owner &owner, std::uint8_t choice)
{
    LookupOutput lookupOutput = owner.lookup->takeOutput();
    for (const LookupResult &result : lookupOutput.results) {
        const RequestId id = owner.lookups.at(result.ticket);
        if (result.verdict == LookupVerdict::New) {
            owner.writes[owner.writer->write({{.id = id}}, this->now + requestTime, this->now)] =
                    id;
        } else if (result.verdict == LookupVerdict::Known) {
            owner.memory.finish(id, std::nullopt, this->now);
        } else {
            owner.memory.erase(id);
        }
    }
    JournalOutput written = owner.writer->takeOutput();
    std::vector<JournalMessage> messages = std::move(lookupOutput.messages);
    std::move(written.messages.begin(), written.messages.end(), std::back_inserter(messages));
    for (JournalMessage &message : messages) {
        Packet packet{owner.name, message.to, std::move(message.message)};
        if (packet.message.has_journal_erase() || packet.message.journal_write().complete()) {
            this->delayed.push_back(packet);
        }
        this->network.push_back(std::move(packet));
    }
    if (this->network.size() > networkLimit) {
        this->network.erase(this->network.begin());
    }
    if (this->disabled == Safeguard::MajorityBeforeDispatch) {
        for (const auto &[ticket, id] : owner.writes) {
            written.written.push_back(ticket);
        }
        written.failed.clear();
    }
    for (const WriteTicket ticket : written.written) {
        if (owner.importTicket == ticket) {
            owner.importTicket.reset();
            // The predecessor is needed until the import is written, also by a next owner.
            owner.awaitedPredecessors.clear();
        } else if (owner.writes.contains(ticket)) {
            const RequestId id = owner.writes.at(ticket);
            owner.writes.erase(ticket);
            this->dispatch(owner, id, choice);
        }
    }
    for (const WriteTicket ticket : written.failed) {
        if (owner.importTicket == ticket) {
            this->importFrom(owner, this->owners.size());
        } else if (owner.writes.contains(ticket)) {
            const RequestId id = owner.writes.at(ticket);
            owner.writes.erase(ticket);
            this->forgetNotRun(owner, id);
        }
    }
}

void JournalModel::dispatch(Owner &owner, const RequestId &id, std::uint8_t choice)
{
    if (choice % 4 == 0) { // the upstream refuses
        this->forgetNotRun(owner, id);
        return;
    }
    ++this->runs[id];
    this->takeoverRuns += owner.lineage.empty() ? 0 : 1;
    owner.memory.finish(id, std::nullopt, this->now);
}

void JournalModel::forgetNotRun(Owner &owner, const RequestId &id)
{
    owner.memory.erase(id);
    owner.writer->erase({id}, this->now);
    this->collectOutput(owner, 0);
}

void JournalModel::dropPacket(std::uint8_t choice)
{
    if (!this->network.empty()) {
        this->network.erase(this->network.begin()
                            + choice % static_cast<int>(this->network.size()));
    }
}

// Delivers a second copy of up to 8 of the messages that are dangerous when they are late: erases
// and writes with the complete flag.
void JournalModel::deliverDelayed(std::uint8_t choice)
{
    for (std::size_t count = 0; count <= choice % 8U && !this->delayed.empty(); ++count) {
        const std::size_t index = choice * 7U % this->delayed.size();
        this->network.insert(this->network.begin(), this->delayed[index]);
        this->delayed.erase(this->delayed.begin() + static_cast<std::ptrdiff_t>(index));
        this->deliver(0, false, choice);
    }
}

void JournalModel::deliver(std::size_t index, bool keep, std::uint8_t choice)
{
    if (index >= this->network.size()) {
        return;
    }
    const Packet packet = this->network[index];
    if (!keep) {
        this->network.erase(this->network.begin() + static_cast<std::ptrdiff_t>(index));
    }
    for (PeerNode &peer : this->peers) {
        if (peer.name == packet.to) {
            this->deliverToPeer(peer, packet);
        }
    }
    for (const std::unique_ptr<Owner> &owner : this->owners) {
        if (owner->name == packet.to && owner->alive) {
            this->deliverToOwner(*owner, packet, choice);
        }
    }
}

void JournalModel::deliverToPeer(PeerNode &peer, const Packet &packet)
{
    wire::MeshMessage answer;
    if (packet.message.has_journal_write()) {
        wire::JournalWrite write = packet.message.journal_write();
        if (this->disabled == Safeguard::IncarnationInBatch) {
            write.set_batch(batchNumber(peer.incarnation, write.batch()));
        }
        std::optional<wire::JournalAck> ack = peer.store->accept(write, this->now);
        if (!ack) {
            return;
        }
        ack->set_batch(packet.message.journal_write().batch());
        *answer.mutable_journal_ack() = *ack;
    } else if (packet.message.has_journal_erase()) {
        wire::JournalErase erase = packet.message.journal_erase();
        for (wire::JournalEntry &entry : *erase.mutable_entries()) {
            if (this->disabled == Safeguard::CountInErase) {
                entry.set_key_hash(std::numeric_limits<std::uint64_t>::max());
            }
        }
        peer.store->erase(erase, this->now);
        return;
    } else {
        const wire::JournalQuery &query = packet.message.journal_query();
        const bool hasReadEnd = peer.readEnds.contains(query.session());
        // If RefusalAfterRelease is disabled, a copy answers, so that the store itself keeps
        // accepting writes.
        JournalStore copy = *peer.store;
        const bool refuses = this->disabled != Safeguard::RefusalAfterRelease;
        wire::JournalReply reply = refuses ? peer.store->answer(query, hasReadEnd, this->now)
                                           : copy.answer(query, hasReadEnd, now);
        if (this->disabled == Safeguard::CompleteFlag && hasReadEnd
            && reply.verdict() == wire::JOURNAL_UNKNOWN) {
            reply.set_verdict(wire::JOURNAL_NOT_KNOWN);
        }
        *answer.mutable_journal_reply() = reply;
    }
    this->network.push_back({peer.name, packet.from, answer});
}

void JournalModel::deliverToOwner(Owner &owner, const Packet &packet, std::uint8_t choice)
{
    if (packet.message.has_journal_ack()) {
        owner.writer->acknowledge(packet.from, packet.message.journal_ack(), this->now);
    } else if (packet.message.has_journal_reply()) {
        owner.lookup->reply(packet.from, packet.message.journal_reply(), this->now);
    } else {
        owner.writer->notePeer(packet.from, packet.message.grant().incarnation(), this->now);
    }
    this->collectOutput(owner, choice);
}

void JournalModel::renew(Owner &owner)
{
    for (const PeerNode &peer : this->peers) {
        const bool isPeer = std::any_of(owner.sets.begin(), owner.sets.end(), [&](const auto &set) {
            return std::count(set.peers.begin(), set.peers.end(), peer.name) > 0;
        });
        if (isPeer && !peer.readEnds.contains(owner.session)) {
            wire::MeshMessage message;
            message.mutable_grant()->set_incarnation(peer.incarnation);
            this->network.push_back({peer.name, owner.name, message});
        }
    }
}

// Restarts a peer. It reads the log before it sends grants again.
void JournalModel::restart(PeerNode &peer)
{
    peer.incarnation = ++this->lastIncarnation;
    peer.store = std::make_unique<JournalStore>(peer.incarnation);
    for (const std::unique_ptr<Owner> &owner : this->owners) {
        if (owner->ended) {
            peer.readEnds.insert(owner->session);
        }
    }
}

void JournalModel::changePeers(std::uint8_t choice)
{
    Owner &owner = this->current();
    const std::uint32_t generation = owner.sets.back().generation + 1;
    owner.sets.push_back({.generation = generation, .peers = this->choosePeers(choice)});
    owner.writer->setPeerSets(owner.sets, this->now);
    this->collectOutput(owner, choice);
}

void JournalModel::settlePeers()
{
    Owner &owner = this->current();
    while (owner.sets.size() > 1 && owner.writer->isComplete(owner.sets.back().generation)) {
        owner.sets.erase(owner.sets.begin(), owner.sets.end() - 1);
        owner.writer->setPeerSets(owner.sets, this->now);
        this->collectOutput(owner, 0);
    }
}

void JournalModel::takeOver(std::uint8_t choice)
{
    if (this->takeovers >= JournalLookup::lineageLimit - 1) {
        return;
    }
    ++this->takeovers;
    Owner &ended = this->current();
    ended.ended = true;
    const std::vector<std::size_t> awaitedPredecessors = ended.awaitedPredecessors;
    std::vector<LineageSession> lineage = ended.lineage;
    lineage.push_back({.session = ended.session, .peerSets = ended.sets});
    Owner &owner = this->addOwner(choice);
    owner.lineage = std::move(lineage);
    owner.awaitedPredecessors = awaitedPredecessors;
}

void JournalModel::move(std::uint8_t choice)
{
    Owner &moved = this->current();
    if (!moved.alive || !moved.awaitedPredecessors.empty() || moved.importTicket) {
        return;
    }
    moved.serving = false;
    for (const auto &[ticket, id] : std::exchange(moved.writes, {})) {
        moved.memory.erase(id);
    }
    moved.lookups.clear();
    moved.lookup = std::make_unique<JournalLookup>(std::uint64_t{1} << 60);
    const std::vector<LineageSession> lineage = moved.lineage;
    Owner &owner = this->addOwner(choice);
    owner.lineage = lineage;
    owner.awaitedPredecessors = {this->owners.size() - 2};
}

// Imports the handover of every predecessor that is alive. For the others, lookups query their
// peers.
void JournalModel::receiveHandover(Owner &owner)
{
    if (!owner.alive || owner.importTicket) {
        return;
    }
    const std::vector<std::size_t> awaitedPredecessors = owner.awaitedPredecessors;
    for (const std::size_t index : awaitedPredecessors) {
        Owner &predecessor = *this->owners[index];
        if (predecessor.alive) {
            this->importFrom(owner, index);
            continue;
        }
        owner.awaitedPredecessors.clear();
        predecessor.ended = true;
        owner.lineage.push_back({.session = predecessor.session, .peerSets = predecessor.sets});
    }
}

void JournalModel::importFrom(Owner &owner, std::size_t predecessor)
{
    if (predecessor < this->owners.size()) {
        owner.imported = this->owners[predecessor]->memory.collect(
                {0}, [](std::uint64_t) { return Slot{0}; }, this->now);
        owner.memory.import(owner.imported, this->now);
    }
    if (owner.writer->isReleased()) { // this owner can never serve
        owner.importTicket = 0;
        return;
    }
    std::vector<JournalId> ids;
    for (const RememberedId &request : owner.imported) {
        ids.push_back({.id = request.id, .keyHash = request.keyHash});
    }
    owner.importTicket = owner.writer->write(ids, this->now + requestTime, this->now);
    this->collectOutput(owner, 0);
}

// Reads the end of every ended session and releases the session.
void JournalModel::readLog(PeerNode &peer)
{
    for (const std::unique_ptr<Owner> &owner : this->owners) {
        if (!owner->ended) {
            continue;
        }
        peer.readEnds.insert(owner->session);
        if (this->disabled != Safeguard::RefusalAfterRelease) {
            peer.store->release(owner->session, this->now);
        }
    }
}

void JournalModel::advance(Duration step)
{
    this->now += step;
    for (const std::unique_ptr<Owner> &owner : this->owners) {
        if (owner->alive) {
            owner->writer->advance(this->now);
            owner->lookup->advance(this->now);
            this->collectOutput(*owner, 0);
        }
    }
}

} // namespace kumquat
