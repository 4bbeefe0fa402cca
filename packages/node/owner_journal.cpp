// The owner's memory and journal of request ids: the members of OwnerPath that lock journalMutex.
// Sections: memory and journal, handover, control thread.
#include "node/owner_path.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr Duration journalTimeout = 500ms; // time for a majority of peers to answer
constexpr Duration importTimeout = 10s; // time for ids from a handover to reach a majority of peers

StoredAnswer toStored(const HttpResponse &response)
{
    StoredAnswer stored;
    stored.httpStatus = response.status;
    for (const HttpField &field : response.fields) {
        stored.headers.push_back({field.name, field.value});
    }
    stored.body = response.body;
    return stored;
}

RoutedAnswer toAnswer(const StoredAnswer &stored)
{
    RoutedAnswer answer;
    answer.http.status = stored.httpStatus;
    for (const AnswerHeader &header : stored.headers) {
        answer.http.fields.push_back({header.name, header.value});
    }
    answer.http.body = stored.body;
    return answer;
}

std::vector<JournalPeerSet> toJournalSets(const std::vector<PeerSet> &sets)
{
    std::vector<JournalPeerSet> result;
    result.reserve(sets.size());
    for (const PeerSet &set : sets) {
        result.push_back({set.generation, set.peers});
    }
    return result;
}

} // namespace

// A fiber that waits for a journal write or a lookup.
struct OwnerPath::Waiter
{
    explicit Waiter(asio::io_context &io)
        : event(io)
    {}
    FiberEvent event;
    bool written = false;
    LookupVerdict verdict = LookupVerdict::Unknown;
};

// ---- Memory and journal ----

std::optional<RoutedAnswer> OwnerPath::answerFromMemory(const RoutedRequest &request)
{
    const std::lock_guard lock(this->journalMutex);
    const BeginResult begun = this->memory.begin(request.id, request.keyHash, readBootTime());
    switch (begun.state) {
    case RequestState::Fresh:
        return std::nullopt;
    case RequestState::Done:
        return toAnswer(*begun.answer);
    case RequestState::InProgress:
        return makeFailure(ErrorKind::RequestInProgress, "the same request id is running");
    case RequestState::Unknown:
        return makeFailure(ErrorKind::DuplicateRequest,
                           "the same request id was dispatched before");
    case RequestState::Full:
        return makeFailure(ErrorKind::Overloaded, "too many request ids are remembered");
    }
    return makeFailure(ErrorKind::Internal, "unknown state of a request id");
}

ErrorKind OwnerPath::verifyNew(asio::io_context &io, const RoutedRequest &request, Slot slot)
{
    const std::vector<LineageSession> lineage = this->driver->findLineage(request.service, slot);
    if (lineage.empty()) {
        return ErrorKind::None;
    }
    const auto waiter = std::make_shared<Waiter>(io);
    const Time now = readBootTime();
    const Time deadline = std::min(request.deadline, now + journalTimeout);
    {
        const std::lock_guard lock(this->journalMutex);
        const LookupTicket ticket = this->lookup.begin(request.id, lineage, deadline, now);
        this->lookupWaiters.emplace(ticket, waiter);
    }
    this->sendJournalOutput();
    waiter->event.waitFor(deadline - now + journalTimeout);
    if (waiter->verdict == LookupVerdict::New) {
        return ErrorKind::None;
    }
    const std::lock_guard lock(this->journalMutex);
    if (waiter->verdict == LookupVerdict::Known) {
        this->memory.finish(request.id, std::nullopt, readBootTime());
    } else {
        this->memory.erase(request.id);
    }
    return ErrorKind::DuplicateRequest;
}

ErrorKind OwnerPath::writeJournal(asio::io_context &io, const RoutedRequest &request)
{
    const auto waiter = std::make_shared<Waiter>(io);
    const Time now = readBootTime();
    const Time deadline = std::min(request.deadline, now + journalTimeout);
    {
        const std::lock_guard lock(this->journalMutex);
        // The ids from a handover must be written to the peers before a request for the slots that
        // were handed over runs. Writes complete in order, so a later write completes after them.
        if (!this->writer || !this->pendingImports.empty()) {
            this->memory.erase(request.id);
            return ErrorKind::NoOwner;
        }
        const WriteTicket ticket =
                this->writer->write({{request.id, request.keyHash}}, deadline, now);
        this->writeWaiters.emplace(std::pair(this->writerSession, ticket), waiter);
    }
    this->sendJournalOutput();
    waiter->event.waitFor(deadline - now + journalTimeout);
    if (waiter->written) {
        return ErrorKind::None;
    }
    this->forget(request);
    return ErrorKind::NoOwner;
}

