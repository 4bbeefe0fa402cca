// The journal of non-idempotent request ids, stored at the peers of a session. From it, a new owner
// learns whether a predecessor may have dispatched an id (design page, section 4.2).
//
// Sections: 1 shared types, 2 owner (JournalWriter), 3 peer (JournalStore), 4 new owner
// (JournalLookup). All three classes are driven by calls that pass the current time; none of them
// is thread-safe.
//
//   WriteTicket ticket = writer.write({{id, keyHash}}, deadline, now);
//   JournalOutput out = writer.takeOutput(); // send out.messages, dispatch out.written
//
// Batch numbers: the upper 24 bits are the low 24 bits of the incarnation of the addressed peer;
// the lower 40 bits count the owner's writes. A restarted peer drops writes to its earlier
// incarnation, so that a late `complete` flag cannot make it complete again.
// In JournalErase, the field key_hash carries the last write count that the erase undoes, so that a
// late erase cannot remove an id that was written again. Ids are looked up without their key hash.
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

// A message to the process of a node, which may be the local node.
struct JournalMessage
{
    std::string to;            // node name
    wire::MeshMessage message; // the mesh sets `from`
};

struct JournalSettings
{
    Duration idLifetime = requestIdLifetime; // how long an id is kept
    Duration maxBatchDelay = 300us; // longest wait for more ids while a write is unacknowledged
    Duration loadedBatchInterval = 800us; // time between two batches under load
    std::size_t loadedBatchIds = 4;     // ids in the last batch from which the load counts as high
    Duration initialResendDelay = 10ms; // doubles with each resend up to maxResendDelay
    Duration maxResendDelay = 400ms;    // one lease renewal round
    Duration ackTimeout = 1s;           // then the peer needs a new copy
    std::size_t maxBatchIds = 512;      // ids per message, about 20 KB
    std::size_t maxCopyParts = 8;       // unacknowledged messages of a copy to one peer
    std::size_t maxStoredIds = 4'000'000; // ids that a peer stores, over all sessions
    std::size_t maxSessions = 4096;       // sessions that a peer knows, including released ones
};

// Returns the majority of a number of peers; 0 for no peers.
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
using WriteCount = std::uint64_t; // 40 bits, enough for 3 years at 10,000 writes/s

struct JournalOutput
{
    std::vector<JournalMessage> messages;
    std::vector<WriteTicket> written; // a majority has stored the ids: dispatch
    // The deadline passed, the ids were erased or the session was released: do not dispatch.
    std::vector<WriteTicket> failed;
};

struct JournalPeerSet
{
    std::uint32_t generation = 0;
    std::vector<std::string> peers; // node names
};

// The owner's side; one object per session.
class JournalWriter
{
public:
    explicit JournalWriter(std::uint64_t session, JournalSettings settings = {});

    // Sets the peer sets in force according to the log: the last settled set and all later ones,
    // oldest first. Call it after reading Join, Peers or PeersSettled of the local session. Without
    // peers, writes succeed at once.
    void setPeerSets(std::vector<JournalPeerSet> sets, Time now);

    // Records the incarnation in a peer's Grant. Nothing is sent to a peer before its first Grant.
    // A new incarnation is sent a copy of every remembered id.
    void notePeer(const std::string &node, std::uint64_t incarnation, Time now);

    // Writes ids to the peers, for new requests and for ids imported from a handover. A later
    // output lists the ticket as written or, at the deadline, as failed.
    WriteTicket write(const std::vector<JournalId> &ids, Time deadline, Time now);

    // Erases ids whose requests provably did not run. A pending write that contains one of them
    // fails.
    void erase(const std::vector<RequestId> &ids, Time now);

    void acknowledge(const std::string &from, const wire::JournalAck &ack, Time now);

    // Sends what is due and fails writes past their deadline. Call it at nextDue.
    void advance(Time now);
    std::optional<Time> nextDue() const;

    // Returns and clears the output. Call it after each other call.
    JournalOutput takeOutput();

    // Returns whether a majority of complete peers of the set has every remembered id, and every
    // later dispatch needs such a majority too. The owner may then append PeersSettled.
    bool isComplete(std::uint32_t generation) const;

    // Returns whether a peer refused a write because it had released the session.
    bool isReleased() const { return this->sessionReleased; }

    std::size_t size() const { return this->remembered.size(); }

private:
    // Ids of one flush, tracked until a majority of every peer set in force has stored them.
    struct Batch
    {
        std::vector<wire::JournalEntry> entries;
        std::set<std::string> holders; // peers whose current incarnation has stored the ids
        Time expires{};                // when the ids expire
    };

