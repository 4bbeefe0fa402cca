#include "traffic/retry.h"

#include <algorithm>

namespace kumquat {
namespace {

bool isRouteError(ErrorKind kind)
{
    return kind == ErrorKind::NotOwner || kind == ErrorKind::NoOwner || kind == ErrorKind::Draining;
}

// Returns whether another attempt may succeed. Overloaded and DeadlineExceeded are decisions of the
// owner, which has already taken the deadline into account.
bool isRetryable(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::NotOwner:
    case ErrorKind::NoOwner:
    case ErrorKind::Draining:
    case ErrorKind::UpstreamUnreachable:
    case ErrorKind::UpstreamRefused:
    case ErrorKind::OwnerLost:
    case ErrorKind::UpstreamLost:
    case ErrorKind::UpstreamTimeout:
        return true;
    default:
        return false;
    }
}

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings initial)
    : settings(initial)
    , balance(initial.floorPerSecond)
{}

void RetryBudget::noteFirstAttempt(Time now)
{
    this->refill(now);
    this->balance = std::min(this->settings.maxCredit, this->balance + this->settings.share);
}

bool RetryBudget::trySpend(Time now)
{
    this->refill(now);
    if (this->balance < 1) {
        return false;
    }
    this->balance -= 1;
    return true;
}

void RetryBudget::refill(Time now)
{
    if (now <= this->refilled) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - this->refilled).count();
    this->refilled = now;
    // The floor only refills an almost empty balance; it adds nothing to a balance that first
    // attempts have filled.
    const double cap = std::max(this->balance, std::max(1.0, this->settings.floorPerSecond));
    this->balance = std::min(cap, this->balance + seconds * this->settings.floorPerSecond);
}

RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget, Time now)
{
    const Outcome outcome = errorInfo(context.error).outcome;
    if (outcome == Outcome::Unknown && !context.idempotent) {
        return RetryDecision::MayHaveRun;
    }
    if (!isRetryable(context.error)) {
        return RetryDecision::Pointless;
    }
    if (context.attempts > maxRetries) {
        return RetryDecision::TooManyAttempts;
    }
    if (context.remaining <= context.needed) {
        return RetryDecision::NoTime;
    }
    if (!isRouteError(context.error) && !budget.trySpend(now)) {
        return RetryDecision::NoBudget;
    }
    return RetryDecision::Retry;
}

} // namespace kumquat
