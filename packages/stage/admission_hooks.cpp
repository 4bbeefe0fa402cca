#include "stage/admission_hooks.h"

namespace kumquat {
namespace {

// Size of the head of a usual answer, added to its body.
constexpr std::size_t answerHeadBytes = 300;

// Returns the bytes that the answer takes on the link, 0 if there is no answer.
std::size_t answerBytes(const ExecuteResult &result)
{
    return result.reply.outcome() == wire::EXECUTE_ANSWERED ? result.body.size() + answerHeadBytes
                                                            : 0;
}

} // namespace

EndedHook endedHook(AdmissionState &admission)
{
    return [&admission](const wire::Execute &execute, const ExecuteResult &result, Time now) {
        admission.noteEnded(execute, answerBytes(result), now);
    };
}

RetryAfterHook retryAfterHook(AdmissionState &admission)
{
    return [&admission](const wire::Execute &execute, const Verdict &verdict, Time now) {
        return admission.retryAfter(execute, verdict, now);
    };
}

CallHooks callHooks(AdmissionState &admission)
{
    return {.isCall = [&admission](const wire::Execute &execute,
                                   Time now) { return admission.isCall(execute, now); },
            .ended = [&admission](const wire::Execute &execute, int status,
                                  Time now) { admission.noteCallEnded(execute, status, now); }};
}

RelayHooks relayHooks(AdmissionState &admission)
{
    return {.isLinkLimited = [&admission] { return admission.isLinkLimited(); },
            .wait = [&admission](const wire::Execute &execute,
                                 Time now) { return admission.relayWait(execute, now); },
            .sending = [&admission](const wire::Execute &execute,
                                    Time now) { admission.noteRelaying(execute, now); },
            .ended =
                    [&admission](const wire::Execute &execute, const ExecuteResult &result,
                                 Time now) {
                        admission.noteRelayed(execute, answerBytes(result), now);
                    }};
}

} // namespace kumquat
