// Decides how a publication of rules goes on. A state machine without I/O and clocks.
//
// Sections: inputs, commands, outcome, machine
//
//   Publication publication(id, now);
//   for (PublishCommand command = publication.next(now); command.step != PublishStep::Done;
//        command = publication.next(now)) {
//       ... // carry it out and give the answer to the take function of the step
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

inline constexpr Duration publishLimit = 15s; // until acceptance is known
inline constexpr Duration membersLimit = 4s;  // from then until all are at the version (P8)
inline constexpr Duration publishRetryPause = 200ms;
inline constexpr Duration logRetryPause = 50ms;
inline constexpr Duration membersRetryPause = 100ms;

// --- inputs ---

// Random, so that a publication is found again in the log.
struct PublicationId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const PublicationId &) const = default;
};

// State of one process: the version is the one after all records below logOffset.
struct VersionSeen
{
    std::uint64_t version = 0;   // 0: no rules yet
    std::uint64_t logOffset = 0; // next record that the process reads
};

enum class AppendAnswer : std::uint8_t {
    Appended, // the log has answered with an offset
    NotSent,  // no connection, so the record is not in the log
    Refused,  // the log has answered that it did not take the record
    Unknown,  // no answer after sending; the record may be, or may still get, in the log
};

struct RulesAppendResult
{
    AppendAnswer answer = AppendAnswer::Unknown;
    std::uint64_t offset = 0; // for Appended
    std::string reason;       // for the others
};

// A record Rules of the log.
struct RulesEntry
{
    std::uint64_t offset = 0;
    std::uint64_t baseVersion = 0;
    PublicationId id;
    std::string author;
};

// Part of the log; other records are left out.
struct RulesBatch
{
    std::uint64_t firstKept = 0; // lowest offset that the log still keeps
    std::uint64_t end = 0;       // offset of the next append
    std::uint64_t next = 0;      // offset after the last record of this batch
    std::vector<RulesEntry> entries;
};

struct MemberVersion
{
    std::string node;
    std::optional<std::uint64_t> version; // nothing: the member did not answer
};

// --- commands ---

enum class PublishStep : std::uint8_t { ReadVersion, Append, ReadLog, AskMembers, Done };

struct PublishCommand
{
    PublishStep step = PublishStep::Done;
    Duration pause{};              // to wait before the step
    std::uint64_t baseVersion = 0; // for Append
    std::uint64_t from = 0;        // for ReadLog: offset of the first record to read
};

// --- outcome ---

enum class PublishVerdict : std::uint8_t {
    InForce,  // accepted, and all members are at this version or a later one
    Accepted, // accepted, but not all members are there yet
    Conflict, // void: another publication was accepted on the same base
    Refused,  // the log did not take the record
    NotSent,  // nothing was appended
    Unknown,  // it is not known whether the record is, or may still get, in the log
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
    std::uint64_t version = 0;       // accepted version, or the other one in a conflict
    std::string winner;              // author of the other publication in a conflict
    std::string reason;              // last fault that was met
    std::vector<std::string> behind; // members that are not at the version
    int appends = 0;                 // attempts, whether or not they reached the log
};

// --- machine ---

// A repeated append is safe: it names the same base version, so it is void if an earlier append
// was accepted, and every later arrival is void once another publication was accepted. Acceptance
// is always read from the log, because the log answers with an offset even for a void record.
class Publication
{
public:
    Publication(PublicationId publicationId, Time now)
        : id(publicationId)
        , startedAt(now)
    {}

    // Returns what to do now; Done once the outcome is final.
    PublishCommand next(Time now);

    // Takes the state of a process, or nothing if it did not answer.
    void takeVersion(const std::optional<VersionSeen> &seen);

    // Takes the answer to an append.
    void takeAppend(const RulesAppendResult &result);

    // Takes records from the offset that the command named, or nothing if the log did not answer.
    void takeLog(const std::optional<RulesBatch> &batch, Time now);

    // Takes the versions of all members.
    void takeMembers(const std::vector<MemberVersion> &members, Time now);

    const PublishOutcome &outcome() const { return this->result; }

private:
    void goTo(PublishStep next, Duration wait = {});
    void finish(PublishVerdict verdict);
    void takeEntry(const RulesEntry &entry, Time now);
    void takeEndOfLog();

    PublicationId id;
    Time startedAt{};
    PublishStep step = PublishStep::ReadVersion;
    Duration pause{};
    std::uint64_t nextOffset = 0;                // of the next record to read
    std::optional<std::uint64_t> appendedOffset; // from the answer to the last append
    bool maybeSent = false;                      // an append has or may have reached the log
    bool isRefused = false;                      // the last append was refused
    Time acceptedAt{};
    PublishOutcome result;
};

} // namespace kumquat
