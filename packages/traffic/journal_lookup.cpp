#include "traffic/journal.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

bool hasPeers(const LineageSession &session)
{
    return !session.peerSets.empty()
           && std::none_of(session.peerSets.begin(), session.peerSets.end(),
                           [](const JournalPeerSet &set) { return set.peers.empty(); });
}

std::set<std::string> peerNames(const LineageSession &session)
{
    std::set<std::string> names;
    for (const JournalPeerSet &set : session.peerSets) {
        names.insert(set.peers.begin(), set.peers.end());
    }
    return names;
}

} // namespace

JournalLookup::JournalLookup(std::uint64_t incarnation, JournalSettings initial)
    : settings(initial)
    , lastTicket(incarnation)
{}

LookupTicket JournalLookup::begin(const RequestId &id, const std::vector<LineageSession> &lineage,
                                  Time deadline, Time now)
{
    const LookupTicket ticket = ++this->lastTicket;
    if (lineage.empty()) {
        this->output.results.push_back({.ticket = ticket, .verdict = LookupVerdict::New});
        return ticket;
    }
    // A full lineage may have dropped its oldest session.
    const bool provable =
            lineage.size() < lineageLimit && std::all_of(lineage.begin(), lineage.end(), hasPeers);
    if (!provable) {
        this->output.results.push_back({.ticket = ticket, .verdict = LookupVerdict::Unknown});
        return ticket;
    }
    Lookup &lookup = this->lookups[ticket];
    lookup.id = id;
    lookup.lineage = lineage;
    lookup.deadline = deadline;
    lookup.backoff = this->settings.initialResendDelay;
    lookup.due = now + lookup.backoff;
    this->sendQueries(ticket, lookup);
    return ticket;
}

void JournalLookup::reply(const std::string &from, const wire::JournalReply &reply, Time now)
{
    const auto found = this->lookups.find(reply.query());
    if (found == this->lookups.end() || found->second.deadline <= now) {
        return;
    }
    Lookup &lookup = found->second;
    const bool isExpected = std::any_of(
            lookup.lineage.begin(), lookup.lineage.end(), [&](const LineageSession &session) {
                return session.session == reply.session() && peerNames(session).contains(from);
            });
    if (!isExpected) {
        return;
    }
    if (reply.verdict() == wire::JOURNAL_KNOWN) {
        this->end(found->first, LookupVerdict::Known);
        return;
    }
    if (reply.verdict() == wire::JOURNAL_NOT_KNOWN) {
        lookup.notKnown[reply.session()].insert(from);
    }
    if (this->isNew(lookup)) {
        this->end(found->first, LookupVerdict::New);
    }
}

void JournalLookup::advance(Time now)
{
    std::vector<LookupTicket> overdue;
    for (auto &[ticket, lookup] : this->lookups) {
        if (lookup.deadline <= now) {
            overdue.push_back(ticket);
        } else if (lookup.due <= now) {
            lookup.backoff = std::min(lookup.backoff * 2, this->settings.maxResendDelay);
            lookup.due = now + lookup.backoff;
            this->sendQueries(ticket, lookup);
        }
    }
    for (const LookupTicket ticket : overdue) {
        this->end(ticket, LookupVerdict::Unknown);
    }
}

std::optional<Time> JournalLookup::nextDue() const
{
    std::optional<Time> next;
    for (const auto &[ticket, lookup] : this->lookups) {
        const Time due = std::min(lookup.due, lookup.deadline);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

LookupOutput JournalLookup::takeOutput()
{
    return std::exchange(this->output, {});
}

// Queries every peer that has not answered "not known".
void JournalLookup::sendQueries(LookupTicket ticket, const Lookup &lookup)
{
    for (const LineageSession &session : lookup.lineage) {
        const auto answered = lookup.notKnown.find(session.session);
        for (const std::string &node : peerNames(session)) {
            if (answered != lookup.notKnown.end() && answered->second.contains(node)) {
                continue;
            }
            JournalMessage message{.to = node, .message = {}};
            wire::JournalQuery &query = *message.message.mutable_journal_query();
            query.set_session(session.session);
            *query.mutable_id() = toWire(lookup.id);
            query.set_query(ticket);
            this->output.messages.push_back(std::move(message));
        }
    }
}

// Returns whether a majority of every peer set answered "not known". A write needs a majority of
// each set in force, so at least one of these peers would have stored the id.
bool JournalLookup::isNew(const Lookup &lookup) const
{
    const auto isProved = [&](const LineageSession &session) {
        const auto answered = lookup.notKnown.find(session.session);
        if (answered == lookup.notKnown.end()) {
            return false;
        }
        return std::all_of(
                session.peerSets.begin(), session.peerSets.end(), [&](const JournalPeerSet &set) {
                    const auto count = std::count_if(
                            set.peers.begin(), set.peers.end(),
                            [&](const auto &node) { return answered->second.contains(node); });
                    return static_cast<std::size_t>(count) >= journalMajority(set.peers.size());
                });
    };
    return std::all_of(lookup.lineage.begin(), lookup.lineage.end(), isProved);
}

void JournalLookup::end(LookupTicket ticket, LookupVerdict verdict)
{
    this->lookups.erase(ticket);
    this->output.results.push_back({.ticket = ticket, .verdict = verdict});
}

} // namespace kumquat
