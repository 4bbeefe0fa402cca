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
    const bool isUndecided =
            this->step != PublishStep::QueryMembers && this->step != PublishStep::Done;
    if (isUndecided && now - this->startedAt >= publishLimit) {
        this->finish(this->mayBeSent ? PublishVerdict::Unknown : PublishVerdict::NotSent);
    }
    if (this->step == PublishStep::Append) {
        ++this->result.appends;
    }
    return {this->step, this->pause, this->result.baseVersion, this->nextOffset};
}

void Publication::handleVersion(const std::optional<ObservedVersion> &observed)
{
    if (!observed) {
        this->result.reason = "the process at the admin address did not answer";
        this->goTo(PublishStep::ReadVersion, publishRetryPause);
        return;
    }
    // Rules at offset 0 would get version 0, which means "no rules".
    if (observed->logOffset == 0) {
        this->result.reason = "the process at the admin address has not read any log record yet";
        this->goTo(PublishStep::ReadVersion, publishRetryPause);
        return;
    }
    this->result.reason.clear();
    this->result.baseVersion = observed->version;
    this->nextOffset = observed->logOffset;
    this->goTo(PublishStep::Append);
}

void Publication::handleAppend(const RulesAppendResult &append)
{
    this->appendedOffset.reset();
    this->isRefused = append.answer == AppendAnswer::Refused;
    this->result.reason = append.reason;
    switch (append.answer) {
    case AppendAnswer::Appended:
        this->appendedOffset = append.offset;
        this->mayBeSent = true;
        break;
    case AppendAnswer::Unknown:
        this->mayBeSent = true;
        break;
    case AppendAnswer::Refused:
    case AppendAnswer::NotSent:
        break;
    }
    if (this->mayBeSent) { // also by an earlier attempt, whose record may have arrived
        this->goTo(PublishStep::ReadLog);
    } else if (this->isRefused) {
        this->finish(PublishVerdict::Refused);
    } else {
        this->goTo(PublishStep::Append, publishRetryPause);
    }
}

void Publication::handleLog(const std::optional<RulesBatch> &batch, Time now)
{
    if (!batch) {
        this->result.reason = "the log service did not answer";
        this->goTo(PublishStep::ReadLog, publishRetryPause);
        return;
    }
    if (batch->firstKept > this->nextOffset) {
        this->result.reason = "the process at the admin address has read too little of the log: "
                              "the records that follow have expired";
        this->finish(PublishVerdict::Unknown);
        return;
    }
    for (const RulesEntry &entry : batch->entries) {
        if (this->step == PublishStep::ReadLog) {
            this->handleEntry(entry, now);
        }
    }
    if (this->step != PublishStep::ReadLog) {
        return;
    }
    this->nextOffset = batch->next;
    this->goTo(PublishStep::ReadLog);
    if (batch->next >= batch->end) {
        this->handleEndOfLog();
    }
}

// The first record with the base version is accepted, and all later records with this base version
// are void.
void Publication::handleEntry(const RulesEntry &entry, Time now)
{
    // Version 0 means "no rules", so a record at offset 0 is void and must be appended again.
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
    this->goTo(PublishStep::QueryMembers);
}

void Publication::handleEndOfLog()
{
    const bool isAppendUnread = this->appendedOffset && *this->appendedOffset >= this->nextOffset;
    if (isAppendUnread) {
        this->goTo(PublishStep::ReadLog, logRetryPause);
    } else if (this->isRefused) {
        this->finish(PublishVerdict::Unknown);
    } else {
        this->goTo(PublishStep::Append, publishRetryPause);
    }
}

void Publication::handleMembers(const std::vector<MemberVersion> &members, Time now)
{
    this->result.outdatedMembers.clear();
    for (const MemberVersion &member : members) {
        if (member.version.value_or(0) < this->result.version) {
            this->result.outdatedMembers.push_back(member.node);
        }
    }
    if (!members.empty() && this->result.outdatedMembers.empty()) {
        this->finish(PublishVerdict::InForce);
    } else if (now - this->acceptedAt >= membersLimit) {
        this->finish(PublishVerdict::Accepted);
    } else {
        this->goTo(PublishStep::QueryMembers, membersRetryPause);
    }
}

} // namespace kumquat
