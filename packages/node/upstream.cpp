#include "node/upstream.h"

#include "base/log.h"
#include "base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>

namespace kumquat {
namespace {

constexpr Duration probeInterval = 100ms;
constexpr Duration probeTimeout = 100ms;    // for one attempt of a probe
constexpr Duration probePollInterval = 1ms; // for the end of the first attempt
constexpr Duration lostAfter = 500ms; // the upstream is lost if it refuses connections this long
constexpr int minFrozenTimeouts = 5;  // consecutive timeouts of a frozen upstream
constexpr Duration frozenAfter = 1s;  // minimum time without an answer while calls run
constexpr Duration minCallTime = 1ms; // with less remaining time, no call is made

LimiterSettings limiterSettings(const UpstreamSettings &settings)
{
    LimiterSettings result;
    result.maxWaiting = settings.queueLength;
    return result;
}

std::uint32_t initialLimit(const Announcement &announcement, const UpstreamSettings &settings)
{
    return settings.initialConcurrency != 0 ? settings.initialConcurrency : announcement.slots;
}

CallEnd callEndOf(ErrorKind error)
{
    switch (error) {
    case ErrorKind::None:
        return CallEnd::Answered;
    case ErrorKind::UpstreamRefused:
        return CallEnd::Refused;
    case ErrorKind::UpstreamTimeout:
        return CallEnd::TimedOut;
    default:
        return CallEnd::Lost;
    }
}

// Returns whether the upstream answered that it did not run the request.
bool isRefusal(const HttpResponse &response)
{
    constexpr int serviceUnavailable = 503;
    constexpr int misdirectedRequest = 421;
    return (response.status == serviceUnavailable && !response.field("Retry-After").empty())
           || response.status == misdirectedRequest;
}

std::vector<HttpField> makeGrantFields(const RoutedRequest &request, const UpstreamGrant &grant)
{
    return {{"Kumquat-Fence", absl::StrCat(request.service, " ", grant.slot, " ", grant.epoch)},
            {"Kumquat-Expires-Ns", absl::StrCat(grant.expires.count())}};
}

} // namespace

std::uint64_t makeRandomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

// A fiber that waits for admission.
struct Upstream::Waiter
{
    explicit Waiter(asio::io_context &io)
        : event(io)
    {}
    FiberEvent event;
    bool decided = false;
    ErrorKind error = ErrorKind::None;
};

std::shared_ptr<Upstream> Upstream::create(const Announcement &announcement,
                                           UpstreamSettings settings,
                                           const std::vector<FiberThread *> &workers,
                                           UpstreamHooks hooks)
{
    return std::shared_ptr<Upstream>(
            new Upstream(announcement, settings, workers, std::move(hooks)));
}

Upstream::Upstream(const Announcement &announcement, UpstreamSettings settings,
                   const std::vector<FiberThread *> &threads, UpstreamHooks upstreamHooks)
    : info(announcement)
    , hooks(std::move(upstreamHooks))
    , workers(threads)
    , limiter(initialLimit(announcement, settings), announcement.connections, true, readBootTime(),
              limiterSettings(settings))
{
    const int idlePerWorker =
            std::max<int>(1, static_cast<int>(announcement.connections / threads.size()));
    for (FiberThread *thread : threads) {
        this->clients.push_back(std::make_unique<HttpClient>(
                thread->io(), announcement.address, HttpClientLimits{.maxIdle = idlePerWorker}));
    }
}

Upstream::~Upstream() = default;

bool Upstream::isSameAs(const Announcement &announcement) const
{
    const std::lock_guard lock(this->mutex);
    return !this->lost && this->info.service == announcement.service
           && this->info.address == announcement.address;
}

void Upstream::announce(const Announcement &announcement)
{
    const std::lock_guard lock(this->mutex);
    this->limiter.announce(announcement.slots, announcement.connections, readBootTime());
}

// ---- Admission ----

ErrorKind Upstream::admit(asio::io_context &io, RequestNumber number, Time deadline)
{
    std::shared_ptr<Waiter> waiter;
    {
        std::unique_lock lock(this->mutex);
        this->limiter.advance(readBootTime());
        this->wakeAdmitted();
        const Admission admission = this->limiter.admit(number, deadline, readBootTime());
        if (admission.action == AdmitAction::Dispatch) {
            return ErrorKind::None;
        }
        if (admission.action == AdmitAction::Refuse) {
            // The limiter admits few calls to an upstream that does not answer, so timeouts alone
            // would detect a frozen upstream late.
            const bool isFrozen = this->markLostIfFrozen();
            lock.unlock();
            if (isFrozen) {
                this->reportFrozen();
            }
            return admission.error;
        }
        waiter = std::make_shared<Waiter>(io);
        this->waiters.emplace(number, waiter);
    }
    waiter->event.waitFor(std::max(deadline - readBootTime(), Duration::zero()));
    const std::lock_guard lock(this->mutex);
    this->waiters.erase(number);
    if (waiter->decided) {
        return waiter->error;
    }
    this->limiter.cancelWaiting(number, readBootTime());
    return ErrorKind::DeadlineExceeded;
}

void Upstream::finish(RequestNumber number, CallEnd end)
{
    const std::lock_guard lock(this->mutex);
    this->limiter.finish(number, end, readBootTime());
    this->wakeAdmitted();
}

void Upstream::wakeAdmitted()
{
    LimiterOutput output = this->limiter.takeOutput();
    const auto wake = [this](RequestNumber number, ErrorKind error) {
        const auto waiting = this->waiters.find(number);
        if (waiting != this->waiters.end()) {
            waiting->second->decided = true;
            waiting->second->error = error;
            waiting->second->event.notify();
        }
    };
    for (const RequestNumber number : output.dispatch) {
        wake(number, ErrorKind::None);
    }
    for (const DroppedRequest &dropped : output.dropped) {
        wake(dropped.request, dropped.error);
    }
}

// ---- Call ----

RoutedAnswer Upstream::call(std::size_t worker, RequestNumber number, const RoutedRequest &request,
                            const UpstreamGrant &grant)
{
    const Duration limit = grant.expires - readBootTime();
    if (limit < minCallTime) {
        this->finish(number, CallEnd::Cancelled);
        return makeFailure(ErrorKind::DeadlineExceeded, "no time is left for the upstream");
    }
    {
        const std::lock_guard lock(this->mutex);
        this->running.emplace(number, request.fingerprint);
        this->silentSince = this->silentSince.value_or(readBootTime());
    }
    auto response =
            this->clients[worker]->call(request.http, limit, makeGrantFields(request, grant));
    RoutedAnswer answer;
    if (!response.ok()) {
        answer = makeFailure(errorKindOf(response.status()), toStd(response.status().message()));
    } else if (isRefusal(*response)) {
        answer = makeFailure(ErrorKind::UpstreamRefused, "the upstream refused the request");
    } else {
        answer.http = *std::move(response);
    }
    this->noteEnd(worker, callEndOf(answer.error));
    {
        const std::lock_guard lock(this->mutex);
        this->running.erase(number);
    }
    this->finish(number, callEndOf(answer.error));
    return answer;
}

void Upstream::noteEnd(std::size_t worker, CallEnd end)
{
    bool isFrozen = false;
    {
        const std::lock_guard lock(this->mutex);
        const Time now = readBootTime();
        if (end == CallEnd::Answered || end == CallEnd::Refused) {
            this->consecutiveTimeouts = 0;
            this->silentSince = now; // for the calls that still run
            if (this->running.size() <= 1) {
                this->silentSince.reset();
            }
        } else if (end == CallEnd::Lost) {
            this->silentSince.reset(); // the probe decides whether the upstream is lost
        } else if (end == CallEnd::TimedOut) {
            ++this->consecutiveTimeouts;
            isFrozen = this->markLostIfFrozen();
        }
    }
    if (end == CallEnd::Lost) {
        this->startProbe(worker, true);
        this->waitForFirstAttempt(worker);
    }
    if (isFrozen) {
        this->reportFrozen();
    }
}

bool Upstream::markLostIfFrozen()
{
    if (this->lost || this->consecutiveTimeouts < minFrozenTimeouts || !this->silentSince
        || readBootTime() - *this->silentSince <= frozenAfter) {
        return false;
    }
    this->lost = true;
    return true;
}

void Upstream::reportFrozen()
{
    logWarning(LogPart::Upstream, "upstream does not answer",
               {{"address", this->info.address.toString()}});
    this->hooks.reportLost(this);
}

// ---- Probe after a lost connection ----

void Upstream::startProbe(std::size_t worker, bool suspectRunning)
{
    std::vector<Fingerprint> suspects;
    {
        const std::lock_guard lock(this->mutex);
        if (this->probing || this->lost) {
            return;
        }
        this->probing = true;
        this->firstAttemptDone = false;
        // A crash breaks all connections at the same time, so the requests that run now were
        // running when the upstream crashed.
        for (const auto &[number, fingerprint] : this->running) {
            if (suspectRunning) {
                suspects.push_back(fingerprint);
            }
        }
    }
    this->workers[worker]->spawn(
            [self = this->shared_from_this(), worker, suspects = std::move(suspects)]() mutable {
                self->probe(worker, std::move(suspects));
            });
}

void Upstream::probe(std::size_t worker, std::vector<Fingerprint> suspects)
{
    const Time start = readBootTime();
    HttpClient client(this->workers[worker]->io(), this->info.address,
                      {.connectLimit = probeTimeout});
    HttpRequest request;
    request.target = "/health";
    bool isRefused = false;
    do {
        // Only an accepted connection counts. The content of the health page may be misleading.
        const auto answer = client.call(request, probeTimeout);
        isRefused = errorKindOf(answer.status()) == ErrorKind::UpstreamUnreachable;
        if (isRefused && !suspects.empty()) {
            logWarning(LogPart::Upstream, "upstream crashed",
                       {{"requests", absl::StrCat(suspects.size())}});
            this->hooks.reportCrash(suspects);
            suspects.clear();
        }
        {
            const std::lock_guard lock(this->mutex);
            this->firstAttemptDone = true;
        }
        if (isRefused) {
            sleepFor(this->workers[worker]->io(), probeInterval);
        }
    } while (isRefused && readBootTime() - start < lostAfter);
    {
        const std::lock_guard lock(this->mutex);
        this->probing = false;
        this->lost = this->lost || isRefused;
    }
    if (isRefused) {
        logWarning(LogPart::Upstream, "upstream refuses connections",
                   {{"address", this->info.address.toString()}});
        this->hooks.reportLost(this);
    }
}

// Delays a retry until a crash has been reported with the requests that were running. Otherwise a
// retry of the request that caused the crash could crash the next upstream.
void Upstream::waitForFirstAttempt(std::size_t worker)
{
    const Time until = readBootTime() + probeTimeout;
    const auto isPending = [this] {
        const std::lock_guard lock(this->mutex);
        return this->probing && !this->firstAttemptDone;
    };
    while (isPending() && readBootTime() < until) {
        sleepFor(this->workers[worker]->io(), probePollInterval);
    }
}

// ---- Retry and load ----

void Upstream::noteFirstAttempt(Time now)
{
    const std::lock_guard lock(this->mutex);
    this->retryBudget.noteFirstAttempt(now);
}

bool Upstream::mayRetry(const RetryContext &context)
{
    const std::lock_guard lock(this->mutex);
    return decideRetry(context, this->retryBudget, readBootTime()) == RetryDecision::Retry;
}

Duration Upstream::serviceTime() const
{
    const std::lock_guard lock(this->mutex);
    return this->limiter.serviceTime();
}

double Upstream::utilisation() const
{
    const std::lock_guard lock(this->mutex);
    return this->limiter.utilisation();
}

} // namespace kumquat
