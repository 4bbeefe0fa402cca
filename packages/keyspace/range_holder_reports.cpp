// The part of RangeHolder for upstreams that get their grants in the answers to heartbeats.
#include "keyspace/range_holder.h"

#include <algorithm>

namespace kumquat {
namespace {

constexpr std::size_t bytesOfPlainRow = 40; // two keys, a fence and punctuation

// Says whether the upstream holds all keys of the span under this fence. Rows may overlap.
bool isHeldWhole(const std::vector<HeldRange> &holds, const KeySpan &span, std::uint64_t fence)
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

// Says whether the upstream holds, or works on, a key of the span under this fence or an older one.
bool isHeldInPart(const std::vector<HeldRange> &holds, const KeySpan &span, std::uint64_t fence)
{
    return std::any_of(holds.begin(), holds.end(), [&](const HeldRange &held) {
        return held.fence <= fence && held.span.overlaps(span);
    });
}

std::string handoverOf(const std::vector<ReleasedRange> &released, const KeySpan &span)
{
    const auto found =
            std::find_if(released.begin(), released.end(), [&](const ReleasedRange &range) {
                return range.span.overlaps(span) && !range.handover.empty();
            });
    return found == released.end() ? std::string() : found->handover;
}

// Adds a row, or lengthens the last one where that grants the same. Ranges are merged only if there
// are too many, as an upstream takes a range with other bounds for another one.
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

// Returns the most bytes that the rows take in an answer.
std::size_t bytesOf(const HoldAnswer &answer)
{
    std::size_t bytes = 0;
    for (const HoldRow &row : answer.rows) {
        bytes += bytesOfPlainRow + row.handover.size();
    }
    return bytes;
}

} // namespace

void RangeHolder::noteReport(const HoldReport &report, Time now)
{
    ++this->lastReport;
    for (Owned &entry : this->owned) {
        const KeySpan &span = entry.range.span;
        if (isHeldWhole(report.holds, span, entry.range.fence)) {
            entry.handover.clear(); // it has been taken
        } else if (entry.grantedIn != 0) {
            entry.servesUntil = Time::zero();
        }
    }
    for (Stopping &entry : this->stopping) {
        const std::string handover = handoverOf(report.released, entry.span);
        entry.handover = handover.empty() ? entry.handover : handover;
        entry.isReleased = !isHeldInPart(report.holds, entry.span, entry.fence);
        entry.isUnanswered = now < this->earlierGrantsEnd();
    }
}

std::optional<HoldAnswer> RangeHolder::answerReport(Duration late, Time now)
{
    this->forgetOld(now);
    HoldAnswer answer{.hold = this->maxHoldNow(now)};
    if (this->owned.empty()) {
        answer.hold = this->settings.minHold; // of nothing: all is given back
        return answer;
    }
    if (answer.hold < this->settings.minHold) {
        return std::nullopt;
    }
    // Ranges that are held come first: one that finds no room in the answer is given back.
    for (const bool wantsHeld : {true, false}) {
        for (Owned &entry : this->owned) {
            const bool isHeld = now < entry.servesUntil;
            if (entry.isSettled() && isHeld == wantsHeld && entry.grantedIn != this->lastReport) {
                this->grantInAnswer(entry, late, now, answer);
            }
        }
    }
    return answer;
}

void RangeHolder::grantInAnswer(Owned &entry, Duration late, Time now, HoldAnswer &answer) const
{
    if (bytesOf(answer) > this->settings.maxAnswerBytes) {
        return;
    }
    const bool mayMerge = this->owned.size() * bytesOfPlainRow > this->settings.maxAnswerBytes;
    addRow(answer,
           {.span = entry.range.span, .fence = entry.range.fence, .handover = entry.handover},
           mayMerge);
    if (now >= entry.servesUntil) {
        entry.servesFrom = now + this->settings.answerTravelTime;
    }
    entry.servesUntil = std::max(entry.servesUntil, now - late + answer.hold);
    entry.mayHoldUntil = std::max(entry.mayHoldUntil, now + this->stretched(answer.hold));
    entry.grantedIn = this->lastReport;
}

} // namespace kumquat
