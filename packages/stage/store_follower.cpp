#include "stage/store_follower.h"

#include "base/containment.h"
#include "base/durations.h"
#include "base/errors.h"
#include "base/log.h"
#include "base/text.h"
#include "platform/configuration.h"
#include "platform/operator_key.h"

#include <algorithm>

namespace kumquat {

using platform::StoreBatch;
using platform::StoreRecord;
using platform::StoreTopic;
using platform::storeTopicNames;

StoreFollower::StoreFollower(FiberThread &followerThread, platform::StoreClient &storeClient,
                             ClusterView &clusterView, FollowerHooks followerHooks,
                             FollowerSettings followerSettings)
    : thread(followerThread)
    , store(storeClient)
    , view(clusterView)
    , hooks(std::move(followerHooks))
    , settings(followerSettings)
{}

StoreFollower::Cursor &StoreFollower::cursor(StoreTopic topic)
{
    return this->cursors[static_cast<std::size_t>(topic)];
}

void StoreFollower::start()
{
    for (const auto &entry : storeTopicNames.entries) {
        this->thread.spawn([this, topic = entry.value] { this->follow(topic); });
    }
}

void StoreFollower::requestRead(StoreTopic topic)
{
    Cursor &current = this->cursor(topic);
    const Time now = readBootTime();
    if (now - current.readRequestedAt <= this->settings.maxRetryDelay) {
        return;
    }
    current.readRequestedAt = now;
    current.isReadRequested = true;
    if (current.waiting) {
        current.waiting->cancel();
    }
}

void StoreFollower::advance(Time now)
{
    for (const auto &entry : storeTopicNames.entries) {
        const Cursor &current = this->cursor(entry.value);
        const Duration maxAge = this->relayWait(entry.value) + this->settings.relayWaitMargin;
        if (current.waiting && now - current.readAt >= maxAge && this->hooks.isRelay()) {
            this->requestRead(entry.value);
        }
    }
}

bool StoreFollower::isStoreLost() const
{
    return std::any_of(this->cursors.begin(), this->cursors.end(),
                       [](const Cursor &current) { return current.hasFailed; });
}

Duration StoreFollower::answerAge(StoreTopic topic, Time now) const
{
    return now - this->cursors[static_cast<std::size_t>(topic)].answeredAt;
}

void StoreFollower::follow(StoreTopic topic)
{
    this->readNewest(topic);
    this->hooks.freshRead(topic);
    Duration retry = this->settings.retryDelay;
    while (true) {
        if (!this->isReadDue(topic)) {
            sleepFor(this->thread.io(), this->settings.idleCheckInterval);
            continue;
        }
        const Time started = readBootTime();
        const Duration wait = this->waitTime(topic);
        this->cursor(topic).isReadRequested = false;
        this->cursor(topic).readAt = started;
        absl::Status status = makeError(ErrorKind::LogUnavailable, "the read failed");
        runContained(ContainedWork::StoreRead, [&] { status = this->readMore(topic, wait); });
        if (absl::IsCancelled(status)) {
            continue; // cancelled by requestRead()
        }
        this->noteResult(topic, status);
        if (status.ok()) {
            retry = this->settings.retryDelay;
            continue;
        }
        const Duration pause = retry - (readBootTime() - started);
        if (pause > Duration::zero()) {
            sleepFor(this->thread.io(), pause);
        }
        retry = std::min(2 * retry, this->settings.maxRetryDelay);
    }
}

// Reads the newest records; retries until it succeeds.
void StoreFollower::readNewest(StoreTopic topic)
{
    Duration retry = this->settings.retryDelay;
    while (true) {
        const Time askedAt = readBootTime();
        absl::Status status = makeError(ErrorKind::LogUnavailable, "the read failed");
        runContained(ContainedWork::StoreRead, [&] {
            const auto batch = this->store.readNewest(topic);
            if (batch.ok()) {
                this->noteResult(topic, batch.status());
                if (topic == StoreTopic::Configuration) {
                    this->applyNewestEvacuations(*batch);
                }
                this->apply(topic, *batch);
                this->hooks.caughtUp(topic, askedAt, batch->era);
            }
            status = batch.status();
        });
        if (status.ok()) {
            return;
        }
        this->noteResult(topic, status);
        sleepFor(this->thread.io(), retry);
        retry = std::min(2 * retry, this->settings.maxRetryDelay);
    }
}

// Every host waits for the configuration itself, not only the relays: the configuration is large,
// changes rarely and must be in force everywhere within seconds.
bool StoreFollower::isReadDue(StoreTopic topic)
{
    const Cursor &current = this->cursor(topic);
    return topic == StoreTopic::Configuration || this->hooks.isRelay() || current.isReadRequested
           || current.hasFailed
           || readBootTime() - current.readAt >= this->settings.idleReadInterval;
}

// Returns how long the next read waits for new records. A read that does not wait shows quickly
// whether the store answers.
Duration StoreFollower::waitTime(StoreTopic topic)
{
    const Cursor &current = this->cursor(topic);
    if (current.isReadRequested || current.hasFailed) {
        return Duration::zero();
    }
    if (this->hooks.isRelay()) {
        return this->relayWait(topic);
    }
    return topic == StoreTopic::Configuration ? this->settings.maxWait : Duration::zero();
}

Duration StoreFollower::relayWait(StoreTopic topic) const
{
    switch (topic) {
    case StoreTopic::Configuration:
        return this->settings.relayMaxWait;
    case StoreTopic::Tables:
        return this->settings.relayTableWait;
    default:
        return this->settings.maxWait;
    }
}

absl::Status StoreFollower::readMore(StoreTopic topic, Duration wait)
{
    Cursor &current = this->cursor(topic);
    current.waiting = std::make_shared<HttpCallHandle>();
    const std::shared_ptr<HttpCallHandle> handle = current.waiting;
    const Time askedAt = readBootTime();
    const auto batch = this->store.readFrom(topic, current.end, wait, handle);
    current.waiting = nullptr;
    if (!batch.ok()) {
        return handle->isCancelled() ? absl::CancelledError() : batch.status();
    }
    if (batch->hasExpired) {
        logInfo(LogPart::Log, "records expired before they were read",
                {{"topic", std::string(storeTopicNames.nameOf(topic))},
                 {"era", std::to_string(batch->era)},
                 {"from", std::to_string(current.end)}});
        this->readNewest(topic);
        return absl::OkStatus();
    }
    this->apply(topic, *batch);
    if (batch->isComplete) {
        this->hooks.caughtUp(topic, askedAt, batch->era);
    }
    if (!batch->records.empty()) {
        this->pauseAfterRecords(topic);
    }
    return absl::OkStatus();
}

// Ends early when a read is requested.
void StoreFollower::pauseAfterRecords(StoreTopic topic)
{
    const Time end = readBootTime() + this->hooks.pause();
    for (Time now = readBootTime(); now < end && !this->cursor(topic).isReadRequested;
         now = readBootTime()) {
        sleepFor(this->thread.io(), std::min(end - now, this->settings.idleCheckInterval));
    }
}

void StoreFollower::apply(StoreTopic topic, const StoreBatch &batch)
{
    Cursor &current = this->cursor(topic);
    for (const StoreRecord &record : batch.records) {
        if (topic == StoreTopic::Configuration) {
            this->applyOperatorRecord(record);
        } else if (record.value.empty()) {
            continue; // the key was deleted
        } else if (topic == StoreTopic::Hosts) {
            this->view.applyHost(record.key, record.offset, record.value);
        } else {
            this->view.applyTable(record.key, record.offset, record.value);
        }
    }
    current.end = std::max(current.end, batch.end);
    if (topic == StoreTopic::Configuration) {
        this->view.evacuations().noteEnd(current.end);
    } else if (topic == StoreTopic::Hosts) {
        this->view.noteHostsEnd(current.end);
    } else if (topic == StoreTopic::Tables) {
        this->view.noteTablesEnd(current.end);
    }
}

void StoreFollower::applyOperatorRecord(const StoreRecord &record)
{
    const platform::OperatorKey key = platform::decodeOperatorKey(record.key);
    switch (key.kind) {
    case platform::OperatorRecord::Configuration:
        if (!record.value.empty()) { // a deleted configuration stays in force
            this->applyConfiguration(record);
        }
        break;
    case platform::OperatorRecord::Evacuation:
        this->view.evacuations().apply(
                {.dataCentre = key.dataCentre, .offset = record.offset, .value = record.value},
                "store");
        break;
    case platform::OperatorRecord::Other:
        logWarning(LogPart::Log, "record of the operator ignored because its key is unknown",
                   {{"key", record.key}, {"offset", std::to_string(record.offset)}});
        break;
    }
}

// `newest`: the newest records of all keys. A key that is missing there has been deleted.
void StoreFollower::applyNewestEvacuations(const StoreBatch &newest)
{
    std::vector<EvacuationRecord> records;
    for (const StoreRecord &record : newest.records) {
        const platform::OperatorKey key = platform::decodeOperatorKey(record.key);
        if (key.kind == platform::OperatorRecord::Evacuation) {
            records.push_back(
                    {.dataCentre = key.dataCentre, .offset = record.offset, .value = record.value});
        }
    }
    this->view.evacuations().applyAll(records, newest.end, "store");
}

void StoreFollower::applyConfiguration(const StoreRecord &record)
{
    auto configuration = platform::decodeConfiguration(record.value);
    if (configuration.ok()) {
        this->view.applyConfiguration(*std::move(configuration), record.value, "store");
    } else {
        logWarning(LogPart::Rules, "invalid configuration ignored",
                   {{"source", "store"},
                    {"offset", std::to_string(record.offset)},
                    {"reason", std::string(toStd(configuration.status().message()))}});
    }
}

void StoreFollower::noteResult(StoreTopic topic, const absl::Status &status)
{
    Cursor &current = this->cursor(topic);
    const Time now = readBootTime();
    const std::string ageMs = std::to_string(toMilliseconds(now - current.answeredAt));
    current.answeredAt = status.ok() ? now : current.answeredAt;
    if (current.hasFailed == !status.ok()) {
        return;
    }
    current.hasFailed = !status.ok();
    const std::string name(storeTopicNames.nameOf(topic));
    if (current.hasFailed) {
        logWarning(LogPart::Log, "store lost",
                   {{"topic", name},
                    {"ageMs", ageMs},
                    {"reason", std::string(toStd(status.message()))}});
        this->checkOtherTopics(topic);
    } else {
        logInfo(LogPart::Log, "store regained",
                {{"topic", name}, {"ageMs", ageMs}, {"end", std::to_string(current.end)}});
    }
}

// Restarts the waiting reads of the other topics, which may hang as well.
void StoreFollower::checkOtherTopics(StoreTopic failed)
{
    for (const auto &entry : storeTopicNames.entries) {
        if (entry.value != failed && this->cursor(entry.value).waiting) {
            this->requestRead(entry.value);
        }
    }
}

} // namespace kumquat
