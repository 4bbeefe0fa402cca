// Remembers the non-idempotent requests of an owner, so that a repeated id does not run again.
//
//   BeginResult begun = memory.begin(id, keyHash, now);
//   if (begun.state == RequestState::Fresh) {
//       // look up predecessors, write to the journal, dispatch once, then:
//       memory.finish(id, answer, now); // or memory.erase(id) if it was provably not run
//   }
#pragma once

#include "base/hash.h"
#include "base/names.h"
#include "base/time.h"
#include "traffic/request_id.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace kumquat {

struct AnswerHeader
{
    std::string name;
    std::string value;
};

// A complete answer of an upstream, kept to answer repeats of the request.
struct StoredAnswer
{
    int httpStatus = 200;
    std::vector<AnswerHeader> headers;
    std::string body;

    // Returns the number of bytes that count towards the limits of RequestMemory.
    std::size_t byteSize() const;
};

enum class RequestState : std::uint8_t {
    Fresh,      // not seen before; the caller of begin must finish or erase it
    InProgress, // still running; answer request-in-progress
    Done,       // reply with the stored answer
    Unknown,    // it may have run, and no answer is stored; answer duplicate-request
    Full,       // no space to remember the id; answer overloaded, do not run the request
};

inline constexpr NameTable<RequestState, 5> requestStateNames{
        {{{RequestState::Fresh, "fresh"},
          {RequestState::InProgress, "in-progress"},
          {RequestState::Done, "done"},
          {RequestState::Unknown, "unknown"},
          {RequestState::Full, "full"}}}};

struct BeginResult
{
    RequestState state = RequestState::Fresh;
    std::shared_ptr<const StoredAnswer> answer; // set if and only if Done
};

// One id as transferred in a handover and in the journal. The answer is not transferred.
struct RememberedId
{
    RequestId id;
    std::uint64_t keyHash = 0;
    bool done = false; // finished with a complete answer

    bool operator==(const RememberedId &) const = default;
};

// Maps a key hash to its slot in one service, including the bindings of hot keys.
using SlotFunction = std::function<Slot(std::uint64_t keyHash)>;

struct RequestMemorySettings
{
    Duration idLifetime = requestIdLifetime;
    std::size_t maxAnswerBytes = 65'536;          // size of the largest answer that is kept
    std::size_t maxTotalAnswerBytes = 67'108'864; // beyond it the oldest answers are dropped
    std::size_t maxIds = 1'000'000; // then begin returns Full; 5,000 requests/s over idLifetime
};

// Remembers each id for idLifetime. Not thread-safe.
class RequestMemory
{
public:
    explicit RequestMemory(RequestMemorySettings settings = {});

    // Looks up an id and, if it is fresh, remembers it as in progress.
    BeginResult begin(const RequestId &id, std::uint64_t keyHash, Time now);

    // Looks up an id without changing anything. Fresh means that it is not remembered.
    BeginResult find(const RequestId &id, Time now) const;

    // Ends a request that was dispatched. Without an answer, its state becomes Unknown. Ignored
    // unless the id is in progress.
    void finish(const RequestId &id, std::optional<StoredAnswer> answer, Time now);

    // Forgets a request that provably did not run. Ignored unless the id is in progress.
    void erase(const RequestId &id);

    // Forgets ids older than idLifetime. begin, finish and import do this too.
    void expire(Time now);

    // Returns the ids whose key is in one of the slots, in no particular order.
    std::vector<RememberedId> collect(const std::vector<Slot> &slots, const SlotFunction &slotOfKey,
                                      Time now) const;

    // Imports ids from a predecessor. begin and find return Unknown for them, because answers are
    // not transferred; ids that are already known keep their state. idLifetime starts at `now`.
    void import(const std::vector<RememberedId> &requests, Time now);

    std::size_t size() const { return this->entries.size(); }
    std::size_t storedBytes() const { return this->answerBytes; }

private:
    struct Entry
    {
        std::uint64_t keyHash = 0;
        Time expires{};
        // InProgress, Unknown or Done. The state is Done even if the answer is not kept.
        RequestState state = RequestState::InProgress;
        std::shared_ptr<const StoredAnswer> answer;
    };

    struct Expiry
    {
        Time due{};
        RequestId id;
    };

    void insert(const RequestId &id, Entry entry);
    void dropAnswer(Entry &entry);
    void dropOldAnswers();

    RequestMemorySettings settings;
    std::unordered_map<RequestId, Entry, RequestIdHash> entries;
    std::deque<Expiry> expiries; // ascending by due
    std::deque<Expiry> answered; // ids with an answer, oldest first
    std::size_t answerBytes = 0;
};

} // namespace kumquat
