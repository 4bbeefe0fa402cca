// Decides whether an attempt may be repeated.
//
//   budget.noteFirstAttempt(now);
//   RetryDecision decision = decideRetry({.error = kind, .idempotent = true, .attempts = 1,
//                                         .remaining = deadline - now}, budget, now);
#pragma once

#include "base/errors.h"
#include "base/names.h"
#include "base/time.h"

#include <cstdint>

namespace kumquat {

struct RetryBudgetSettings
{
    double share = 0.1;        // credit per first attempt
    double floorPerSecond = 1; // retries per second that are always allowed
    double maxCredit = 100;    // caps the credit, so that a quiet hour does not fund a retry storm
};

// Credit for retries to one destination. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    // Adds the credit of one first attempt.
    void noteFirstAttempt(Time now);

    // Spends the credit of one retry. Returns false if less than that is left.
    bool trySpend(Time now);

    double credit() const { return this->balance; }

private:
    void refill(Time now);

    RetryBudgetSettings settings;
    double balance;
    Time refilled{};
};

enum class RetryDecision : std::uint8_t {
    Retry,
    MayHaveRun,      // non-idempotent and the outcome is unknown
    Pointless,       // another attempt would fail in the same way
    TooManyAttempts, // the first attempt and maxRetries retries are used up
    NoTime,          // the deadline leaves no time for another attempt
    NoBudget,
};

inline constexpr NameTable<RetryDecision, 6> retryDecisionNames{
        {{{RetryDecision::Retry, "retry"},
          {RetryDecision::MayHaveRun, "may-have-run"},
          {RetryDecision::Pointless, "pointless"},
          {RetryDecision::TooManyAttempts, "too-many-attempts"},
          {RetryDecision::NoTime, "no-time"},
          {RetryDecision::NoBudget, "no-budget"}}}};

inline constexpr int maxRetries = 3;

struct RetryContext
{
    ErrorKind error = ErrorKind::None;
    bool idempotent = false;
    int attempts = 1;     // including the first one
    Duration remaining{}; // until the deadline
    Duration needed{};    // backoff and expected duration of another attempt
};

// Spends one retry of the budget if the decision is Retry. Errors about the route (NotOwner,
// NoOwner, Draining) do not use the budget, because they put no load on the upstream.
RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget, Time now);

} // namespace kumquat
