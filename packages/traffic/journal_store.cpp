#include "traffic/journal.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr WriteCount countMask = batchNumber(0, ~WriteCount{0});

bool hasId(const wire::JournalEntry &entry)
{
    return entry.has_id() && entry.id().high() != 0;
}

} // namespace

JournalStore::JournalStore(std::uint64_t ownIncarnation, JournalSettings initial)
    : incarnation(ownIncarnation)
    , settings(initial)
{}

std::optional<wire::JournalAck> JournalStore::accept(const wire::JournalWrite &write, Time now)
{
    this->expire(now);
    const WriteCount count = write.batch() & countMask;
    if (batchNumber(this->incarnation, count) != write.batch()) {
        return std::nullopt;
    }
    const auto size = static_cast<std::size_t>(write.entries_size());
    if (this->idCount + size > this->settings.maxStoredIds) {
        return std::nullopt;
    }
    Session *session = this->findOrAdd(write.session(), now);
    if (session == nullptr) {
        return std::nullopt;
    }
    wire::JournalAck ack;
    ack.set_session(write.session());
    ack.set_batch(write.batch());
    ack.set_accepted(!session->released);
    if (session->released) {
        return ack;
    }
    for (const wire::JournalEntry &entry : write.entries()) {
        if (!hasId(entry)) {
            continue;
        }
        const RequestId id = fromWire(entry.id());
        const auto [stored, added] = session->ids.try_emplace(id);
        stored->second.count = std::max(stored->second.count, count);
        stored->second.expires = now + this->settings.idLifetime;
        this->expiries.push_back(
                {.due = stored->second.expires, .session = write.session(), .id = id});
        this->idCount += added ? 1 : 0;
    }
    session->complete = session->complete || write.complete();
    return ack;
}

void JournalStore::erase(const wire::JournalErase &erase, Time now)
{
    this->expire(now);
    const auto session = this->sessions.find(erase.session());
    if (session == this->sessions.end()) {
        return;
    }
    for (const wire::JournalEntry &entry : erase.entries()) {
        const auto stored = session->second.ids.find(fromWire(entry.id()));
        if (stored != session->second.ids.end() && stored->second.count <= entry.key_hash()) {
            session->second.ids.erase(stored);
            --this->idCount;
        }
    }
}

void JournalStore::release(std::uint64_t session, Time now)
{
    this->expire(now);
    if (Session *known = this->findOrAdd(session, now)) {
        known->released = true;
        known->lastUsed = now;
    }
}

wire::JournalReply JournalStore::answer(const wire::JournalQuery &query, bool mayRelease, Time now)
{
    this->expire(now);
    if (mayRelease) {
        this->release(query.session(), now);
    }
    wire::JournalReply reply;
    reply.set_session(query.session());
    reply.set_query(query.query());
    reply.set_verdict(wire::JOURNAL_UNKNOWN);
    const auto session = this->sessions.find(query.session());
    if (session == this->sessions.end()) {
        return reply;
    }
    if (session->second.ids.contains(fromWire(query.id()))) {
        reply.set_verdict(wire::JOURNAL_KNOWN);
    } else if (session->second.complete && session->second.released) {
        reply.set_verdict(wire::JOURNAL_NOT_KNOWN);
    }
    return reply;
}

void JournalStore::expire(Time now)
{
    while (!this->expiries.empty() && this->expiries.front().due <= now) {
        const Expiry expiry = this->expiries.front();
        this->expiries.pop_front();
        const auto session = this->sessions.find(expiry.session);
        if (session == this->sessions.end()) {
            continue;
        }
        const auto stored = session->second.ids.find(expiry.id);
        // An id that was written again has its own later expiry entry.
        if (stored != session->second.ids.end() && stored->second.expires <= now) {
            session->second.ids.erase(stored);
            --this->idCount;
        }
    }
}

bool JournalStore::isComplete(std::uint64_t session) const
{
    const auto found = this->sessions.find(session);
    return found != this->sessions.end() && found->second.complete;
}

// Returns nothing if the session is unknown and there is no space for it, because every known
// session still has ids.
JournalStore::Session *JournalStore::findOrAdd(std::uint64_t session, Time now)
{
    const auto found = this->sessions.find(session);
    if (found == this->sessions.end() && this->sessions.size() >= this->settings.maxSessions
        && !this->evictSession()) {
        return nullptr;
    }
    Session &known = this->sessions[session];
    known.lastUsed = now;
    return &known;
}

// Forgets the least recently used session without ids, which then counts as incomplete. Returns
// false if every session has ids.
bool JournalStore::evictSession()
{
    auto oldest = this->sessions.end();
    for (auto session = this->sessions.begin(); session != this->sessions.end(); ++session) {
        const bool older = oldest == this->sessions.end()
                           || session->second.lastUsed < oldest->second.lastUsed;
        if (session->second.ids.empty() && older) {
            oldest = session;
        }
    }
    if (oldest == this->sessions.end()) {
        return false;
    }
    this->sessions.erase(oldest);
    return true;
}

} // namespace kumquat
