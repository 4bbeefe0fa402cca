// Sections: setup, request, ownership, memory and journal, hooks of the engine, control thread.
#include "node/owner_path.h"

#include "base/log.h"
#include "base/text.h"
#include "node/upstream.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace kumquat {
namespace {

constexpr Duration ownershipPoll = 5ms;  // between looks at a slot that waits for its proof
constexpr int maxHeldRequests = 1'024;   // that wait for a handover or takeover
constexpr Duration journalLimit = 500ms; // for a majority of peers to answer
constexpr Duration importLimit = 10s;    // for ids from a handover to reach a majority

RoutedAnswer failure(ErrorKind kind, std::string_view why)
{
    return makeFailure(kind, std::string(why));
}

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

// ---- Setup ----

OwnerPath::OwnerPath(OwnerPathSettings pathSettings, OwnerPathHooks pathHooks)
    : settings(std::move(pathSettings))
    , hooks(std::move(pathHooks))
    , store(this->settings.incarnation)
    , lookup(this->settings.incarnation)
{}

OwnerPath::~OwnerPath() = default;

void OwnerPath::connect(OwnershipDriver &ownershipDriver, FiberThread &control,
                        const std::vector<std::unique_ptr<FiberThread>> &threads)
{
    this->driver = &ownershipDriver;
    this->timer = std::make_unique<DueTimer>(control, [this](Time now) { this->advance(now); });
    this->crashTimer = std::make_unique<DueTimer>(control, [this](Time) { this->reportCrashes(); });
    for (const auto &thread : threads) {
        this->workers.push_back(thread.get());
    }
}

void OwnerPath::announce(const Announcement &announcement)
{
    this->refuseAt = std::numeric_limits<Duration::rep>::max();
    const std::lock_guard lock(this->upstreamMutex);
    if (this->upstream && this->upstream->isSameAs(announcement)) {
        this->upstream->announce(announcement);
        return;
    }
    UpstreamSettings upstreamSettings;
    upstreamSettings.queueLength = this->settings.queueLength;
    upstreamSettings.initialConcurrency = this->settings.initialConcurrency;
    this->upstream = Upstream::create(
            announcement, upstreamSettings, this->workers,
            {.reportCrash =
                     [this](const std::vector<Fingerprint> &running) { this->blame(running); },
             .reportLost = [this](const Upstream *lost) { this->reportLost(lost); }});
    logInfo(LogPart::Upstream, "upstream announced",
            {{"service", announcement.service}, {"address", announcement.address.toString()}});
}

// A probe of an earlier upstream may end after another one has announced itself in its place.
void OwnerPath::reportLost(const Upstream *lost)
{
    if (this->findUpstream().get() == lost) {
        this->hooks.reportUpstreamLost();
    }
}

void OwnerPath::dropUpstream()
{
    const std::lock_guard lock(this->upstreamMutex);
    this->upstream.reset();
}

OwnerPath::UpstreamPtr OwnerPath::findUpstream() const
{
    const std::lock_guard lock(this->upstreamMutex);
    return this->upstream;
}

// ---- Request ----

RoutedAnswer OwnerPath::serve(std::size_t worker, const RoutedRequest &request)
{
    if (this->isQuarantined(request)) {
        return failure(ErrorKind::RequestQuarantined, "this request crashed upstreams before");
    }
    if (readBootTime().count() >= this->refuseAt) {
        return failure(ErrorKind::Draining, "the upstream is leaving");
    }
    const RequestNumber number = this->inFlight.add(request.service, request.keyHash);
    bool mayStillRun = false;
    RoutedAnswer answer = this->serveRegistered(worker, request, number, mayStillRun);
    this->inFlight.end(number, mayStillRun);
    if (!this->driver->route(request.service, request.keyHash).own) {
        this->driver->wake(); // a handover may wait for this request
    }
    return answer;
}

RoutedAnswer OwnerPath::serveRegistered(std::size_t worker, const RoutedRequest &request,
                                        RequestNumber number, bool &mayStillRun)
{
    asio::io_context &io = this->workers[worker]->io();
    const ServeAnswer serving = this->waitForOwnership(io, request);
    if (serving.error != ErrorKind::None) {
        return failure(serving.error, "the key is not served here now");
    }
    if (request.idempotent) {
        return this->dispatchWithRetries(worker, request, number, serving.epoch, mayStillRun);
    }
    if (const absl::Status age = checkAge(request.id, readWallTime()); !age.ok()) {
        return failure(errorKindOf(age), toStd(age.message()));
    }
    if (auto known = this->answerFromMemory(request)) {
        return *std::move(known);
    }
    ErrorKind error = this->proveNew(io, request, serving.slot);
    if (error == ErrorKind::None) {
        error = this->writeJournal(io, request);
    }
    if (error != ErrorKind::None) {
        return failure(error, "the request id could not be shown to be new");
    }
    RoutedAnswer answer =
            this->dispatchWithRetries(worker, request, number, serving.epoch, mayStillRun);
    this->remember(request, answer);
    return answer;
}

RoutedAnswer OwnerPath::dispatchWithRetries(std::size_t worker, const RoutedRequest &request,
                                            RequestNumber number, Epoch epoch, bool &mayStillRun)
{
    const UpstreamPtr target = this->findUpstream();
    if (!target) {
        return failure(ErrorKind::UpstreamUnreachable, "no upstream has announced itself");
    }
    target->noteFirstAttempt(readBootTime());
    for (int attempts = 1;; ++attempts) {
        RoutedAnswer answer = this->dispatch(worker, *target, request, number, epoch);
        mayStillRun = mayStillRun || errorInfo(answer.error).outcome == Outcome::Unknown;
        const RetryQuestion question{.error = answer.error,
                                     .idempotent = request.idempotent,
                                     .attempts = attempts,
                                     .remaining = request.deadline - readBootTime(),
                                     .needed = target->serviceTime()};
        if (answer.error == ErrorKind::None) {
            return answer;
        }
        if (this->isQuarantined(request) || !target->mayRetry(question)) {
            // An earlier attempt may have run, so the last refusal must not say "not run".
            const bool hidesRun = mayStillRun && errorInfo(answer.error).outcome == Outcome::NotRun;
            return hidesRun ? failure(ErrorKind::UpstreamLost, "an earlier attempt may have run")
                            : answer;
        }
    }
}

RoutedAnswer OwnerPath::dispatch(std::size_t worker, Upstream &target, const RoutedRequest &request,
                                 RequestNumber number, Epoch epoch)
{
    asio::io_context &io = this->workers[worker]->io();
    const ErrorKind refused = target.admit(io, number, request.deadline);
    if (refused != ErrorKind::None) {
        return failure(refused, "the upstream has no room for the request");
    }
    // The wait for admission may have outlived the ownership. A change of epoch means that the
    // journal and the memory that were asked belong to an earlier ownership.
    const ServeAnswer serving = this->driver->mayServe(request.service, request.keyHash);
    if (serving.error != ErrorKind::None || serving.epoch != epoch) {
        target.finish(number, CallEnd::Cancelled);
        return failure(serving.error == ErrorKind::None ? ErrorKind::NotOwner : serving.error,
                       "the key moved while the request waited");
    }
    this->hooks.countRequest(serving.slot, request.keyHash);
    const Time expires = std::min(request.deadline, serving.leaseEnd);
    this->inFlight.setExpiry(number, expires);
    RoutedAnswer answer =
            target.call(worker, number, request, {serving.slot, serving.epoch, expires});
    return answer;
}

// ---- Ownership ----

ServeAnswer OwnerPath::waitForOwnership(asio::io_context &io, const RoutedRequest &request)
{
    ServeAnswer serving = this->driver->mayServe(request.service, request.keyHash);
    if (!serving.waiting) {
        return serving;
    }
    if (this->heldRequests.fetch_add(1) >= maxHeldRequests) {
        --this->heldRequests;
        serving.error = ErrorKind::Overloaded;
        return serving;
    }
    while (serving.waiting && readBootTime() + ownershipPoll < request.deadline) {
        sleepFor(io, ownershipPoll);
        serving = this->driver->mayServe(request.service, request.keyHash);
    }
    --this->heldRequests;
    return serving;
}

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
        return failure(ErrorKind::RequestInProgress, "the same request id is running");
    case RequestState::Unknown:
        return failure(ErrorKind::DuplicateRequest, "the same request id was dispatched before");
    case RequestState::Full:
        return failure(ErrorKind::Overloaded, "too many request ids are remembered");
    }
    return failure(ErrorKind::Internal, "unknown state of a request id");
}

