#include "stage/store_follower.h"

#include "base/durations.h"
#include "base/log.h"
#include "base/text.h"
#include "platform/configuration.h"

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

void StoreFollower::nudge(StoreTopic topic)
{
    Cursor &current = this->cursor(topic);
    const Time now = readBootTime();
    if (now - current.nudgedAt <= this->settings.longestRetry) {
        return;
    }
    current.nudgedAt = now;
    current.isDue = true;
    if (current.waiting) {
        current.waiting->cancel();
    }
}

void StoreFollower::advance(Time now)
{
    const Cursor &current = this->cursor(StoreTopic::Configuration);
    const Duration longest = this->settings.relayWait + this->settings.relayMargin;
    if (current.waiting && now - current.readAt >= longest && this->hooks.isRelay()) {
        this->nudge(StoreTopic::Configuration);
    }
}

bool StoreFollower::isLost() const
{
    return std::any_of(this->cursors.begin(), this->cursors.end(),
                       [](const Cursor &current) { return current.isLost; });
}

Duration StoreFollower::answerAge(StoreTopic topic, Time now) const
{
    return now - this->cursors[static_cast<std::size_t>(topic)].answeredAt;
}

void StoreFollower::follow(StoreTopic topic)
{
    this->readNewest(topic);
    this->hooks.freshRead(topic);
    Duration retry = this->settings.retryAfter;
    while (true) {
        if (!this->isReadDue(topic)) {
            sleepFor(this->thread.io(), this->settings.idleLook);
            continue;
        }
        const Time started = readBootTime();
        const Duration wait = this->waitOf(topic);
        this->cursor(topic).isDue = false;
        this->cursor(topic).readAt = started;
        const absl::Status status = this->readMore(topic, wait);
        if (absl::IsCancelled(status)) {
            continue; // by a nudge
        }
        this->noteResult(topic, status);
        if (status.ok()) {
            retry = this->settings.retryAfter;
            continue;
        }
        const Duration pause = retry - (readBootTime() - started);
        if (pause > Duration::zero()) {
            sleepFor(this->thread.io(), pause);
        }
        retry = std::min(2 * retry, this->settings.longestRetry);
    }
}

// Returns once it has succeeded.
void StoreFollower::readNewest(StoreTopic topic)
{
    Duration retry = this->settings.retryAfter;
    while (true) {
        const auto batch = this->store.readNewest(topic);
        this->noteResult(topic, batch.status());
        if (batch.ok()) {
            this->apply(topic, *batch);
            return;
        }
        sleepFor(this->thread.io(), retry);
        retry = std::min(2 * retry, this->settings.longestRetry);
    }
}

// Each host waits for the configuration itself: it is long, changes seldom and must be in force
// everywhere within seconds.
bool StoreFollower::isReadDue(StoreTopic topic)
{
    const Cursor &current = this->cursor(topic);
    return topic == StoreTopic::Configuration || this->hooks.isRelay() || current.isDue
           || current.isLost || readBootTime() - current.readAt >= this->settings.idleRead;
}

// A read that does not wait shows soon whether the store answers.
Duration StoreFollower::waitOf(StoreTopic topic)
{
    const Cursor &current = this->cursor(topic);
    const bool isRelay = this->hooks.isRelay();
    if (current.isDue || current.isLost) {
        return Duration::zero();
    }
    if (topic == StoreTopic::Configuration) {
        return isRelay ? this->settings.relayWait : this->settings.wait;
    }
    return isRelay ? this->settings.wait : Duration::zero();
}

absl::Status StoreFollower::readMore(StoreTopic topic, Duration wait)
{
    Cursor &current = this->cursor(topic);
    current.waiting = std::make_shared<HttpCallHandle>();
    const std::shared_ptr<HttpCallHandle> handle = current.waiting;
    const auto batch = this->store.readFrom(topic, current.end, wait, handle);
    current.waiting = nullptr;
    if (!batch.ok()) {
        return handle->isCancelled() ? absl::CancelledError() : batch.status();
    }
    if (batch->hasExpired) {
        logInfo(LogPart::Log, "records expired before they were read",
                {{"topic", std::string(storeTopicNames.nameOf(topic))},
                 {"from", std::to_string(current.end)}});
        this->readNewest(topic);
        return absl::OkStatus();
    }
    this->apply(topic, *batch);
    if (!batch->records.empty()) {
        this->pauseAfterRecords(topic);
    }
    return absl::OkStatus();
}

// Ends early when a read is asked for.
void StoreFollower::pauseAfterRecords(StoreTopic topic)
{
    const Time end = readBootTime() + this->hooks.pause();
    for (Time now = readBootTime(); now < end && !this->cursor(topic).isDue; now = readBootTime()) {
        sleepFor(this->thread.io(), std::min(end - now, this->settings.idleLook));
    }
}

void StoreFollower::apply(StoreTopic topic, const StoreBatch &batch)
{
    Cursor &current = this->cursor(topic);
    for (const StoreRecord &record : batch.records) {
        if (record.value.empty()) {
            continue; // the key was dropped
        }
        switch (topic) {
        case StoreTopic::Configuration: {
            auto configuration = platform::decodeConfiguration(record.value);
            if (configuration.ok()) {
                this->view.applyConfiguration(*std::move(configuration), record.value, "store");
            } else {
                logWarning(LogPart::Rules, "configuration ignored",
                           {{"source", "store"},
                            {"offset", std::to_string(record.offset)},
                            {"reason", std::string(toStd(configuration.status().message()))}});
            }
            break;
        }
        case StoreTopic::Hosts:
            this->view.applyHost(record.key, record.offset, record.value);
            break;
        case StoreTopic::Tables:
            this->view.applyTable(record.key, record.offset, record.value);
            break;
        }
    }
    current.end = std::max(current.end, batch.end);
    if (topic == StoreTopic::Hosts) {
        this->view.noteHostsEnd(current.end);
    } else if (topic == StoreTopic::Tables) {
        this->view.noteTablesEnd(current.end);
    }
}

void StoreFollower::noteResult(StoreTopic topic, const absl::Status &status)
{
    Cursor &current = this->cursor(topic);
    const Time now = readBootTime();
    const std::string ageMs = std::to_string(toMilliseconds(now - current.answeredAt));
    current.answeredAt = status.ok() ? now : current.answeredAt;
    if (current.isLost == !status.ok()) {
        return;
    }
    current.isLost = !status.ok();
    const std::string name(storeTopicNames.nameOf(topic));
    if (current.isLost) {
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

// Their waiting reads may have gone unanswered as well.
void StoreFollower::checkOtherTopics(StoreTopic lost)
{
    for (const auto &entry : storeTopicNames.entries) {
        if (entry.value != lost && this->cursor(entry.value).waiting) {
            this->nudge(entry.value);
        }
    }
}

} // namespace kumquat
