// The part of RangeHolder for GrantMode::Heartbeat: upstreams that get their grants in the answers
// to heartbeats.
#include "keyspace/range_holder.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr std::size_t plainRowBytes = 40; // two keys, a fence and punctuation

// Returns whether the upstream holds all keys of the span under this fence. The held ranges may
// overlap.
bool isFullyHeld(const std::vector<HeldRange> &holds, const KeySpan &span, std::uint64_t fence)
{
    std::vector<KeySpan> covers;
    for (const HeldRange &held : holds) {
        if (held.fence == fence && held.span.overlaps(span)) {
            covers.push_back(held.span);
        }
    }
    std::sort(covers.begin(), covers.end(),
              [](const KeySpan &a, const KeySpan &b) { return a.first < b.first; });
    ShardKey next = span.first;
    for (const KeySpan &cover : covers) {
        if (cover.first > next) {
            return false;
        }
        next = std::max(next, cover.last + 1);
    }
    return next > span.last;
}

// Returns whether the upstream holds any key of the span, or still runs requests for one, under
// this fence or an older one.
bool isPartlyHeld(const std::vector<HeldRange> &holds, const KeySpan &span, std::uint64_t fence)
{
    return std::any_of(holds.begin(), holds.end(), [&](const HeldRange &held) {
        return held.fence <= fence && held.span.overlaps(span);
    });
}

// Returns the handover of a released range that overlaps the span; empty if there is none.
std::string handoverOf(const std::vector<ReleasedRange> &released, const KeySpan &span)
{
    const auto found =
            std::find_if(released.begin(), released.end(), [&](const ReleasedRange &range) {
                return range.span.overlaps(span) && !range.handover.empty();
            });
    return found == released.end() ? std::string() : found->handover;
}

// Adds a row to the answer, or extends the last row if that grants the same keys. Ranges are merged
// only if there are too many of them, because an upstream treats a range with other bounds as a
// different range.
void addRow(HoldAnswer &answer, HoldRow row, bool mayMerge)
{
    if (mayMerge && !answer.rows.empty()) {
        HoldRow &last = answer.rows.back();
        const bool continues = last.span.last + 1 == row.span.first && last.fence == row.fence
                               && last.handover.empty() && row.handover.empty();
        if (continues) {
            last.span.last = row.span.last;
            return;
        }
    }
    answer.rows.push_back(std::move(row));
}

// Returns an upper bound for the size of the rows in the encoded answer.
std::size_t maxBytesOf(const HoldAnswer &answer)
{
    std::size_t bytes = 0;
    for (const HoldRow &row : answer.rows) {
        bytes += plainRowBytes + row.handover.size();
    }
    return bytes;
}

} // namespace

void RangeHolder::noteReport(const HoldReport &report, Time now)
{
    ++this->lastReport;
    for (Owned &entry : this->owned) {
        const KeySpan &span = entry.range.span;
        if (isFullyHeld(report.holds, span, entry.range.fence)) {
            entry.handover.clear(); // the upstream has received the handover
        } else if (entry.grantedIn != 0) {
            entry.servesUntil = Time::zero();
        }
    }
    for (Stopping &entry : this->stopping) {
        const std::string handover = handoverOf(report.released, entry.span);
        entry.handover = handover.empty() ? entry.handover : handover;
        entry.isReleased = !isPartlyHeld(report.holds, entry.span, entry.fence);
        entry.hasUnansweredGrant = now < this->earlierGrantsEnd();
    }
}

std::optional<HoldAnswer> RangeHolder::answerReport(Duration heartbeatDelay, Time now)
{
    this->removeExpired(now);
    HoldAnswer answer{.hold = this->maxHoldNow(now)};
    if (this->owned.empty()) {
        answer.hold = this->settings.minHold; // with no rows: the upstream releases all keys
        return answer;
    }
    if (answer.hold < this->settings.minHold) {
        return std::nullopt;
    }
    // Adds the ranges that are held first, because the upstream releases ranges that do not fit
    // into the answer.
    for (const bool selectHeld : {true, false}) {
        for (Owned &entry : this->owned) {
            const bool isHeld = now < entry.servesUntil;
            if (entry.isSettled() && isHeld == selectHeld && entry.grantedIn != this->lastReport) {
                this->grantInAnswer(entry, heartbeatDelay, now, answer);
            }
        }
    }
    return answer;
}

void RangeHolder::grantInAnswer(Owned &entry, Duration heartbeatDelay, Time now,
                                HoldAnswer &answer) const
{
    if (maxBytesOf(answer) > this->settings.maxAnswerBytes) {
        return;
    }
    const bool mayMerge = this->owned.size() * plainRowBytes > this->settings.maxAnswerBytes;
    addRow(answer,
           {.span = entry.range.span, .fence = entry.range.fence, .handover = entry.handover},
           mayMerge);
    if (now >= entry.servesUntil) {
        entry.servesFrom = now + this->settings.answerTravelTime;
    }
    entry.servesUntil = std::max(entry.servesUntil, now - heartbeatDelay + answer.hold);
    entry.mayHoldUntil = std::max(entry.mayHoldUntil, now + this->withClockDrift(answer.hold));
    entry.grantedIn = this->lastReport;
}

} // namespace kumquat
