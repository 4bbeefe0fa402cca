#include "ctl/publication.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace kumquat;

namespace {

constexpr PublicationId ours{1, 2};
constexpr PublicationId other{3, 4};

// Model of a log that loses replies, and delays and repeats appends. Another operator appends to it
// too.
struct LogModel
{
    std::vector<RulesEntry> log; // one entry per offset; records of other types have base noBase
    std::vector<RulesEntry> delayed;
    bool hasFaults = false; // simulate faults

    static constexpr std::uint64_t noBase = ~std::uint64_t{0};

    void append(RulesEntry entry)
    {
        entry.offset = this->log.size();
        this->log.push_back(entry);
    }

    // Returns the version at the end of the log. Sets `accepted` to the offset at which our
    // record was accepted.
    std::uint64_t replay(std::optional<std::uint64_t> &accepted) const
    {
        std::uint64_t version = 0;
        for (const RulesEntry &entry : this->log) {
            if (entry.baseVersion != version) {
                continue;
            }
            version = entry.offset;
            if (entry.id == ours) {
                REQUIRE_FALSE(accepted.has_value());
                accepted = entry.offset;
            }
        }
        return version;
    }

    std::uint64_t version() const
    {
        std::optional<std::uint64_t> ignored;
        return this->replay(ignored);
    }

    RulesAppendResult appendOurs(std::uint64_t base)
    {
        const RulesEntry entry{0, base, ours, "us"};
        switch (this->hasFaults ? *rc::gen::inRange(0, 8) : 7) {
        case 0:
            return {AppendAnswer::NotSent, 0, "refused"};
        case 1:
            return {AppendAnswer::Refused, 0, "full"};
        case 2:
            return {AppendAnswer::Unknown, 0, "lost before"};
        case 3:
            this->delayed.push_back(entry);
            return {AppendAnswer::Unknown, 0, "late"};
        case 4:
            this->append(entry);
            this->append(entry);
            return {AppendAnswer::Unknown, 0, "twice"};
        case 5:
            this->append(entry);
            return {AppendAnswer::Unknown, 0, "lost after"};
        default:
            this->append(entry);
            return {AppendAnswer::Appended, this->log.size() - 1, ""};
        }
    }

    RulesBatch read(std::uint64_t from, std::uint64_t limit) const
    {
        const std::uint64_t next = std::min<std::uint64_t>(from + limit, this->log.size());
        RulesBatch batch{0, this->log.size(), next, {}};
        for (std::uint64_t offset = from; offset < next; ++offset) {
            if (this->log[offset].baseVersion != noBase) {
                batch.entries.push_back(this->log[offset]);
            }
        }
        return batch;
    }

    void injectEvent()
    {
        if (!this->hasFaults) {
            return;
        }
        const int event = *rc::gen::inRange(0, 12);
        if (event == 0) {
            this->append({0, this->version(), other, "them"});
        } else if (event == 1) {
            this->append({0, noBase, {}, ""});
        } else if (event == 2) {
            this->append({0, 0, other, "late"}); // void: the first rules were published on base 0
        } else if (event == 3 && !this->delayed.empty()) {
            this->append(this->delayed.back());
            this->delayed.pop_back();
        }
    }
};

PublishOutcome runPublication(LogModel &model, std::uint64_t lag)
{
    Time now = 0s;
    Publication publication(ours, now);
    for (auto command = publication.next(now); command.step != PublishStep::Done;
         command = publication.next(now)) {
        now += command.pause + 10ms;
        model.injectEvent();
        const bool isSilent = model.hasFaults && *rc::gen::inRange(0, 5) == 0;
        if (command.step == PublishStep::ReadVersion) {
            LogModel past{
                    {model.log.begin(), model.log.end() - std::min(lag, model.log.size())}, {}, {}};
            const ObservedVersion observed{past.version(), past.log.size()};
            publication.handleVersion(isSilent ? std::nullopt : std::optional(observed));
        } else if (command.step == PublishStep::Append) {
            publication.handleAppend(model.appendOurs(command.baseVersion));
        } else if (command.step == PublishStep::ReadLog) {
            const RulesBatch batch = model.read(command.from, 2);
            publication.handleLog(isSilent ? std::nullopt : std::optional(batch), now);
        } else {
            publication.handleMembers({{"n-1", model.version()}}, now);
        }
    }
    return publication.outcome();
}

LogModel makeLogModel()
{
    LogModel model;
    model.append({0, LogModel::noBase, {}, ""}); // the first record is a Join
    model.append({0, 0, other, "them"});
    model.append({0, LogModel::noBase, {}, ""});
    return model;
}

// Returns a publication after its first append.
Publication makeAppended(const RulesAppendResult &result)
{
    Publication publication(ours, 0s);
    publication.handleVersion(ObservedVersion{5, 9});
    REQUIRE(publication.next(0s).step == PublishStep::Append);
    publication.handleAppend(result);
    return publication;
}

} // namespace

// Guards against a verdict that contradicts the log, also after a delayed append arrives.
TEST_CASE("the verdict agrees with the log under any faults")
{
    rc::prop("verdict", [](bool hasFaults) {
        LogModel model = makeLogModel();
        model.hasFaults = hasFaults;
        const PublishOutcome outcome = runPublication(model, *rc::gen::inRange(0, 3));
        for (const RulesEntry &entry : model.delayed) {
            model.append(entry);
        }
        std::optional<std::uint64_t> accepted;
        model.replay(accepted);
        RC_TAG(std::string(publishVerdictNames.nameOf(outcome.verdict)));
        switch (outcome.verdict) {
        case PublishVerdict::InForce:
        case PublishVerdict::Accepted:
            RC_ASSERT(accepted == outcome.version);
            break;
        case PublishVerdict::Conflict:
        case PublishVerdict::Refused:
        case PublishVerdict::NotSent:
            RC_ASSERT_FALSE(accepted.has_value());
            break;
        case PublishVerdict::Unknown:
            RC_ASSERT(hasFaults);
            break;
        }
    });
}

