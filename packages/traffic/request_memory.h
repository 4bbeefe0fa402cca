// The owner's memory of non-idempotent requests.
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

// A whole answer of an upstream, kept to answer a repeated request.
struct StoredAnswer
{
    int httpStatus = 200;
    std::vector<AnswerHeader> headers;
    std::string body;

    // Returns the bytes that count against the limits of the memory.
    std::size_t byteSize() const;
};

enum class RequestState : std::uint8_t {
    Fresh,      // not seen; the caller of begin now has to finish or erase it
    InProgress, // answer request-in-progress
    Done,       // answer with the stored answer
    Unknown,    // answer duplicate-request
    Full,       // not remembered for lack of space; answer overloaded, do not run
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

// One id as a handover and the journal carry it; the answer is not carried.
struct RememberedId
{
    RequestId id;
    std::uint64_t keyHash = 0;
    bool done = false; // finished with a whole answer

    bool operator==(const RememberedId &) const = default;
};

// Maps a key hash to its slot in one service; takes bindings of hot keys into account.
using SlotFunction = std::function<Slot(std::uint64_t keyHash)>;

struct RequestMemorySettings
{
    Duration idLifetime = requestIdLifetime;
    std::size_t maxAnswerBytes = 65'536;          // largest answer that is kept
    std::size_t maxTotalAnswerBytes = 67'108'864; // then the oldest answers are dropped
    std::size_t maxIds = 1'000'000; // then begin returns Full; 5,000 requests/s over the life
};

// Remembers each id for its whole life. Not thread-safe.
class RequestMemory
{
public:
    explicit RequestMemory(RequestMemorySettings settings = {});

    // Looks an id up and, if it is fresh, remembers it as in progress.
    BeginResult begin(const RequestId &id, std::uint64_t keyHash, Time now);

    // Looks an id up without changing anything; Fresh means not remembered.
    BeginResult find(const RequestId &id, Time now) const;

    // Ends a request that was dispatched; without an answer its outcome is unknown.
    // Ignored unless the id is in progress.
    void finish(const RequestId &id, std::optional<StoredAnswer> answer, Time now);

    // Forgets a request that was provably not run. Ignored unless the id is in progress.
    void erase(const RequestId &id);

    // Forgets what is older than the life. begin does this too.
    void expire(Time now);

    // Returns the ids whose key is in one of the slots, in no particular order.
    std::vector<RememberedId> collect(const std::vector<Slot> &slots, const SlotFunction &slotOfKey,
                                      Time now) const;

    // Takes ids from a predecessor. They are Unknown here, since answers are not carried;
    // an id that is known already keeps its state. The life starts at now.
    void import(const std::vector<RememberedId> &requests, Time now);

    std::size_t size() const { return this->entries.size(); }
    std::size_t storedBytes() const { return this->answerBytes; }

private:
    struct Entry
    {
        std::uint64_t keyHash = 0;
        Time expires{};
        RequestState state = RequestState::InProgress; // InProgress, Unknown, or Done even if
                                                       // the answer is not kept
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
