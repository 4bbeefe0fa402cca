// Simulates the owners, peers and network of one slot around JournalWriter, JournalStore and
// JournalLookup.
#pragma once

#include "traffic/journal.h"
#include "traffic/request_memory.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquat {

// A safeguard of the journal that the model can disable. Each comment tells what happens then.
enum class Safeguard : std::uint8_t {
    None,
    MajorityBeforeDispatch, // the owner dispatches without waiting for the peers
    CompleteFlag,           // incomplete peers answer "not known" too
    RefusalAfterRelease,    // peers accept writes of released sessions
    IncarnationInBatch,     // a peer accepts writes to its earlier incarnations
    CountInErase,           // a late erase removes an id that was written again
    PredecessorLookup,      // the new owner queries no peers
};

// One step of a scenario. The meaning of a and b depends on the operation.
struct ModelStep
{
    std::uint8_t operation = 0;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
};

// Former owners never learn that their session has ended, so only the journal prevents a second
// run.
class JournalModel
{
public:
    explicit JournalModel(Safeguard disabled);

    void apply(const ModelStep &step);

    // Returns whether an id ran more than once, according to the model's own count of runs.
    bool hasDuplicateRun() const;

    std::size_t runCount() const { return this->runs.size(); }
    std::size_t takeoverCount() const { return this->takeovers; }
    std::size_t runsAfterTakeover() const { return this->takeoverRuns; }

private:
    struct PeerNode
    {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<JournalStore> store;
        // Sessions whose end the peer has read. It sends them no grants.
        std::set<std::uint64_t> readEnds;
    };

    struct Owner
    {
        std::uint64_t session = 0;
        std::string name;
        std::unique_ptr<JournalWriter> writer;
        std::unique_ptr<JournalLookup> lookup;
        RequestMemory memory;
        std::vector<JournalPeerSet> sets;
        std::vector<LineageSession> lineage;
        // Indexes of the predecessors that may still hand over.
        std::vector<std::size_t> awaitedPredecessors;
        std::vector<RememberedId> imported;
        std::optional<WriteTicket> importTicket;
        std::map<LookupTicket, RequestId> lookups;
        std::map<WriteTicket, RequestId> writes;
        bool alive = true;
        bool serving = true; // false after the owner has moved the slot away
        bool ended = false;  // the end of its session is in the log
    };

    struct Packet
    {
        std::string from;
        std::string to;
        wire::MeshMessage message;
    };

    Owner &current() { return *this->owners.back(); }
    Owner &addOwner(std::uint8_t choice);
    std::vector<std::string> choosePeers(std::uint8_t choice) const;
    void sendRequest(Owner &owner, std::uint8_t choice);
    void collectOutput(Owner &owner, std::uint8_t choice);
    void dispatch(Owner &owner, const RequestId &id, std::uint8_t choice);
    void forgetNotRun(Owner &owner, const RequestId &id);
    void deliver(std::size_t index, bool keep, std::uint8_t choice);
    void deliverToPeer(PeerNode &peer, const Packet &packet);
    void deliverToOwner(Owner &owner, const Packet &packet, std::uint8_t choice);
    void renew(Owner &owner);
    void restart(PeerNode &peer);
    void changePeers(std::uint8_t choice);
    void settlePeers();
    void takeOver(std::uint8_t choice);
    void move(std::uint8_t choice);
    void importFrom(Owner &owner, std::size_t predecessor);
    void receiveHandover(Owner &owner);
    void readLog(PeerNode &peer);
    void dropPacket(std::uint8_t choice);
    void deliverDelayed(std::uint8_t choice);
    void advance(Duration step);

    Safeguard disabled;
    Time now{1s};
    std::uint64_t lastIncarnation = 1;
    std::vector<PeerNode> peers;
    std::vector<std::unique_ptr<Owner>> owners;
    std::vector<Packet> network;
    std::vector<Packet> delayed;   // duplicates of messages, delivered at a later time
    std::map<RequestId, int> runs; // number of runs by an upstream, by id
    std::size_t takeovers = 0;
    std::size_t takeoverRuns = 0; // runs by owners with a lineage
};

} // namespace kumquat
