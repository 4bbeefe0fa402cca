// The journal of non-idempotent request ids at the peers of a session (design page, section 4.2).
//
// Sections: 1 shared types, 2 owner (JournalWriter), 3 peer (JournalStore), 4 new owner
// (JournalLookup). All three take the time and are driven by calls; none of them is thread-safe.
//
//   WriteTicket ticket = writer.write({{id, keyHash}}, deadline, now);
//   JournalOutput out = writer.takeOutput(); // send out.messages; dispatch what out.written names
//
// How a batch number is built: the upper 24 bits are the low 24 bits of the incarnation of the peer
// that the write is addressed to; the lower 40 bits count the owner's writes. A peer that restarted
// drops writes to its earlier incarnation, so a late `complete` cannot make it complete again.
// In JournalErase, the field key_hash carries the last write count that the erase undoes, so a late
// erase cannot remove an id that was written again. An id is found without its key hash.
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "traffic/request_id.h"
#include "wire/mesh.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace kumquat {

// ---- 1 shared types ---------------------------------------------------------------------------

struct JournalId
{
    RequestId id;
    std::uint64_t keyHash = 0;
};

// One message to the process of a node, which may be this node itself.
struct JournalMessage
{
    std::string to;            // node name
    wire::MeshMessage message; // the mesh fills in `from`
};

struct JournalSettings
{
    Duration idLifetime = requestIdLifetime; // how long an id is kept
    Duration maxBatchDelay = 300us;          // longest wait for more ids while a batch is under way
    Duration loadedBatchInterval = 800us;    // from one batch to the next under load
    std::size_t loadedBatchIds = 4;          // ids in the last batch that show load
    Duration initialResendDelay = 10ms;      // first resend; doubles up to maxResendDelay
    Duration maxResendDelay = 400ms;         // one renewal round
    Duration ackTimeout = 1s;             // without an acknowledgement; then a new copy is needed
    std::size_t maxBatchIds = 512;        // ids a message, about 20 KB
    std::size_t maxCopyParts = 8;         // messages of a copy under way to one peer
    std::size_t maxStoredIds = 4'000'000; // most ids that a peer keeps, over all sessions
    std::size_t maxSessions = 4096;       // that a peer knows, with released ones
};

// Majority of a set of peers; 0 for an empty set.
constexpr std::size_t journalMajority(std::size_t peers)
{
    return peers == 0 ? 0 : peers / 2 + 1;
}

// Returns the batch number of a write to an incarnation of a peer.
constexpr std::uint64_t batchNumber(std::uint64_t incarnation, std::uint64_t count)
{
    return incarnation << 40 | (count & 0xff'ffff'ffff);
}

wire::RequestId toWire(const RequestId &id);
RequestId fromWire(const wire::RequestId &id);

// ---- 2 owner ----------------------------------------------------------------------------------

using WriteTicket = std::uint64_t;
using WriteCount = std::uint64_t; // 40 bits; 3 years at 10,000 writes/s

struct JournalOutput
{
    std::vector<JournalMessage> messages;
    std::vector<WriteTicket> written; // a majority has the ids: dispatch
    std::vector<WriteTicket> failed;  // deadline passed or session over: do not dispatch
};

struct JournalPeerSet
{
    std::uint32_t generation = 0;
    std::vector<std::string> peers; // node names
};

// The owner's side, one object a session.
class JournalWriter
{
public:
    explicit JournalWriter(std::uint64_t session, JournalSettings settings = {});

    // Sets the peer sets in force by the log: the last settled one and all later ones, oldest
    // first. Call on reading Join, Peers and PeersSettled of the own session. Without peers, writes
    // succeed at once.
    void setPeerSets(std::vector<JournalPeerSet> sets, Time now);

    // Notes the incarnation in a Grant. Nothing is sent to a peer before its first Grant.
    // A new incarnation gets a copy of every id that is remembered.
    void notePeer(const std::string &node, std::uint64_t incarnation, Time now);

    // Writes ids to the peers; use it for new requests and for ids imported from a handover.
    // takeOutput names the ticket as written or, at the deadline, as failed.
    WriteTicket write(const std::vector<JournalId> &ids, Time deadline, Time now);

    // Erases ids whose requests were provably not run. Fails a write that still waits for them.
    void erase(const std::vector<RequestId> &ids, Time now);

