#include "traffic/request_memory.h"

#include <utility>

namespace kumquat {
namespace {

// Estimated bytes for the allocations and index entries of an answer and of each header.
constexpr std::size_t answerOverhead = 128;
constexpr std::size_t headerOverhead = 64;

} // namespace

std::size_t StoredAnswer::byteSize() const
{
    std::size_t size = answerOverhead + this->body.size();
    for (const AnswerHeader &header : this->headers) {
        size += headerOverhead + header.name.size() + header.value.size();
    }
    return size;
}

RequestMemory::RequestMemory(RequestMemorySettings initial)
    : settings(initial)
{}

BeginResult RequestMemory::begin(const RequestId &id, std::uint64_t keyHash, Time now)
{
    this->expire(now);
    BeginResult found = this->find(id, now);
    if (found.state != RequestState::Fresh) {
        return found;
    }
    if (this->entries.size() >= this->settings.maxIds) {
        return {.state = RequestState::Full, .answer = nullptr};
    }
    Entry entry;
    entry.keyHash = keyHash;
    entry.expires = now + this->settings.idLifetime;
    this->insert(id, std::move(entry));
    return found;
}

BeginResult RequestMemory::find(const RequestId &id, Time now) const
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.expires <= now) {
        return {};
    }
    const Entry &entry = found->second;
    if (entry.state == RequestState::Done && !entry.answer) {
        return {.state = RequestState::Unknown, .answer = nullptr};
    }
    return {.state = entry.state, .answer = entry.answer};
}

void RequestMemory::finish(const RequestId &id, std::optional<StoredAnswer> answer, Time now)
{
    this->expire(now);
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.state != RequestState::InProgress) {
        return;
    }
    Entry &entry = found->second;
    entry.state = answer ? RequestState::Done : RequestState::Unknown;
    if (!answer || answer->byteSize() > this->settings.maxAnswerBytes) {
        return;
    }
    this->answerBytes += answer->byteSize();
    entry.answer = std::make_shared<const StoredAnswer>(std::move(*answer));
    this->answered.push_back({.due = entry.expires, .id = id});
    this->dropOldAnswers();
}

void RequestMemory::erase(const RequestId &id)
{
    const auto found = this->entries.find(id);
    if (found != this->entries.end() && found->second.state == RequestState::InProgress) {
        this->entries.erase(found);
    }
}

void RequestMemory::expire(Time now)
{
    while (!this->expiries.empty() && this->expiries.front().due <= now) {
        const RequestId id = this->expiries.front().id;
        this->expiries.pop_front();
        const auto found = this->entries.find(id);
        // An id that was erased and inserted again has its own later expiry entry.
        if (found != this->entries.end() && found->second.expires <= now) {
            this->dropAnswer(found->second);
            this->entries.erase(found);
        }
    }
    while (!this->answered.empty() && this->answered.front().due <= now) {
        this->answered.pop_front();
    }
}

std::vector<RememberedId> RequestMemory::collect(const std::vector<Slot> &slots,
                                                 const SlotFunction &slotOfKey, Time now) const
{
    const std::unordered_set<Slot> wanted(slots.begin(), slots.end());
    std::vector<RememberedId> collected;
    for (const auto &[id, entry] : this->entries) {
        if (entry.expires > now && wanted.contains(slotOfKey(entry.keyHash))) {
            collected.push_back({.id = id,
                                 .keyHash = entry.keyHash,
                                 .done = entry.state == RequestState::Done});
        }
    }
    return collected;
}

void RequestMemory::import(const std::vector<RememberedId> &requests, Time now)
{
    this->expire(now);
    for (const RememberedId &request : requests) {
        if (this->entries.contains(request.id)) {
            continue;
        }
        Entry entry;
        entry.keyHash = request.keyHash;
        entry.expires = now + this->settings.idLifetime;
        entry.state = request.done ? RequestState::Done : RequestState::Unknown;
        this->insert(request.id, std::move(entry));
    }
}

void RequestMemory::insert(const RequestId &id, Entry entry)
{
    this->expiries.push_back({.due = entry.expires, .id = id});
    Entry &stored = this->entries[id];
    this->dropAnswer(stored); // of an expired entry that expire has not removed yet
    stored = std::move(entry);
}

void RequestMemory::dropAnswer(Entry &entry)
{
    if (entry.answer) {
        this->answerBytes -= entry.answer->byteSize();
        entry.answer.reset();
    }
}

void RequestMemory::dropOldAnswers()
{
    while (this->answerBytes > this->settings.maxTotalAnswerBytes && !this->answered.empty()) {
        const auto found = this->entries.find(this->answered.front().id);
        this->answered.pop_front();
        if (found != this->entries.end()) {
            this->dropAnswer(found->second);
        }
    }
}

} // namespace kumquat
