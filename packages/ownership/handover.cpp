#include "ownership/handover.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr Duration pollInterval = 20ms; // between checks whether requests in flight have ended
// Size of one RememberedRequest on the wire, rounded up.
constexpr std::size_t rememberedRequestBytes = 32;
constexpr std::size_t maxSlotsPerMessage = 4'096; // maximum number of slots in one message

} // namespace

// Returns the newest predecessor of the slot that is a session of this process, or nullptr.
const Predecessor *HandoverSender::findOwn(const SlotState &slot) const
{
    const Predecessor *own = nullptr;
    for (const Predecessor &predecessor : slot.predecessors) {
        const Session *session = this->context.state.findSession(predecessor.session);
        if (session != nullptr && this->context.isOwn(*session)) {
            own = &predecessor; // the list is in order of epoch, so the newest entry wins
        }
    }
    return own;
}

// Returns whether the handover is no longer needed: the predecessor list does not name this process
// any more, or this process owns the slot again.
bool HandoverSender::isObsolete(const Key &key) const
{
    const SlotState *slot = this->context.state.findSlot(key.service, key.slot);
    const Session *owner = this->context.state.findSession(slot->owner);
    return this->findOwn(*slot) == nullptr || (owner != nullptr && this->context.isOwn(*owner));
}

void HandoverSender::update(const ApplyResult &result, Time now)
{
    for (const ServiceChange &service : result.moved) {
        for (const SlotChange &change : service.slots) {
            this->updateEntry({service.service, change.slot}, now);
        }
    }
}

void HandoverSender::updateEntry(const Key &key, Time now)
{
    if (this->isObsolete(key)) {
        this->entries.erase(key);
        return;
    }
    Entry entry;
    entry.due = now;
    this->entries[key] = entry;
    this->nextStep = now;
}

void HandoverSender::onRequest(const std::string &from, const wire::HandoverRequest &request,
                               Time now)
{
    for (const wire::OwnedSlot &wanted : request.slots()) {
        const Key key{request.service(), wanted.slot()};
        const SlotState *slot = this->context.state.findSlot(key.service, key.slot);
        if (slot == nullptr || this->isObsolete(key)) {
            continue;
        }
        const Session *owner = this->context.state.findSession(slot->owner);
        if (owner == nullptr || owner->node != from) {
            continue; // this process has not yet read the record that made the requester the owner
        }
        const auto [entry, added] = this->entries.try_emplace(key);
        if (added || entry->second.acknowledged) {
            entry->second = Entry{};
            entry->second.due = now;
            this->nextStep = now;
        }
    }
}

void HandoverSender::onAck(const std::string &from, const wire::HandoverAck &ack, Time now)
{
    for (const wire::OwnedSlot &slot : ack.slots()) {
        if (slot.slot() >= this->context.settings.layout.count()) {
            for (auto &[key, entry] : this->entries) {
                const std::size_t index = slot.slot() - this->context.settings.layout.count();
                if (entry.transfer == slot.epoch() && index < entry.parts.size()) {
                    entry.parts[index].acknowledged = true;
                    entry.due = now;
                    this->nextStep = now;
                }
            }
            continue;
        }
        const auto entry = this->entries.find({ack.service(), slot.slot()});
        if (entry == this->entries.end()) {
            continue;
        }
        const SlotState *state = this->context.state.findSlot(ack.service(), slot.slot());
        const Predecessor *own = this->findOwn(*state);
        const Session *owner = this->context.state.findSession(state->owner);
        if (own != nullptr && own->session == ack.session() && own->epoch == slot.epoch()
            && owner != nullptr && owner->node == from) {
            entry->second.acknowledged = true;
            entry->second.parts.clear();
        }
    }
}

void HandoverSender::step(Time now)
{
    if (now < this->nextStep) {
        return;
    }
    this->nextStep = never;
    std::erase_if(this->entries, [this](const auto &item) { return this->isObsolete(item.first); });
    for (auto &[key, entry] : this->entries) {
        if (entry.acknowledged) {
            continue;
        }
        if (now >= entry.due) {
            this->prepareEntry(key, entry, now);
        }
        this->nextStep = std::min(this->nextStep, entry.due);
    }
    this->sendDrafts();
}