ErrorKind OwnerPath::proveNew(asio::io_context &io, const RoutedRequest &request, Slot slot)
{
    const std::vector<LineageSession> lineage = this->driver->findLineage(request.service, slot);
    if (lineage.empty()) {
        return ErrorKind::None;
    }
    const auto waiter = std::make_shared<Waiter>(io);
    const Time now = readBootTime();
    const Time deadline = std::min(request.deadline, now + journalLimit);
    {
        const std::lock_guard lock(this->journalMutex);
        const LookupTicket ticket = this->lookup.begin(request.id, lineage, deadline, now);
        this->lookupWaiters.emplace(ticket, waiter);
    }
    this->sendJournalOutput();
    waiter->event.waitFor(deadline - now + journalLimit);
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
    const Time deadline = std::min(request.deadline, now + journalLimit);
    {
        const std::lock_guard lock(this->journalMutex);
        // Ids from a handover must be at the peers before a request for their slots runs: the
        // queue is in order, so a later write completes after them.
        if (!this->writer || !this->imports.empty()) {
            this->memory.erase(request.id);
            return ErrorKind::NoOwner;
        }
        const WriteTicket ticket =
                this->writer->write({{request.id, request.keyHash}}, deadline, now);
        this->writeWaiters.emplace(std::pair(this->writerSession, ticket), waiter);
    }
    this->sendJournalOutput();
    waiter->event.waitFor(deadline - now + journalLimit);
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
        for (JournalWriter *target : {this->writer.get(), this->endedWriter.get()}) {
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
        this->takeWriterOutput(this->endedWriter.get(), this->endedSession, messages);
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

// ---- Hooks of the engine ----

bool OwnerPath::hasInFlight(const SlotKeys &keys)
{
    return this->inFlight.has(keys, readBootTime());
}

bool OwnerPath::hasAnyInFlight(const std::string &service)
{
    return this->inFlight.hasAny(service, readBootTime());
}

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
        this->imports.push_back({ids.back().id, ids.back().keyHash});
    }
    this->memory.import(ids, readBootTime());
}