    void acknowledge(const std::string &from, const wire::JournalAck &ack, Time now);

    // Sends what is due, fails what is late. Call at nextDue.
    void advance(Time now);
    std::optional<Time> nextDue() const;

    // Returns and clears the output. Call after each other call.
    JournalOutput takeOutput();

    // Returns whether the set holds every remembered id at a majority of complete peers, and
    // every later dispatch needs its majority too. Then the owner may append PeersSettled.
    bool isComplete(std::uint32_t generation) const;

    // Returns whether a peer refused a write because it has released the session.
    bool isReleased() const { return this->sessionReleased; }

    std::size_t size() const { return this->remembered.size(); }

private:
    // Ids of one flush, tracked until every peer set in force holds them at a majority.
    struct Batch
    {
        std::vector<wire::JournalEntry> entries;
        std::set<std::string> holders; // peers whose present incarnation has the ids
        Time expires{};                // of the ids
    };

    // One write call.
    struct PendingWrite
    {
        std::vector<RequestId> ids;
        Time deadline{};
        WriteCount first = 0; // its ids are in batches first to last; 0: not sent yet
        WriteCount last = 0;
    };

    // A peer is Absent until its first Grant, and again when it stops acknowledging.
    enum class PeerState : std::uint8_t { Absent, Copying, SendingFlag, Complete };

    // A write that one peer has not acknowledged.
    struct Sent
    {
        wire::JournalWrite write;
        Time since{};
        Time due{}; // next resend
        Duration backoff{};
    };

    struct Peer
    {
        std::uint64_t incarnation = 0;
        PeerState state = PeerState::Absent;
        WriteCount copyUpTo = 0;       // batches up to this count are part of the copy
        WriteCount flagCount = 0;      // count of the write with the flag
        std::uint64_t copyNext = 0;    // position of the next id of the copy
        std::uint64_t copyEnd = 0;     // position after its last id
        std::set<WriteCount> copySent; // its parts that are not acknowledged
        std::map<WriteCount, Sent> sent;
    };

    struct Remembered
    {
        std::uint64_t keyHash = 0;
        Time expires{};
    };

    struct Expiry
    {
        Time due{};
        RequestId id;
    };

    void remember(const std::vector<JournalId> &ids, Time now);
    void expire(Time now);
    Time flushTime(Time now) const;
    void flush(Time now);
    void startCopy(const std::string &node, Peer &peer, Time now);
    void continueCopy(const std::string &node, Peer &peer, Time now);
    std::vector<wire::JournalEntry> takeCopyPart(Peer &peer) const;
    void finishCopy(const std::string &node, Peer &peer);
    void send(const std::string &node, Peer &peer, WriteCount count,
              std::vector<wire::JournalEntry> entries, bool complete, Time now);
    void resend(const std::string &node, Peer &peer, Time now);
    void sendErase(const std::vector<RequestId> &ids);
    void removeUnacknowledged(const std::set<RequestId> &ids);
    void removeHolder(const std::string &node);
    void completeWrites();
    bool hasMajority(const JournalPeerSet &set, const Batch &batch) const;
    bool isWritten(const Batch &batch) const;
    bool isWritten(const PendingWrite &pending) const;
    bool hasPeers() const;
    void failAll();

    std::uint64_t session;
    JournalSettings settings;
    std::vector<JournalPeerSet> sets;
    std::set<std::uint32_t> requiredGenerations; // generations whose majority each dispatch needs
    std::map<std::string, Peer> peers;
    std::unordered_map<RequestId, Remembered, RequestIdHash> remembered;
    std::deque<Expiry> expiries;           // ascending by due; names every remembered id
    std::uint64_t expiredCount = 0;        // position of the first entry of expiries
    std::vector<wire::JournalEntry> queue; // not sent yet
    std::optional<Time> flushDue;
    Time lastFlush{};
    std::size_t lastFlushIds = 0;
    std::map<WriteCount, Batch> batches;
    std::map<WriteTicket, PendingWrite> pendingWrites;
    WriteCount lastCount = 0;
    WriteTicket lastTicket = 0;
    bool sessionReleased = false;
    JournalOutput output;
};

// ---- 3 peer -----------------------------------------------------------------------------------

