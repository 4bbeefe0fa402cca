// State machine of a publication of rules. It does no I/O and reads no clock.
//
// Sections: inputs, commands, outcome, machine
//
//   Publication publication(id, now);
//   for (PublishCommand command = publication.next(now); command.step != PublishStep::Done;
//        command = publication.next(now)) {
//       ... // execute the command and pass its result to the handle function of the step
//   }
//   publication.outcome().verdict;
#pragma once

#include "base/names.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

inline constexpr Duration publishLimit = 15s; // until it is known whether the rules were accepted
inline constexpr Duration membersLimit = 4s;  // from the acceptance until all members apply it
inline constexpr Duration publishRetryPause = 200ms;
inline constexpr Duration logRetryPause = 50ms;
inline constexpr Duration membersRetryPause = 100ms;

// --- inputs ---

// Random id that identifies a publication in the log.
struct PublicationId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const PublicationId &) const = default;
};

// Rules version of one process after all records below logOffset.
struct ObservedVersion
{
    std::uint64_t version = 0;   // 0: no rules
    std::uint64_t logOffset = 0; // offset of the next record that the process reads
};

enum class AppendAnswer : std::uint8_t {
    Appended, // the log answered with an offset
    NotSent,  // no connection, so the record is not in the log
    Refused,  // the log answered that it did not accept the record
    Unknown,  // no answer after sending; the record may be in the log or may still arrive there
};

struct RulesAppendResult
{
    AppendAnswer answer = AppendAnswer::Unknown;
    std::uint64_t offset = 0; // set for Appended
    std::string reason;       // error message for the others
};

// A log record of type Rules.
struct RulesEntry
{
    std::uint64_t offset = 0;
    std::uint64_t baseVersion = 0;
    PublicationId id;
    std::string author;
};

// Part of the log. Records of other types are left out.
struct RulesBatch
{
    std::uint64_t firstKept = 0; // lowest offset that the log still stores
    std::uint64_t end = 0;       // offset of the next record to be appended
    std::uint64_t next = 0;      // offset after the last record of this batch
    std::vector<RulesEntry> entries;
};

struct MemberVersion
{
    std::string node;
    std::optional<std::uint64_t> version; // nullopt: the member did not answer
};

// --- commands ---

enum class PublishStep : std::uint8_t { ReadVersion, Append, ReadLog, QueryMembers, Done };

struct PublishCommand
{
    PublishStep step = PublishStep::Done;
    Duration pause{};              // time to wait before the step
    std::uint64_t baseVersion = 0; // for Append
    std::uint64_t from = 0;        // for ReadLog: offset of the first record to read
};

// --- outcome ---

enum class PublishVerdict : std::uint8_t {
    InForce,  // accepted, and all members have this version or a later one
    Accepted, // accepted, but some members do not have the version yet
    Conflict, // not accepted: another publication with the same base version came first
    Refused,  // the log did not accept the record
    NotSent,  // nothing was appended
    Unknown,  // the record may be in the log or may still arrive there
};

inline constexpr NameTable<PublishVerdict, 6> publishVerdictNames{
        {{{PublishVerdict::InForce, "in-force"},
          {PublishVerdict::Accepted, "accepted"},
          {PublishVerdict::Conflict, "rules-conflict"},
          {PublishVerdict::Refused, "refused"},
          {PublishVerdict::NotSent, "not-sent"},
          {PublishVerdict::Unknown, "unknown"}}}};

struct PublishOutcome
{
    PublishVerdict verdict = PublishVerdict::Unknown;
    std::uint64_t baseVersion = 0;
    std::uint64_t version = 0; // accepted version; in a conflict the one of the other publication
    std::string winner;        // author of the other publication in a conflict
    std::string reason;        // last error
    std::vector<std::string> outdatedMembers; // members that do not have the version
    int appends = 0;                          // attempts, whether or not they reached the log
};

// --- machine ---

// A record takes effect only if its base version is the version in force at its offset; otherwise
// it is void. Repeating an append is therefore safe: it has the same base version, so it is void if
// an earlier append or another publication was accepted. Acceptance is always determined from the
// log, because the log answers with an offset even for a void record.
class Publication
{
public:
    Publication(PublicationId publicationId, Time now)
        : id(publicationId)
        , startedAt(now)
    {}

    // Returns the command to execute now. Its step is Done once the outcome is final.
    PublishCommand next(Time now);

    // Handles the result of ReadVersion. `observed` is nullopt if the process did not answer.
    void handleVersion(const std::optional<ObservedVersion> &observed);

    // Handles the result of Append.
    void handleAppend(const RulesAppendResult &result);

    // Handles the result of ReadLog: records from the offset `from` of the command, or nullopt if
    // the log did not answer.
    void handleLog(const std::optional<RulesBatch> &batch, Time now);

    // Handles the result of QueryMembers: the versions of all members.
    void handleMembers(const std::vector<MemberVersion> &members, Time now);

    const PublishOutcome &outcome() const { return this->result; }

private:
    void goTo(PublishStep next, Duration wait = {});
    void finish(PublishVerdict verdict);
    void handleEntry(const RulesEntry &entry, Time now);
    void handleEndOfLog();

    PublicationId id;
    Time startedAt{};
    PublishStep step = PublishStep::ReadVersion;
    Duration pause{};
    std::uint64_t nextOffset = 0;                // offset of the next record to read
    std::optional<std::uint64_t> appendedOffset; // from the answer to the last append
    bool mayBeSent = false;                      // an append may have reached the log
    bool isRefused = false;                      // the last append was refused
    Time acceptedAt{};
    PublishOutcome result;
};

} // namespace kumquat