TEST_CASE("a publication without faults needs one append")
{
    LogModel model = makeLogModel();
    const PublishOutcome outcome = runPublication(model, 0);
    REQUIRE(outcome.verdict == PublishVerdict::InForce);
    REQUIRE(outcome.version == 3);
    REQUIRE(outcome.appends == 1);
}

// Guards against a publication on an outdated base that is reported as accepted.
TEST_CASE("an outdated process leads to a conflict that names the other author")
{
    LogModel model = makeLogModel();
    const PublishOutcome outcome = runPublication(model, 2);
    REQUIRE(outcome.verdict == PublishVerdict::Conflict);
    REQUIRE(outcome.winner == "them");
    REQUIRE(outcome.version == 1);
}

// Guards against rules at offset 0: their version 0 would mean "no rules".
TEST_CASE("nothing is appended to an empty log")
{
    Publication publication(ours, 0s);
    publication.handleVersion(ObservedVersion{0, 0});
    REQUIRE(publication.next(1s).step == PublishStep::ReadVersion);
    publication.handleVersion(ObservedVersion{0, 1});
    REQUIRE(publication.next(1s).step == PublishStep::Append);
}

// Guards against a conflict that is reported because of a void record.
TEST_CASE("a record on another base has no effect")
{
    Publication publication = makeAppended({AppendAnswer::Appended, 11, ""});
    publication.handleLog(RulesBatch{0, 12, 12, {{9, 3, other, "them"}, {11, 5, ours, "us"}}}, 1s);
    REQUIRE(publication.next(1s).step == PublishStep::QueryMembers);
    REQUIRE(publication.outcome().version == 11);
}

TEST_CASE("after a lost reply the log is read before the next append")
{
    Publication publication = makeAppended({AppendAnswer::Unknown, 0, "late"});
    REQUIRE(publication.next(1s).step == PublishStep::ReadLog);
    REQUIRE(publication.next(1s).from == 9);
    publication.handleLog(std::nullopt, 1s);
    REQUIRE(publication.next(1s).step == PublishStep::ReadLog);
    publication.handleLog(RulesBatch{0, 9, 9, {}}, 2s);
    REQUIRE(publication.next(2s).step == PublishStep::Append); // not in the log; a copy is void
    publication.handleAppend({AppendAnswer::Refused, 0, "full"});
    publication.handleLog(RulesBatch{0, 10, 10, {{9, 5, ours, "us"}}}, 3s);
    REQUIRE(publication.next(3s).step == PublishStep::QueryMembers);
    REQUIRE(publication.outcome().version == 9);
}

TEST_CASE("an acknowledged record is awaited in the log")
{
    Publication publication = makeAppended({AppendAnswer::Appended, 12, ""});
    publication.handleLog(RulesBatch{0, 12, 12, {}}, 1s);
    REQUIRE(publication.next(1s).step == PublishStep::ReadLog);
    REQUIRE(publication.next(1s).pause == logRetryPause);
    publication.handleLog(RulesBatch{0, 14, 13, {{12, 5, ours, "us"}}}, 1s);
    REQUIRE(publication.next(1s).step == PublishStep::QueryMembers);
}

// Guards against an unknown outcome that is reported as a failure or as a success.
TEST_CASE("without the log the outcome is unknown, or nothing was sent")
{
    Publication lost = makeAppended({AppendAnswer::Unknown, 0, "late"});
    lost.handleLog(std::nullopt, 14s);
    REQUIRE(lost.next(publishLimit).step == PublishStep::Done);
    REQUIRE(lost.outcome().verdict == PublishVerdict::Unknown);
    Publication unsent = makeAppended({AppendAnswer::NotSent, 0, "refused"});
    REQUIRE(unsent.next(publishLimit).step == PublishStep::Done);
    REQUIRE(unsent.outcome().verdict == PublishVerdict::NotSent);
    Publication expired = makeAppended({AppendAnswer::Appended, 12, ""});
    expired.handleLog(RulesBatch{11, 13, 13, {{12, 5, ours, "us"}}}, 1s);
    REQUIRE(expired.next(1s).step == PublishStep::Done);
    REQUIRE(expired.outcome().verdict == PublishVerdict::Unknown);
}

// Guards against a slow or unreachable member that is not listed.
TEST_CASE("outdated members are listed after 4 s")
{
    Publication publication = makeAppended({AppendAnswer::Appended, 9, ""});
    publication.handleLog(RulesBatch{0, 10, 10, {{9, 5, ours, "us"}}}, 1s);
    publication.handleMembers({{"a", 9}, {"b", 5}, {"c", std::nullopt}}, 2s);
    REQUIRE(publication.next(2s).step == PublishStep::QueryMembers);
    publication.handleMembers({{"a", 9}, {"b", 11}, {"c", std::nullopt}}, 5s);
    REQUIRE(publication.next(5s).step == PublishStep::Done);
    REQUIRE(publication.outcome().verdict == PublishVerdict::Accepted);
    REQUIRE(publication.outcome().outdatedMembers == std::vector<std::string>{"c"});
}