// The peer's side, one object a process.
class JournalStore
{
public:
    // Takes the incarnation of the own process, as its Grants carry it.
    explicit JournalStore(std::uint64_t incarnation, JournalSettings settings = {});

    // Keeps the ids of a write. Returns nothing if the write is to be dropped without an answer:
    // addressed to an earlier incarnation, malformed, or no space left.
    std::optional<wire::JournalAck> accept(const wire::JournalWrite &write, Time now);

    void erase(const wire::JournalErase &erase, Time now);

    // Stops accepting writes of a session. Call before a ReleaseReply with released = true.
    void release(std::uint64_t session, Time now);

    // Answers a query. `mayRelease`: this process has read the end of the session and none of its
    // grants to it is valid; then the session is released first. Before its release the answer is
    // never "not known", because a write could still follow.
    wire::JournalReply answer(const wire::JournalQuery &query, bool mayRelease, Time now);

    // Forgets expired ids. accept does this too.
    void expire(Time now);

    bool isComplete(std::uint64_t session) const;
    std::size_t size() const { return this->idCount; }

private:
    struct StoredId
    {
        WriteCount count = 0; // highest write count that carried the id
        Time expires{};
    };

    struct Session
    {
        bool complete = false;
        bool released = false;
        Time lastUsed{};
        std::unordered_map<RequestId, StoredId, RequestIdHash> ids;
    };

    struct Expiry
    {
        Time due{};
        std::uint64_t session = 0;
        RequestId id;
    };

    Session *findOrAdd(std::uint64_t session, Time now);
    bool evictSession();

    std::uint64_t incarnation;
    JournalSettings settings;
    std::map<std::uint64_t, Session> sessions;
    std::deque<Expiry> expiries; // ascending by due
    std::size_t idCount = 0;
};

// ---- 4 new owner ------------------------------------------------------------------------------

using LookupTicket = std::uint64_t;

enum class LookupVerdict : std::uint8_t {
    New,     // no predecessor dispatched the id
    Known,   // a peer has the id
    Unknown, // no proof in time; do not run, a later attempt may ask again
};

inline constexpr NameTable<LookupVerdict, 3> lookupVerdictNames{
        {{{LookupVerdict::New, "new"},
          {LookupVerdict::Known, "known"},
          {LookupVerdict::Unknown, "unknown"}}}};

// A session that lost the slot without a complete handover, with its peer sets in force at its end.
struct LineageSession
{
    std::uint64_t session = 0;
    std::vector<JournalPeerSet> peerSets;
};

struct LookupResult
{
    LookupTicket ticket = 0;
    LookupVerdict verdict = LookupVerdict::Unknown;
};

struct LookupOutput
{
    std::vector<JournalMessage> messages;
    std::vector<LookupResult> results;
};

// The new owner's side, one object a process.
class JournalLookup
{
public:
    static constexpr std::size_t lineageLimit = 4; // sessions that a slot's lineage can hold

    // Takes the incarnation of the own process: tickets count from it, so that a reply to an
    // earlier incarnation cannot be taken for a reply to this one.
    explicit JournalLookup(std::uint64_t incarnation, JournalSettings settings = {});

    // Asks about one id. `lineage`: the sessions whose end was read within the last 200 s (or since
    // the own start). An empty lineage is New at once; a full one or a session without peers is
    // Unknown at once.
    LookupTicket begin(const RequestId &id, const std::vector<LineageSession> &lineage,
                       Time deadline, Time now);

    void reply(const std::string &from, const wire::JournalReply &reply, Time now);

    // Resends queries and ends late lookups. Call at nextDue.
    void advance(Time now);
    std::optional<Time> nextDue() const;

    // Returns and clears the output. Call after each other call.
    LookupOutput takeOutput();

private:
    struct Lookup
    {
        RequestId id;
        std::vector<LineageSession> lineage;
        std::map<std::uint64_t, std::set<std::string>> notKnown; // by session: peers
        Time deadline{};
        Time due{}; // next resend
        Duration backoff{};
    };

    void sendQueries(LookupTicket ticket, const Lookup &lookup);
    bool isNew(const Lookup &lookup) const;
    void end(LookupTicket ticket, LookupVerdict verdict);

    JournalSettings settings;
    std::map<LookupTicket, Lookup> lookups;
    LookupTicket lastTicket;
    LookupOutput output;
};

} // namespace kumquat