void HandoverSender::prepareEntry(const Key &key, Entry &entry, Time now)
{
    const SlotState &slot = *this->context.state.findSlot(key.service, key.slot);
    const Session *target = this->context.state.findSession(slot.owner);
    const SlotKeys keys = this->context.state.keysOf(key.service, key.slot);
    entry.due = now + this->context.timings().resendInterval;
    if (target == nullptr) {
        return;
    }
    if (this->context.hooks.hasInFlight(keys)) {
        entry.due = now + pollInterval;
        return;
    }
    const Predecessor own = *this->findOwn(slot);
    const std::size_t limit =
            std::max<std::size_t>(1, this->context.settings.handoverBytes / rememberedRequestBytes);
    if (entry.transfer != 0) {
        this->sendParts(key, *target, own.session, entry);
        return;
    }
    std::vector<wire::RememberedRequest> requests = this->context.hooks.remembered(keys);
    if (requests.size() <= limit) {
        this->addToDraft(key, *target, own, requests);
        return;
    }
    entry.transfer = ++this->lastTransfer;
    for (std::size_t from = 0; from < requests.size(); from += limit) {
        Part part;
        const std::size_t to = std::min(requests.size(), from + limit);
        part.requests.assign(requests.begin() + static_cast<std::ptrdiff_t>(from),
                             requests.begin() + static_cast<std::ptrdiff_t>(to));
        entry.parts.push_back(std::move(part));
    }
    this->sendParts(key, *target, own.session, entry);
}

// Adds a slot to the message for its new owner. A message that would become too large is sent
// first.
void HandoverSender::addToDraft(const Key &key, const Session &target, const Predecessor &own,
                                const std::vector<wire::RememberedRequest> &requests)
{
    wire::Handover &draft = this->drafts[{target.node, own.session}];
    const std::size_t bytes = (static_cast<std::size_t>(draft.requests_size()) + requests.size())
                              * rememberedRequestBytes;
    if (bytes > this->context.settings.handoverBytes
        || static_cast<std::size_t>(draft.slots_size()) >= maxSlotsPerMessage) {
        wire::MeshMessage message;
        *message.mutable_handover() = std::move(draft);
        this->context.send(target.node, std::move(message));
        draft.Clear();
    }
    draft.set_service(key.service);
    draft.set_session(own.session);
    wire::OwnedSlot &slot = *draft.add_slots();
    slot.set_slot(key.slot);
    slot.set_epoch(own.epoch);
    for (const wire::RememberedRequest &request : requests) {
        *draft.add_requests() = request;
    }
}

// Sends all unacknowledged parts. The slot itself is sent only after all parts have arrived, so
// that the new owner never has the slot before its remembered requests.
void HandoverSender::sendParts(const Key &key, const Session &target, SessionId own, Entry &entry)
{
    bool complete = true;
    for (std::size_t index = 0; index < entry.parts.size(); ++index) {
        if (entry.parts[index].acknowledged) {
            continue;
        }
        complete = false;
        wire::MeshMessage message;
        wire::Handover &handover = *message.mutable_handover();
        handover.set_service(key.service);
        handover.set_session(own);
        wire::OwnedSlot &marker = *handover.add_slots();
        marker.set_slot(this->context.settings.layout.count() + static_cast<Slot>(index));
        marker.set_epoch(entry.transfer);
        for (const wire::RememberedRequest &request : entry.parts[index].requests) {
            *handover.add_requests() = request;
        }
        this->context.send(target.node, std::move(message));
    }
    if (complete) {
        const SlotState &slot = *this->context.state.findSlot(key.service, key.slot);
        this->addToDraft(key, target, *this->findOwn(slot), {});
    }
}

void HandoverSender::sendDrafts()
{
    for (auto &[address, draft] : this->drafts) {
        if (draft.slots_size() > 0) {
            wire::MeshMessage message;
            *message.mutable_handover() = std::move(draft);
            this->context.send(address.first, std::move(message));
        }
    }
    this->drafts.clear();
}

bool HandoverSender::isDone() const
{
    return std::all_of(this->entries.begin(), this->entries.end(), [this](const auto &item) {
        const SlotState *slot = this->context.state.findSlot(item.first.service, item.first.slot);
        return item.second.acknowledged || slot->owner == 0;
    });
}

} // namespace kumquat
