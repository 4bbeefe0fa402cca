// Sections: admission, running, control, announcement.
#include "standins/upstream.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration checkInterval = 5ms; // between checks for expiry and cancellation
constexpr int percent = 100;
constexpr int exitStatusOfCrash = 3;

// Time from expiry until the connection is closed. The owner's own deadline expires first, so that
// it does not mistake the close for a crash.
constexpr Duration closeDelay = 50ms;

HttpAnswer refuse(std::string_view reason)
{
    return {503, {{"Retry-After", "1"}}, std::string(reason)};
}

Time readExpiry(const HttpRequest &request)
{
    std::int64_t value = 0;
    const auto text = findField(request.fields, "Kumquat-Expires-Ns");
    return text && absl::SimpleAtoi(*text, &value) ? Time(value) : Time(0);
}

bool hasExpired(Time expires)
{
    return expires > Time(0) && readBootTime() >= expires;
}

} // namespace

Upstream::Upstream(const UpstreamOptions &initialOptions)
    : options(initialOptions)
    , random(std::random_device{}())
    , runs(initialOptions.name, initialOptions.service)
{}

// --- admission

HttpAnswer Upstream::handle(const HttpRequest &request)
{
    const std::string path = request.path();
    if (path == "/health") {
        return this->health();
    }
    if (absl::StartsWith(path, "/control/")) {
        return this->control(request);
    }
    return this->serve(request);
}

HttpAnswer Upstream::serve(const HttpRequest &request)
{
    if (this->isShedding()) {
        return refuse("shedding load");
    }
    if (!this->acceptFence(findField(request.fields, "Kumquat-Fence").value_or(""))) {
        return {421, {}, "the fence is lower than the highest one seen"};
    }
    const Time expires = readExpiry(request);
    if (!this->acquireWorker(request, expires)) {
        return refuse("expired before the run");
    }
    Run run = this->describe(request);
    run.expires = expires;
    HttpAnswer answer = this->run(request, std::move(run));
    this->releaseWorker();
    return answer;
}

bool Upstream::isShedding()
{
    const std::lock_guard lock(this->mutex);
    if (this->activeRequests >= this->options.connections) {
        return true;
    }
    return static_cast<int>(this->random() % percent) < this->options.shedPercent;
}

bool Upstream::acceptFence(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    const std::size_t split = text.rfind(' ');
    std::uint64_t epoch = 0;
    if (split == std::string::npos || !absl::SimpleAtoi(text.substr(split + 1), &epoch)) {
        return !this->options.checksGrants;
    }
    std::uint64_t &highest = this->highestEpochs[text.substr(0, split)];
    if (this->options.checksGrants && epoch < highest) {
        return false;
    }
    highest = std::max(highest, epoch);
    return true;
}

bool Upstream::acquireWorker(const HttpRequest &request, Time expires)
{
    std::unique_lock lock(this->mutex);
    ++this->activeRequests;
    const auto mustGiveUp = [&] { return hasExpired(expires) || request.isCallerDisconnected(); };
    while (this->busyWorkers >= this->options.workers && !mustGiveUp()) {
        this->changed.wait_for(lock, checkInterval);
    }
    if (mustGiveUp()) {
        --this->activeRequests;
        return false;
    }
    ++this->busyWorkers;
    return true;
}

void Upstream::releaseWorker()
{
    const std::lock_guard lock(this->mutex);
    --this->busyWorkers;
    --this->activeRequests;
    this->changed.notify_all();
}

// --- running

Run Upstream::describe(const HttpRequest &request) const
{
    Run run;
    const std::vector<std::string> segments = absl::StrSplit(request.path(), '/');
    run.service = segments.size() > 1 ? segments[1] : "";
    run.key = findField(request.fields, "Detector-Id")
                      .value_or(segments.size() > 2 ? segments[2] : "");
    run.token = request.query("token").value_or(findField(request.fields, "X-Token").value_or(""));
    run.attempt = request.queryInt("attempt", 0);
    run.requestId = findField(request.fields, "Idempotency-Key").value_or("");
    run.fence = findField(request.fields, "Kumquat-Fence").value_or("");
    run.start = readBootTime();
    return run;
}

