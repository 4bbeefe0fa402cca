#include "standins/log_store.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration pollInterval = 100ms; // between checks whether a reader has disconnected
constexpr Duration maxHangTime = 60s;
constexpr Duration maxRateWait = 2s;

} // namespace

LogStore::LogStore(const LogStoreLimits &initialLimits)
    : currentLimits(initialLimits)
{}

OutageMode LogStore::modeFor(const std::string &node) const
{
    if (!node.empty() && this->cutNodes.contains(node)) {
        return OutageMode::Hang;
    }
    return this->outage;
}

bool LogStore::waitWhileHanging(Lock &lock, const std::string &node,
                                const std::function<bool()> &isDisconnected)
{
    const Time deadline = readBootTime() + maxHangTime;
    while (this->modeFor(node) == OutageMode::Hang) {
        if (readBootTime() >= deadline || (isDisconnected && isDisconnected())) {
            return false;
        }
        this->changed.wait_for(lock, pollInterval);
    }
    return true;
}

bool LogStore::waitForAppendRate(Lock &lock)
{
    const Time now = readBootTime();
    const auto interval = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1.0 / this->currentLimits.appendRate));
    const Time due = std::max(this->nextWrite, now);
    if (due - now > maxRateWait) {
        return false;
    }
    this->nextWrite = due + interval;
    const Duration wait = due - now + this->appendDelay;
    if (wait > Duration::zero()) {
        lock.unlock();
        std::this_thread::sleep_for(wait);
        lock.lock();
    }
    return true;
}

AppendResult LogStore::append(std::string record, const std::string &node)
{
    Lock lock(this->mutex);
    // A hanging append is not written, because the service was down when it arrived.
    if (this->modeFor(node) == OutageMode::Hang) {
        this->waitWhileHanging(lock, node, nullptr);
        return {AppendStatus::Closed, 0};
    }
    const bool mayWrite = this->outage == OutageMode::None && this->waitForAppendRate(lock);
    if (this->outage == OutageMode::Close) {
        return {AppendStatus::Closed, 0};
    }
    if (!mayWrite || this->outage != OutageMode::None) {
        ++this->totals.refused;
        return {AppendStatus::Refused, 0};
    }
    const Time now = readBootTime();
    const std::uint64_t offset = this->firstKept + this->entries.size();
    this->entries.push_back({std::move(record), now});
    ++this->totals.appends;
    this->expire(now);
    this->changed.notify_all();
    if (this->repliesToLose > 0) {
        --this->repliesToLose;
        ++this->totals.lostReplies;
        return {AppendStatus::ReplyLost, offset};
    }
    return {AppendStatus::Written, offset};
}

ReadResult LogStore::read(std::uint64_t from, std::size_t limit, Duration wait,
                          const std::string &node, const std::function<bool()> &isDisconnected)
{
    Lock lock(this->mutex);
    ++this->totals.reads;
    const Time deadline = readBootTime() + wait;
    const auto hasRecord = [&] { return from < this->firstKept + this->entries.size(); };
    while (this->outage == OutageMode::None && !hasRecord() && readBootTime() < deadline) {
        if (isDisconnected && isDisconnected()) {
            return {ReadStatus::Closed, 0, 0, 0, {}};
        }
        this->changed.wait_for(lock, std::min(pollInterval, deadline - readBootTime()));
    }
    if (!this->waitWhileHanging(lock, node, isDisconnected) || this->outage == OutageMode::Close) {
        return {ReadStatus::Closed, 0, 0, 0, {}};
    }
    if (this->outage != OutageMode::None) {
        return {ReadStatus::Refused, 0, 0, 0, {}};
    }
    this->expire(readBootTime());
    ReadResult result{
            ReadStatus::Done, this->firstKept, this->firstKept + this->entries.size(), 0, {}};
    result.from = std::clamp(from, result.firstKept, result.end);
    const std::size_t count = std::min<std::size_t>(limit, result.end - result.from);
    for (std::size_t index = 0; index < count; ++index) {
        result.records.push_back(this->entries[result.from - result.firstKept + index].record);
    }
    if (this->readDelay > Duration::zero()) {
        const Duration delay = this->readDelay;
        lock.unlock();
        std::this_thread::sleep_for(delay);
    }
    return result;
}

void LogStore::expire(Time now)
{
    const auto isExpired = [&](const Entry &entry) {
        const Duration retention = this->currentLimits.retention;
        return retention > Duration::zero() && now - entry.appendedAt > retention;
    };
    while (this->entries.size() > this->currentLimits.retainedRecords
           || (!this->entries.empty() && isExpired(this->entries.front()))) {
        this->entries.pop_front();
        ++this->firstKept;
    }
}

void LogStore::setOutage(OutageMode mode)
{
    const std::lock_guard lock(this->mutex);
    this->outage = mode;
    this->changed.notify_all();
}

void LogStore::setDelay(Duration append, Duration read)
{
    const std::lock_guard lock(this->mutex);
    this->appendDelay = append;
    this->readDelay = read;
}

void LogStore::loseReplies(int count)
{
    const std::lock_guard lock(this->mutex);
    this->repliesToLose = count;
}

void LogStore::setCut(const std::string &node, bool isCut)
{
    const std::lock_guard lock(this->mutex);
    if (isCut) {
        this->cutNodes.insert(node);
    } else {
        this->cutNodes.erase(node);
    }
    this->changed.notify_all();
}

void LogStore::setLimits(const LogStoreLimits &newLimits)
{
    const std::lock_guard lock(this->mutex);
    this->currentLimits = newLimits;
    this->expire(readBootTime());
}

LogStoreLimits LogStore::limits() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentLimits;
}

LogStoreCounts LogStore::counts() const
{
    const std::lock_guard lock(this->mutex);
    LogStoreCounts result = this->totals;
    result.firstKept = this->firstKept;
    result.end = this->firstKept + this->entries.size();
    return result;
}

} // namespace kumquat
