#include "node/upstream.h"

#include "base/log.h"
#include "base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>

namespace kumquat {
namespace {

constexpr Duration probeEvery = 100ms;
constexpr Duration probeLimit = 100ms; // for one probe
constexpr Duration probePoll = 1ms;    // between looks whether the first probe has ended
constexpr Duration lostAfter = 500ms;  // of refused connections
constexpr int frozenTimeouts = 5;      // in a row, without any answer between them
constexpr Duration frozenAfter = 1s;   // without an answer while calls run
constexpr Duration minCallTime = 1ms;  // a shorter rest of the deadline is not worth a call

LimiterSettings limiterSettings(const UpstreamSettings &settings)
{
    LimiterSettings result;
    result.maxWaiting = settings.queueLength;
    return result;
}

std::uint32_t firstLimit(const Announcement &announcement, const UpstreamSettings &settings)
{
    return settings.initialConcurrency != 0 ? settings.initialConcurrency : announcement.slots;
}

CallEnd endOf(ErrorKind error)
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

// The upstream itself says that it did not run the request.
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
    , limiter(firstLimit(announcement, settings), announcement.connections, true, readBootTime(),
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
            // The limiter lets few calls through to a silent upstream, so their timeouts come late.
            const bool isFrozen = this->takeFrozen();
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
    this->noteEnd(worker, endOf(answer.error));
    {
        const std::lock_guard lock(this->mutex);
        this->running.erase(number);
    }
    this->finish(number, endOf(answer.error));
    return answer;
}

void Upstream::noteEnd(std::size_t worker, CallEnd end)
{
    bool isFrozen = false;
    {
        const std::lock_guard lock(this->mutex);
        const Time now = readBootTime();
        if (end == CallEnd::Answered || end == CallEnd::Refused) {
            this->timeoutsInARow = 0;
            this->silentSince = now; // of the calls that still run
            if (this->running.size() <= 1) {
                this->silentSince.reset();
            }
        } else if (end == CallEnd::Lost) {
            this->silentSince.reset(); // the probe decides whether it is gone
        } else if (end == CallEnd::TimedOut) {
            ++this->timeoutsInARow;
            isFrozen = this->takeFrozen();
        }
    }
    if (end == CallEnd::Lost) {
        this->startProbe(worker, true);
        this->waitForFirstProbe(worker);
    }
    if (isFrozen) {
        this->reportFrozen();
    }
}

bool Upstream::takeFrozen()
{
    if (this->lost || this->timeoutsInARow < frozenTimeouts || !this->silentSince
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

void Upstream::startProbe(std::size_t worker, bool blameRunning)
{
    std::vector<Fingerprint> suspects;
    {
        const std::lock_guard lock(this->mutex);
        if (this->probing || this->lost) {
            return;
        }
        this->probing = true;
        this->probedOnce = false;
        // A crash breaks all connections at the same time, so what runs now ran at the crash.
        for (const auto &[number, fingerprint] : this->running) {
            if (blameRunning) {
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
                      {.connectLimit = probeLimit});
    HttpRequest request;
    request.target = "/health";
    bool isRefused = false;
    do {
        // Only whether the connection is accepted counts; what the health page says may mislead.
        const auto answer = client.call(request, probeLimit);
        isRefused = errorKindOf(answer.status()) == ErrorKind::UpstreamUnreachable;
        if (isRefused && !suspects.empty()) {
            logWarning(LogPart::Upstream, "upstream crashed",
                       {{"requests", absl::StrCat(suspects.size())}});
            this->hooks.reportCrash(suspects);
            suspects.clear();
        }
        {
            const std::lock_guard lock(this->mutex);
            this->probedOnce = true;
        }
        if (isRefused) {
            sleepFor(this->workers[worker]->io(), probeEvery);
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

// A retry must not start before a crash has been blamed, or it could crash the next upstream.
void Upstream::waitForFirstProbe(std::size_t worker)
{
    const Time until = readBootTime() + probeLimit;
    const auto isPending = [this] {
        const std::lock_guard lock(this->mutex);
        return this->probing && !this->probedOnce;
    };
    while (isPending() && readBootTime() < until) {
        sleepFor(this->workers[worker]->io(), probePoll);
    }
}

// ---- Retry and load ----

void Upstream::noteFirstAttempt(Time now)
{
    const std::lock_guard lock(this->mutex);
    this->retryBudget.noteFirstAttempt(now);
}

bool Upstream::mayRetry(const RetryContext &question)
{
    const std::lock_guard lock(this->mutex);
    return decideRetry(question, this->retryBudget, readBootTime()) == RetryDecision::Retry;
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