void OwnerPath::remember(const RoutedRequest &request, const RoutedAnswer &answer)
{
    if (errorInfo(answer.error).outcome == Outcome::NotRun) {
        this->forget(request);
        return;
    }
    std::optional<StoredAnswer> stored;
    if (answer.error == ErrorKind::None) {
        stored = toStored(answer.http);
    }
    const std::lock_guard lock(this->journalMutex);
    this->memory.finish(request.id, std::move(stored), readBootTime());
}

void OwnerPath::forget(const RoutedRequest &request)
{
    {
        const std::lock_guard lock(this->journalMutex);
        this->memory.erase(request.id);
        for (JournalWriter *target : {this->writer.get(), this->previousWriter.get()}) {
            if (target != nullptr) {
                target->erase({request.id}, readBootTime());
            }
        }
    }
    this->sendJournalOutput();
}

void OwnerPath::sendJournalOutput()
{
    std::vector<JournalMessage> messages;
    {
        const std::lock_guard lock(this->journalMutex);
        this->takeWriterOutput(this->writer.get(), this->writerSession, messages);
        this->takeWriterOutput(this->previousWriter.get(), this->previousSession, messages);
        LookupOutput found = this->lookup.takeOutput();
        this->timer->arm(this->lookup.nextDue());
        this->wakeLookups(found);
        std::move(found.messages.begin(), found.messages.end(), std::back_inserter(messages));
    }
    for (JournalMessage &message : messages) {
        this->hooks.send(message.to, std::move(message.message));
    }
}

void OwnerPath::takeWriterOutput(JournalWriter *source, std::uint64_t session,
                                 std::vector<JournalMessage> &messages)
{
    if (source == nullptr) {
        return;
    }
    JournalOutput output = source->takeOutput();
    this->timer->arm(source->nextDue());
    const auto wake = [&](WriteTicket ticket, bool isWritten) {
        const auto waiting = this->writeWaiters.find({session, ticket});
        if (waiting != this->writeWaiters.end()) {
            waiting->second->written = isWritten;
            waiting->second->event.notify();
            this->writeWaiters.erase(waiting);
        }
        if (session == this->writerSession && ticket == this->importTicket) {
            this->finishImport(isWritten);
        }
    };
    for (const WriteTicket ticket : output.written) {
        wake(ticket, true);
    }
    for (const WriteTicket ticket : output.failed) {
        wake(ticket, false);
    }
    std::move(output.messages.begin(), output.messages.end(), std::back_inserter(messages));
}

void OwnerPath::wakeLookups(const LookupOutput &found)
{
    for (const LookupResult &result : found.results) {
        const auto waiting = this->lookupWaiters.find(result.ticket);
        if (waiting != this->lookupWaiters.end()) {
            waiting->second->verdict = result.verdict;
            waiting->second->event.notify();
            this->lookupWaiters.erase(waiting);
        }
    }
}

// ---- Handover ----

std::vector<wire::RememberedRequest> OwnerPath::remembered(const SlotKeys &keys)
{
    std::vector<wire::RememberedRequest> result;
    const auto slotOfKey = [&keys](std::uint64_t keyHash) {
        return keys.contains(keyHash) ? keys.slot : slotCount;
    };
    const std::lock_guard lock(this->journalMutex);
    for (const RememberedId &entry : this->memory.collect({keys.slot}, slotOfKey, readBootTime())) {
        wire::RememberedRequest request;
        *request.mutable_id() = toWire(entry.id);
        request.set_key_hash(entry.keyHash);
        request.set_done(entry.done);
        result.push_back(std::move(request));
    }
    return result;
}

void OwnerPath::importRemembered(const std::vector<wire::RememberedRequest> &requests)
{
    std::vector<RememberedId> ids;
    const std::lock_guard lock(this->journalMutex);
    for (const wire::RememberedRequest &request : requests) {
        ids.push_back({fromWire(request.id()), request.key_hash(), request.done()});
        this->pendingImports.push_back({ids.back().id, ids.back().keyHash});
    }
    this->memory.import(ids, readBootTime());
}