    // One call of write() whose outcome is not known yet.
    struct PendingWrite
    {
        std::vector<RequestId> ids;
        Time deadline{};
        // The ids are in the batches from first to last. Both are 0 until the ids are sent.
        WriteCount first = 0;
        WriteCount last = 0;
    };

    // A peer is Absent until its first Grant, and again after it stops acknowledging. It becomes
    // Complete when it has acknowledged the copy (Copying) and then the complete flag
    // (SendingFlag).
    enum class PeerState : std::uint8_t { Absent, Copying, SendingFlag, Complete };

    // A write that one peer has not acknowledged yet.
    struct SentWrite
    {
        wire::JournalWrite write;
        Time firstSent{};
        Time due{}; // time of the next resend
        Duration backoff{};
    };

    struct Peer
    {
        std::uint64_t incarnation = 0;
        PeerState state = PeerState::Absent;
        WriteCount copyUpTo = 0;       // the copy covers the batches up to this count
        WriteCount flagCount = 0;      // count of the write with the complete flag
        std::uint64_t copyNext = 0;    // position of the next id to copy in expiries
        std::uint64_t copyEnd = 0;     // position after the last id to copy
        std::set<WriteCount> copySent; // parts of the copy that are not acknowledged
        std::map<WriteCount, SentWrite> sent;
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
    // Generations of the peer sets whose majority each dispatch needs.
    std::set<std::uint32_t> requiredGenerations;
    std::map<std::string, Peer> peers;
    std::unordered_map<RequestId, Remembered, RequestIdHash> remembered;
    std::deque<Expiry> expiries; // ascending by due; contains every remembered id
    // Number of entries removed from expiries so far, which is the position of its first entry.
    std::uint64_t expiredCount = 0;
    std::vector<wire::JournalEntry> queue; // entries that are not sent yet
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

// The peer's side; one object per process.
class JournalStore
{
public:
    // `incarnation`: that of the local process, as its Grants carry it.
    explicit JournalStore(std::uint64_t incarnation, JournalSettings settings = {});

    // Stores the ids of a write. Returns nothing if the write must be dropped without an answer: it
    // is addressed to an earlier incarnation or malformed, or there is no space left.
    std::optional<wire::JournalAck> accept(const wire::JournalWrite &write, Time now);

    void erase(const wire::JournalErase &erase, Time now);

    // Stops accepting writes of a session. Call it before sending a ReleaseReply with released =
    // true.
    void release(std::uint64_t session, Time now);

    // Answers a query. `mayRelease`: this process has read the end of the session in the log, and
    // none of its grants to the session is still valid; the session is then released first. Before
    // the release the verdict is never "not known", because a write could still arrive.
    wire::JournalReply answer(const wire::JournalQuery &query, bool mayRelease, Time now);

    // Forgets expired ids. accept, erase, release and answer do this too.
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
    Known,   // a peer has stored the id
    Unknown, // no proof by the deadline; do not run the request, a later attempt may ask again
};

inline constexpr NameTable<LookupVerdict, 3> lookupVerdictNames{
        {{{LookupVerdict::New, "new"},
          {LookupVerdict::Known, "known"},
          {LookupVerdict::Unknown, "unknown"}}}};

// A session that lost the slot without a complete handover, with the peer sets in force at its end.
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

// The new owner's side; one object per process.
class JournalLookup
{
public:
    // Maximum number of sessions in the lineage of a slot.
    static constexpr std::size_t lineageLimit = 4;

    // `incarnation`: that of the local process. Tickets count from it, so that a reply to an
    // earlier incarnation does not match a ticket of this one.
    explicit JournalLookup(std::uint64_t incarnation, JournalSettings settings = {});

    // Looks up one id. `lineage`: the sessions whose end was read within the last 200 s, or since
    // the local process started. An empty lineage gives New at once. A full lineage, or a session
    // without peers, gives Unknown at once.
    LookupTicket begin(const RequestId &id, const std::vector<LineageSession> &lineage,
                       Time deadline, Time now);

    void reply(const std::string &from, const wire::JournalReply &reply, Time now);

    // Resends queries and ends lookups past their deadline. Call it at nextDue.
    void advance(Time now);
    std::optional<Time> nextDue() const;

    // Returns and clears the output. Call it after each other call.
    LookupOutput takeOutput();

private:
    struct Lookup
    {
        RequestId id;
        std::vector<LineageSession> lineage;
        // Peers that answered "not known", by session.
        std::map<std::uint64_t, std::set<std::string>> notKnown;
        Time deadline{};
        Time due{}; // time of the next resend
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