void OwnerPath::startImport(Time now)
{
    if (this->imports.empty() || this->importTicket != 0 || !this->writer) {
        return;
    }
    this->importCount = this->imports.size();
    this->importTicket = this->writer->write(this->imports, now + importLimit, now);
}

void OwnerPath::finishImport(bool isWritten)
{
    this->importTicket = 0;
    if (isWritten) {
        this->imports.erase(this->imports.begin(),
                            this->imports.begin() + static_cast<std::ptrdiff_t>(this->importCount));
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
            this->endedWriter = std::move(this->writer);
            this->endedSession = this->writerSession;
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
            } else if (this->endedWriter && session == this->endedSession) {
                this->endedWriter->acknowledge(message.from(), message.journal_ack(), now);
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
        for (JournalWriter *due : {this->writer.get(), this->endedWriter.get()}) {
            if (due != nullptr) {
                due->advance(now);
            }
        }
        this->lookup.advance(now);
        this->startImport(now);
    }
    this->sendJournalOutput();
}

void OwnerPath::blame(const std::vector<Fingerprint> &running)
{
    {
        const std::lock_guard lock(this->upstreamMutex);
        this->crashGuard.blame(running, makeRandomNumber(), readBootTime());
    }
    this->reportCrashes();
}

bool OwnerPath::isQuarantined(const RoutedRequest &request) const
{
    const std::lock_guard lock(this->upstreamMutex);
    return this->crashGuard.isQuarantined(request.fingerprint, readBootTime());
}

void OwnerPath::reportCrashes()
{
    std::optional<CrashReport> report;
    {
        const std::lock_guard lock(this->upstreamMutex);
        report = this->crashGuard.takeReport(readBootTime());
        this->crashTimer->arm(this->crashGuard.nextReport());
    }
    if (!report) {
        return;
    }
    wire::LogRecord record;
    wire::CrashSuspect *suspect = record.mutable_crash_suspect();
    suspect->set_node(this->settings.node);
    suspect->set_crash_id(report->crashId);
    for (const Fingerprint fingerprint : report->fingerprints) {
        suspect->add_fingerprints(fingerprint);
    }
    this->hooks.append(record);
}

void OwnerPath::applyCrash(const wire::CrashSuspect &suspect)
{
    const std::vector<Fingerprint> fingerprints(suspect.fingerprints().begin(),
                                                suspect.fingerprints().end());
    const std::lock_guard lock(this->upstreamMutex);
    this->crashGuard.applyRecord(fingerprints, suspect.crash_id(), readBootTime());
}

double OwnerPath::utilisation() const
{
    const UpstreamPtr target = this->findUpstream();
    return target ? target->utilisation() : 0;
}

} // namespace kumquat
