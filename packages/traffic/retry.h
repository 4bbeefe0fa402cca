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
    double share = 0.1;        // retries for each first attempt
    double floorPerSecond = 1; // retries that are always allowed
    double maxCredit = 100;    // largest credit, so that a quiet hour does not pay for a storm
};

// Credit for retries to one upstream. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    // Adds the share of one first attempt.
    void noteFirstAttempt(Time now);

    // Takes one retry if the credit allows it.
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
    Pointless,       // another attempt would end the same way
    TooManyAttempts, // first attempt and maxRetries are used up
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
    int attempts = 1;     // made so far, with the first
    Duration remaining{}; // until the deadline
    Duration needed{};    // backoff and expected time of another attempt
};

// Takes one retry from the budget if the decision is Retry. Errors about the route (NotOwner,
// NoOwner, Draining) do not use the budget: they put no load on the upstream.
RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget, Time now);

} // namespace kumquat