HttpAnswer Upstream::run(const HttpRequest &request, Run run)
{
    nlohmann::json body{{"token", run.token}, {"key", run.key}, {"service", run.service}};
    const auto padding = static_cast<std::size_t>(request.queryInt("padding", 0));
    const Time expires = run.expires;
    const std::uint64_t number = this->runs.begin(std::move(run));
    if (findField(request.fields, "X-Crash")) {
        std::_Exit(exitStatusOfCrash);
    }
    Time end{};
    const RunResult result = this->work(request, expires, end);
    this->runs.end(number, result, end);
    if (result == RunResult::Expired) {
        std::this_thread::sleep_for(closeDelay);
    }
    if (result != RunResult::Done) {
        return HttpAnswer::lost();
    }
    body["padding"] = std::string(padding, 'x');
    HttpAnswer answer{200, {{"Content-Type", "application/json"}}, body.dump()};
    answer.isTruncated = findField(request.fields, "X-Cut-Answer").has_value();
    return answer;
}

RunResult Upstream::work(const HttpRequest &request, Time expires, Time &end)
{
    const Time due = readBootTime() + this->drawServiceTime();
    while (true) {
        end = readBootTime();
        if (expires > Time(0) && end >= expires) {
            end = expires;
            return RunResult::Expired;
        }
        if (request.isCallerDisconnected()) {
            return RunResult::Cancelled;
        }
        if (end >= due) {
            return RunResult::Done;
        }
        Duration step = std::min<Duration>(checkInterval, due - end);
        if (expires > Time(0)) {
            step = std::min<Duration>(step, expires - end);
        }
        std::this_thread::sleep_for(step);
    }
}

Duration Upstream::drawServiceTime()
{
    const std::lock_guard lock(this->mutex);
    const bool isCold = readBootTime() - this->startedAt < this->options.coldTime;
    const Duration mean = this->options.serviceTime * (isCold ? this->options.coldFactor : 1);
    // The service time is uniform between 0.5 and 1.5 times the mean.
    const auto share = static_cast<double>(this->random() % percent) / percent;
    return std::chrono::duration_cast<Duration>(mean * (0.5 + share));
}

// --- control

HttpAnswer Upstream::health() const
{
    const std::lock_guard lock(this->mutex);
    const nlohmann::json body{{"healthy", this->options.reportsHealthy},
                              {"load", this->options.reportedLoad}};
    return {this->options.reportsHealthy ? 200 : 503, {}, body.dump()};
}

HttpAnswer Upstream::control(const HttpRequest &request)
{
    const std::string path = request.path();
    if (path == "/control/ledger") {
        return {200, {{"Content-Type", "application/x-ndjson"}}, this->runs.format()};
    }
    if (path == "/control/crash") {
        std::_Exit(exitStatusOfCrash);
    }
    if (path != "/control/set") {
        return {404, {}, "unknown control"};
    }
    this->applyOptions(request);
    return {200, {}, "{}"};
}

void Upstream::applyOptions(const HttpRequest &request)
{
    const std::lock_guard lock(this->mutex);
    UpstreamOptions &current = this->options;
    const auto serviceMs =
            std::chrono::duration_cast<std::chrono::milliseconds>(current.serviceTime).count();
    current.serviceTime = std::chrono::milliseconds(request.queryInt("service_ms", serviceMs));
    current.workers = static_cast<int>(request.queryInt("workers", current.workers));
    current.slots = static_cast<int>(request.queryInt("slots", current.slots));
    current.shedPercent = static_cast<int>(request.queryInt("shed", current.shedPercent));
    current.isDraining = request.queryInt("draining", current.isDraining ? 1 : 0) != 0;
    current.reportsHealthy = request.queryInt("healthy", current.reportsHealthy ? 1 : 0) != 0;
    current.reportedLoad = static_cast<double>(request.queryInt("load_percent", 0)) / percent;
    this->changed.notify_all();
}

// --- announcement

std::string Upstream::announcement(std::uint16_t port) const
{
    const std::lock_guard lock(this->mutex);
    const nlohmann::json body{
            {"service", this->options.service},           {"port", port},
            {"checksGrants", this->options.checksGrants}, {"slots", this->options.slots},
            {"connections", this->options.connections},   {"draining", this->options.isDraining}};
    return body.dump();
}

void Upstream::waitForChange(Duration timeout)
{
    std::unique_lock lock(this->mutex);
    const bool wasDraining = this->options.isDraining;
    this->changed.wait_for(lock, timeout, [&] { return this->options.isDraining != wasDraining; });
}

} // namespace kumquat
