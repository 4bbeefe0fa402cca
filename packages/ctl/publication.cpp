#include "ctl/publication.h"

namespace kumquat {

void Publication::goTo(PublishStep next, Duration wait)
{
    this->step = next;
    this->pause = wait;
}

void Publication::finish(PublishVerdict verdict)
{
    this->result.verdict = verdict;
    this->goTo(PublishStep::Done);
}

PublishCommand Publication::next(Time now)
{
    const bool isDeciding =
            this->step != PublishStep::AskMembers && this->step != PublishStep::Done;
    if (isDeciding && now - this->startedAt >= publishLimit) {
        this->finish(this->maybeSent ? PublishVerdict::Unknown : PublishVerdict::NotSent);
    }
    if (this->step == PublishStep::Append) {
        ++this->result.appends;
    }
    return {this->step, this->pause, this->result.baseVersion, this->nextOffset};
}

void Publication::takeVersion(const std::optional<VersionSeen> &seen)
{
    if (!seen) {
        this->result.reason = "the process at the admin address did not answer";
        this->goTo(PublishStep::ReadVersion, publishRetryPause);
        return;
    }
    // Rules at offset 0 would have version 0, which stands for no rules.
    if (seen->logOffset == 0) {
        this->result.reason = "the process at the admin address has not read any record yet";
        this->goTo(PublishStep::ReadVersion, publishRetryPause);
        return;
    }
    this->result.reason.clear();
    this->result.baseVersion = seen->version;
    this->nextOffset = seen->logOffset;
    this->goTo(PublishStep::Append);
}

void Publication::takeAppend(const RulesAppendResult &append)
{
    this->appendedOffset.reset();
    this->isRefused = append.answer == AppendAnswer::Refused;
    this->result.reason = append.reason;
    switch (append.answer) {
    case AppendAnswer::Appended:
        this->appendedOffset = append.offset;
        this->maybeSent = true;
        break;
    case AppendAnswer::Unknown:
        this->maybeSent = true;
        break;
    case AppendAnswer::Refused:
    case AppendAnswer::NotSent:
        break;
    }
    if (this->maybeSent) { // also by an earlier attempt, whose record may be there by now
        this->goTo(PublishStep::ReadLog);
    } else if (this->isRefused) {
        this->finish(PublishVerdict::Refused);
    } else {
        this->goTo(PublishStep::Append, publishRetryPause);
    }
}

void Publication::takeLog(const std::optional<RulesBatch> &batch, Time now)
{
    if (!batch) {
        this->result.reason = "the log service did not answer";
        this->goTo(PublishStep::ReadLog, publishRetryPause);
        return;
    }
    if (batch->firstKept > this->nextOffset) {
        this->result.reason = "records between the process and the log have expired; the process "
                              "at the admin address is too far behind";
        this->finish(PublishVerdict::Unknown);
        return;
    }
    for (const RulesEntry &entry : batch->entries) {
        if (this->step == PublishStep::ReadLog) {
            this->takeEntry(entry, now);
        }
    }
    if (this->step != PublishStep::ReadLog) {
        return;
    }
    this->nextOffset = batch->next;
    this->goTo(PublishStep::ReadLog);
    if (batch->next >= batch->end) {
        this->takeEndOfLog();
    }
}

// The first record with the base version decides: it is accepted, and all others on that base,
// wherever they are, are void.
void Publication::takeEntry(const RulesEntry &entry, Time now)
{
    // Version 0 means "no rules", so a record at offset 0 is void and is appended again.
    const bool isVoid = entry.offset == 0 || entry.baseVersion != this->result.baseVersion;
    if (entry.offset < this->nextOffset || isVoid) {
        return;
    }
    this->result.version = entry.offset;
    this->result.reason.clear();
    if (entry.id != this->id) {
        this->result.winner = entry.author;
        this->finish(PublishVerdict::Conflict);
        return;
    }
    this->acceptedAt = now;
    this->goTo(PublishStep::AskMembers);
}

void Publication::takeEndOfLog()
{
    const bool isHidden = this->appendedOffset && *this->appendedOffset >= this->nextOffset;
    if (isHidden) {
        this->goTo(PublishStep::ReadLog, logRetryPause);
    } else if (this->isRefused) {
        this->finish(PublishVerdict::Unknown);
    } else {
        this->goTo(PublishStep::Append, publishRetryPause);
    }
}

void Publication::takeMembers(const std::vector<MemberVersion> &members, Time now)
{
    this->result.behind.clear();
    for (const MemberVersion &member : members) {
        if (member.version.value_or(0) < this->result.version) {
            this->result.behind.push_back(member.node);
        }
    }
    if (!members.empty() && this->result.behind.empty()) {
        this->finish(PublishVerdict::InForce);
    } else if (now - this->acceptedAt >= membersLimit) {
        this->finish(PublishVerdict::Accepted);
    } else {
        this->goTo(PublishStep::AskMembers, membersRetryPause);
    }
}

} // namespace kumquat
