#include "net/log_client.h"

#include "base/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>

namespace kumquat {
namespace {

constexpr std::uint64_t maxBatchBytes = 64ULL << 20;
constexpr Duration appendLimit = 1s;

long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Returns 50 % to 150 % of the delay, so that many processes do not retry at the same time.
Duration addJitter(Duration delay)
{
    thread_local std::minstd_rand random(std::random_device{}());
    std::uniform_int_distribution<long long> distribution(delay.count() / 2, delay.count() * 3 / 2);
    return Duration(distribution(random));
}

} // namespace

LogClient::LogClient(FiberThread &clientThread, LogClientSettings clientSettings,
                     LogClientHooks clientHooks)
    : thread(clientThread)
    , settings(std::move(clientSettings))
    , hooks(std::move(clientHooks))
{
    for (const Address &address : this->settings.addresses) {
        const HttpClientLimits limits{.maxIdle = 4, .maxBodyBytes = maxBatchBytes};
        this->readers.push_back(std::make_unique<HttpClient>(this->thread.io(), address, limits));
    }
}

void LogClient::startReading(std::uint64_t from)
{
    this->next = from;
    this->thread.spawn([this] { this->readForever(); });
}

void LogClient::append(const wire::LogRecord &record)
{
    HttpRequest request;
    request.method = "POST";
    request.target = absl::StrCat("/append?node=", this->settings.node);
    request.body = record.SerializeAsString();
    ++this->appendCount;
    this->thread.spawn([this, request = std::move(request)] {
        const auto answer = this->reader().call(request, appendLimit);
        if (!answer.ok() || answer->status != 200) {
            ++this->appendFailures;
            logWarning(LogPart::Log, "append failed",
                       {{"reason", answer.ok() ? absl::StrCat("status ", answer->status)
                                               : std::string(answer.status().message())}});
        }
    });
}

void LogClient::readForever()
{
    Duration delay = this->settings.minRetryDelay;
    while (true) {
        if (this->readOnce()) {
            delay = this->settings.minRetryDelay;
            this->setAnswering(true);
            continue;
        }
        this->setAnswering(false);
        this->current = (this->current + 1) % this->readers.size();
        sleepFor(this->thread.io(), addJitter(delay));
        delay = std::min(delay * 2, this->settings.maxRetryDelay);
    }
}

bool LogClient::readOnce()
{
    const Time requestedAt = readBootTime();
    // Until the end of the log has been reached, and after a failure, the service must answer at
    // once: this process, and restarted peers, wait for the result.
    const Duration wait =
            this->hasReachedEnd && this->answering ? this->settings.pollWait : Duration::zero();
    HttpRequest request;
    request.target =
            absl::StrCat("/records?from=", this->next, "&limit=", this->settings.recordsPerRead,
                         "&wait_ms=", toMilliseconds(wait), "&node=", this->settings.node);
    const auto answer = this->reader().call(request, wait + this->settings.answerLimit);
    wire::LogBatch batch;
    if (!answer.ok() || answer->status != 200 || !batch.ParseFromString(answer->body)) {
        return false;
    }
    this->deliver(batch, requestedAt);
    return true;
}

void LogClient::deliver(const wire::LogBatch &batch, Time requestedAt)
{
    if (batch.first_kept() > this->next) {
        this->next = batch.first_kept();
        this->hooks.skipGap(batch.first_kept());
    }
    std::uint64_t offset = batch.from();
    for (const std::string &bytes : batch.records()) {
        const std::uint64_t recordOffset = offset++;
        if (recordOffset < this->next) {
            continue;
        }
        this->next = recordOffset + 1;
        wire::LogRecord record;
        if (!record.ParseFromString(bytes)) {
            // All processes skip a record that cannot be parsed, so they all reach the same state.
            logWarning(LogPart::Log, "record cannot be parsed",
                       {{"offset", absl::StrCat(recordOffset)}});
            record.Clear();
        }
        this->hooks.receive(recordOffset, std::move(record));
        if (this->next != recordOffset + 1) {
            return; // the hook called readFrom, so the next read starts at its offset
        }
    }
    if (this->next >= batch.end()) {
        this->hasReachedEnd = true;
        this->hooks.reachEnd(batch.end(), requestedAt);
    }
}

void LogClient::setAnswering(bool isAnswering)
{
    if (this->hasReported && isAnswering == this->answering) {
        return;
    }
    this->hasReported = true;
    this->answering = isAnswering;
    if (isAnswering) {
        logInfo(LogPart::Log, "log service answers",
                {{"address", this->reader().address().toString()}});
    } else {
        logWarning(LogPart::Log, "log service does not answer",
                   {{"address", this->reader().address().toString()}});
    }
    this->hooks.reportAnswering(isAnswering);
}

} // namespace kumquat
