// The part of the executor in which requests wait: for their key, for newer information about their
// caller and for a slot at the upstream. Their callers may cancel them meanwhile.
//
// Sections: waiting, key, caller, slot, cancellation.
#include "stage/executor.h"

#include "stage/upstream_limits.h"

#include <algorithm>

namespace kumquat {

// ---- Waiting ----

void Executor::wait(Run &run, Duration limit)
{
    run.event->waitFor(limit);
    run.event = std::make_unique<FiberEvent>(this->thread.io());
}

void Executor::wake(Run &run, WakeOrder order) const
{
    run.event->notify(order);
}

// ---- Key ----

// Returns false if the key is held elsewhere or does not arrive in time.
bool Executor::waitForKey(const wire::Execute &execute, const RunPtr &run, Time deadline)
{
    if (!this->hooks.hasKeys()) {
        return true;
    }
    if (!execute.has_key()) {
        return false;
    }
    const Time limit = std::min(deadline, readBootTime() + this->settings.maxPendingWait);
    while (!run->isCancelled) {
        const Time now = readBootTime();
        switch (this->hooks.access(execute.key(), now)) {
        case KeyAccess::Held:
            return true;
        case KeyAccess::Elsewhere:
            return false;
        case KeyAccess::Pending:
            break;
        }
        if (now >= limit) {
            return false;
        }
        if (this->waitingForKey.size() >= this->settings.maxPending) {
            return false;
        }
        this->waitingForKey.emplace(execute.key(), run);
        this->wait(*run, limit - now);
        this->removeWaiter(execute.key(), run);
    }
    return false;
}

void Executor::removeWaiter(ShardKey key, const RunPtr &run)
{
    const auto [begin, end] = this->waitingForKey.equal_range(key);
    const auto found =
            std::find_if(begin, end, [&run](const auto &entry) { return entry.second == run; });
    if (found != end) {
        this->waitingForKey.erase(found);
    }
}

void Executor::noteAccessChanged(const KeySpan &span)
{
    const Time now = readBootTime();
    auto entry = this->waitingForKey.lower_bound(span.first);
    while (entry != this->waitingForKey.end() && entry->first <= span.last) {
        if (this->hooks.access(entry->first, now) == KeyAccess::Pending) {
            ++entry;
            continue;
        }
        this->wake(*entry->second, WakeOrder::InTurn);
        entry = this->waitingForKey.erase(entry);
    }
}

// ---- Caller ----

Duration Executor::callerAge(const Run &run, Time now) const
{
    const bool isOwn = run.caller.connection == 0;
    return isOwn || !this->hooks.callerAge ? Duration::zero()
                                           : this->hooks.callerAge(run.caller.connection, now);
}

// Waits until the information about the caller is recent enough. Returns false if the host of the
// caller does not reply in time.
bool Executor::waitForFreshCaller(Run &run, Time deadline)
{
    // Share of the limit; the rest is left for the time until the request is sent.
    constexpr double freshPart = 0.67;
    const Time limit = std::min(deadline, readBootTime() + this->settings.probeWait);
    while (!run.isCancelled) {
        const Time now = readBootTime();
        if (this->callerAge(run, now) <= run.callerAgeLimit * freshPart) {
            return true;
        }
        if (now >= limit || run.isDropped || this->hooks.isSilent(run.caller.connection)) {
            return false;
        }
        this->hooks.sendProbe(run.caller.connection);
        run.awaitsFreshCaller = true;
        this->wait(run, limit - now);
        run.awaitsFreshCaller = false;
    }
    return true; // the caller of this function checks isCancelled
}

void Executor::noteCallersFresh(std::uint64_t connection)
{
    for (const auto &[number, run] : this->running) {
        if (run->awaitsFreshCaller && run->caller.connection == connection) {
            this->wake(*run, WakeOrder::InTurn);
        }
    }
}

// Probes callers before newer information is needed, and cancels work for callers on hosts that
// have become silent.
void Executor::probeCallers(Time now)
{
    if (!this->hooks.callerAge) {
        return;
    }
    for (const auto &[number, run] : this->running) {
        const bool canEnd = !run->isSent || run->isIdempotent;
        const Duration limit = run->isSent ? this->settings.silentLimit : run->callerAgeLimit;
        const Duration age = this->callerAge(*run, now);
        if (run->isCancelled || !canEnd || age < limit / 2) {
            continue;
        }
        if (run->isSent && age >= limit && this->hooks.isSilent(run->caller.connection)) {
            this->cancelRun(*run);
        } else {
            this->hooks.sendProbe(run->caller.connection);
        }
    }
}

// ---- Slot ----

bool Executor::waitForSlot(const wire::Execute &execute, const RunPtr &run, std::uint64_t number,
                           Time deadline, Duration &retryAfter)
{
    if (run->isCancelled) {
        run->refusal = "caller-gone";
        return false;
    }
    const Time now = readBootTime();
    // A request without a key may be a call that a running request makes. Even a late answer is
    // useful to that request, so the call has no objective.
    const Time objective = execute.has_key() && !execute.is_call()
                                   ? now + std::chrono::milliseconds(execute.objective_ms())
                                   : Time::max();
    const Admission admission = this->limiter.admit(
            number, deadline, now,
            {.rank = rankOf(execute), .objective = objective, .kind = execute.route_hash()});
    this->dispatchNext();
    if (admission.action == AdmitAction::Refuse) {
        retryAfter = admission.retryAfter;
        run->refusal = "queue-full";
        return false;
    }
    run->isDispatched = run->isDispatched || admission.action == AdmitAction::Dispatch;
    while (!run->isDispatched && !run->isDropped && !run->isCancelled) {
        this->wait(*run, std::max(deadline - readBootTime(), Duration(1ms)));
        if (readBootTime() >= deadline && !run->isDispatched) {
            break;
        }
    }
    if (run->isDispatched && run->isCancelled) {
        this->limiter.finish(number, CallEnd::Cancelled, readBootTime());
        return false;
    }
    if (!run->isDispatched) {
        run->refusal = run->isCancelled ? "caller-gone" : "waited-in-vain";
        this->limiter.cancelWaiting(number, readBootTime());
        retryAfter = run->retryAfter;
    }
    return run->isDispatched;
}

void Executor::dispatchNext()
{
    const LimiterOutput output = this->limiter.takeOutput();
    for (const RequestNumber number : output.dispatch) {
        const auto found = this->running.find(number);
        if (found == this->running.end()) {
            this->limiter.finish(number, CallEnd::Cancelled, readBootTime());
            continue;
        }
        found->second->isDispatched = true;
        this->wake(*found->second, WakeOrder::InTurn);
    }
    for (const DroppedRequest &dropped : output.dropped) {
        const auto found = this->running.find(dropped.request);
        if (found != this->running.end()) {
            found->second->isDropped = true;
            found->second->retryAfter = dropped.retryAfter;
            this->wake(*found->second, WakeOrder::First);
        }
    }
}

// ---- Cancellation ----

void Executor::cancel(ExecuteCaller caller)
{
    const auto expected = this->announced.find(caller);
    if (expected != this->announced.end()) {
        expected->second.isCancelled = true;
        return;
    }
    for (const auto &[number, run] : this->running) {
        if (run->caller != caller || run->isCancelled) {
            continue;
        }
        if (run->isSent && !run->isIdempotent) {
            return; // the request runs to its end: aborting it would leave its effect unknown
        }
        this->cancelRun(*run);
        return;
    }
}

void Executor::cancelRun(Run &run)
{
    run.isCancelled = true;
    if (run.call) {
        run.call->cancel();
    }
    this->wake(run, WakeOrder::First);
}

void Executor::cancelAll(std::uint64_t connection)
{
    std::vector<ExecuteCaller> callers;
    for (const auto &[caller, request] : this->announced) {
        if (caller.connection == connection) {
            callers.push_back(caller);
        }
    }
    for (const auto &[number, run] : this->running) {
        if (run->caller.connection == connection) {
            callers.push_back(run->caller);
        }
    }
    for (const ExecuteCaller &caller : callers) {
        this->cancel(caller);
    }
}

void Executor::abortAll()
{
    for (const auto &[number, run] : this->running) {
        this->cancelRun(*run);
    }
}

} // namespace kumquat
