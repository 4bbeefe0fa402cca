// The part of RangeHolder for upstreams that get their grants in the answers to heartbeats.
#include "keyspace/range_holder.h"

#include <algorithm>

namespace kumquat {
namespace {

// Says whether the upstream holds all keys of the span under this fence.
bool isHeldWhole(const std::vector<HeldRange> &holds, const KeySpan &span, std::uint64_t fence)
{
    std::uint32_t covered = 0;
    for (const HeldRange &held : holds) {
        if (held.fence == fence && held.span.overlaps(span)) {
            covered +=
                    std::min(held.span.last, span.last) - std::max(held.span.first, span.first) + 1;
        }
    }
    return covered >= span.size();
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

// Adds a row, or lengthens the last one where that grants the same.
void addRow(HoldAnswer &answer, HoldRow row)
{
    if (!answer.rows.empty()) {
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
    constexpr std::size_t plainRow = 40; // two keys, a fence and punctuation
    std::size_t bytes = 0;
    for (const HoldRow &row : answer.rows) {
        bytes += plainRow + row.handover.size();
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
    HoldAnswer answer{.hold = this->longestHoldNow(now)};
    if (this->owned.empty()) {
        answer.hold = this->settings.leastHold; // of nothing: all is given back
        return answer;
    }
    if (answer.hold < this->settings.leastHold) {
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
    if (bytesOf(answer) > this->settings.mostAnswerBytes) {
        return;
    }
    addRow(answer,
           {.span = entry.range.span, .fence = entry.range.fence, .handover = entry.handover});
    if (now >= entry.servesUntil) {
        entry.servesFrom = now + this->settings.answerTravel;
    }
    entry.servesUntil = std::max(entry.servesUntil, now - late + answer.hold);
    entry.mayHoldUntil = std::max(entry.mayHoldUntil, now + this->stretched(answer.hold));
    entry.grantedIn = this->lastReport;
}

} // namespace kumquat