void OwnerPath::startImport(Time now)
{
    if (this->pendingImports.empty() || this->importTicket != 0 || !this->writer) {
        return;
    }
    this->importCount = this->pendingImports.size();
    this->importTicket = this->writer->write(this->pendingImports, now + importTimeout, now);
}

void OwnerPath::finishImport(bool isWritten)
{
    this->importTicket = 0;
    if (isWritten) {
        this->pendingImports.erase(this->pendingImports.begin(),
                                   this->pendingImports.begin()
                                           + static_cast<std::ptrdiff_t>(this->importCount));
    }
}

// ---- Control thread ----

void OwnerPath::followSession(const OwnSession &session)
{
    const Time now = readBootTime();
    bool isComplete = false;
    {
        const std::lock_guard lock(this->journalMutex);
        if (session.session != this->writerSession) {
            this->previousWriter = std::move(this->writer);
            this->previousSession = this->writerSession;
            this->writerSession = session.session;
            this->importTicket = 0;
            this->writer = session.session == 0 ? nullptr
                                                : std::make_unique<JournalWriter>(session.session);
            this->generation = 0;
            this->peerSets = 0;
        }
        if (this->writer) {
            if (this->generation != session.generation || this->peerSets != session.sets.size()) {
                this->generation = session.generation;
                this->peerSets = session.sets.size();
                this->writer->setPeerSets(toJournalSets(session.sets), now);
            }
            for (const PeerView &peer : session.peers) {
                if (peer.incarnation != 0) {
                    this->writer->notePeer(peer.node, peer.incarnation, now);
                }
            }
            isComplete = this->writer->isComplete(session.generation);
        }
        this->startImport(now);
    }
    this->sendJournalOutput();
    const bool isReported =
            std::all_of(session.peers.begin(), session.peers.end(), [](const PeerView &peer) {
                return peer.journalComplete || peer.incarnation == 0;
            });
    if (isComplete && !isReported) {
        this->driver->setJournalComplete(session);
    }
}

bool OwnerPath::receive(const wire::MeshMessage &message)
{
    const Time now = readBootTime();
    wire::MeshMessage reply;
    switch (message.body_case()) {
    case wire::MeshMessage::kJournalWrite: {
        const bool isReleased = this->driver->hasReleased(message.journal_write().session());
        const std::lock_guard lock(this->journalMutex);
        if (isReleased) {
            this->store.release(message.journal_write().session(), now);
        }
        const auto ack = this->store.accept(message.journal_write(), now);
        if (!ack) {
            return true;
        }
        *reply.mutable_journal_ack() = *ack;
        break;
    }
    case wire::MeshMessage::kJournalErase: {
        const std::lock_guard lock(this->journalMutex);
        this->store.erase(message.journal_erase(), now);
        return true;
    }
    case wire::MeshMessage::kJournalAck: {
        {
            const std::lock_guard lock(this->journalMutex);
            const std::uint64_t session = message.journal_ack().session();
            if (this->writer && session == this->writerSession) {
                this->writer->acknowledge(message.from(), message.journal_ack(), now);
            } else if (this->previousWriter && session == this->previousSession) {
                this->previousWriter->acknowledge(message.from(), message.journal_ack(), now);
            }
        }
        this->sendJournalOutput();
        return true;
    }
    case wire::MeshMessage::kJournalQuery: {
        const bool isReleased = this->driver->hasReleased(message.journal_query().session());
        const std::lock_guard lock(this->journalMutex);
        *reply.mutable_journal_reply() =
                this->store.answer(message.journal_query(), isReleased, now);
        break;
    }
    case wire::MeshMessage::kJournalReply: {
        {
            const std::lock_guard lock(this->journalMutex);
            this->lookup.reply(message.from(), message.journal_reply(), now);
        }
        this->sendJournalOutput();
        return true;
    }
    default:
        return false;
    }
    this->hooks.send(message.from(), std::move(reply));
    return true;
}

void OwnerPath::advance(Time now)
{
    {
        const std::lock_guard lock(this->journalMutex);
        for (JournalWriter *due : {this->writer.get(), this->previousWriter.get()}) {
            if (due != nullptr) {
                due->advance(now);
            }
        }
        this->lookup.advance(now);
        this->startImport(now);
    }
    this->sendJournalOutput();
}

} // namespace kumquat
