// Handover of slots, on the side of the old owner (section 3.6 of docs/design.md).
#pragma once

#include "ownership/engine_context.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace kumquat {

// Part of one engine; engine.h states the rules for times and threads.
class HandoverSender
{
public:
    explicit HandoverSender(EngineContext &shared)
        : context(shared)
    {}

    // Processes the slots that a record changed.
    void update(const ApplyResult &result, Time now);

    void onRequest(const std::string &from, const wire::HandoverRequest &request, Time now);
    void onAck(const std::string &from, const wire::HandoverAck &ack, Time now);

    void step(Time now);
    Time nextDue() const { return this->nextStep; }

    // Returns whether every slot that has a new owner has been handed over.
    bool isDone() const;

private:
    struct Key
    {
        std::string service;
        Slot slot = 0;
        bool operator<(const Key &other) const
        {
            return std::tie(this->service, this->slot) < std::tie(other.service, other.slot);
        }
    };

    // Some of the remembered requests of a slot that has too many for one message.
    struct Part
    {
        std::vector<wire::RememberedRequest> requests;
        bool acknowledged = false;
    };

    struct Entry
    {
        Time due{0};
        bool acknowledged = false;
        std::uint64_t transfer = 0; // identifies the parts; 0: not split into parts
        std::vector<Part> parts;
    };

    void updateEntry(const Key &key, Time now);
    const Predecessor *findOwn(const SlotState &slot) const;
    bool isObsolete(const Key &key) const;
    void prepareEntry(const Key &key, Entry &entry, Time now);
    void addToDraft(const Key &key, const Session &target, const Predecessor &own,
                    const std::vector<wire::RememberedRequest> &requests);
    void sendParts(const Key &key, const Session &target, SessionId own, Entry &entry);
    void sendDrafts();

    EngineContext &context;
    std::map<Key, Entry> entries;
    std::map<std::pair<std::string, SessionId>, wire::Handover>
            drafts; // by target node and session
    std::uint64_t lastTransfer = 0;
    Time nextStep = never;
};

} // namespace kumquat
