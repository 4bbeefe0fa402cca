#include "admission/link_meter.h"

#include "base/durations.h"

#include <algorithm>

namespace kumquat {

void LinkMeter::Backlog::add(bool isLarge, double bytes)
{
    double &sum = isLarge ? this->large : this->brief;
    sum = std::max(0.0, sum + bytes);
}

void LinkMeter::setRate(double bytesPerSecond)
{
    if (bytesPerSecond <= 0 && this->isActive()) {
        *this = LinkMeter(this->settings);
    }
    this->linkRate = std::max(0.0, bytesPerSecond);
}

void LinkMeter::reserve(RequestId request, const AnswerKind &kind, Time now)
{
    if (!this->isActive() || this->reservations.contains(request)) {
        return;
    }
    this->drain(now);
    const double bytes = this->expectedBytes(kind);
    this->reservations[request] = {.kind = kind, .bytes = bytes, .at = now};
    this->reserved.add(kind.isLarge, bytes);
    this->admitted.add(kind.isLarge, bytes);
}

void LinkMeter::complete(RequestId request, std::size_t bytes, Time now)
{
    const auto found = this->reservations.find(request);
    if (found == this->reservations.end()) {
        return;
    }
    const Reservation reservation = found->second;
    this->reservations.erase(found);
    this->drain(now);
    const bool isLarge = reservation.kind.isLarge;
    const auto size = static_cast<double>(bytes);
    this->reserved.add(isLarge, -reservation.bytes);
    this->admitted.add(isLarge, size - reservation.bytes);
    this->sent.add(isLarge, size);
    if (bytes > 0) {
        this->learn(reservation, size, now);
    }
}

void LinkMeter::learn(const Reservation &reservation, double bytes, Time now)
{
    const std::uint64_t route = reservation.kind.route;
    if (this->sizes.size() >= this->settings.maxRoutes && !this->sizes.contains(route)) {
        this->sizes.clear(); // drops removed routes; the others are learned again
    }
    const auto [entry, isNew] = this->sizes.try_emplace(route, bytes);
    double &mean = entry->second;
    if (!isNew) {
        mean += (bytes > mean ? this->settings.riseWeight : this->settings.fallWeight)
                * (bytes - mean);
    }
    const Duration sample = now - reservation.at;
    Duration &known = this->runTime(reservation.kind.isLarge);
    known = known == Duration::zero()
                    ? sample
                    : known + fromSeconds(this->settings.runTimeWeight * toSeconds(sample - known));
}

double LinkMeter::expectedBytes(const AnswerKind &kind) const
{
    const auto found = this->sizes.find(kind.route);
    if (found != this->sizes.end()) {
        return found->second;
    }
    return kind.isLarge ? this->settings.unknownLargeBytes : this->settings.unknownShortBytes;
}

Duration LinkMeter::wait(const AnswerKind &kind, Time now) const
{
    if (!this->isActive()) {
        return Duration::zero();
    }
    const Duration known = kind.isLarge ? this->largeRunTime : this->shortRunTime;
    Backlog outstanding = this->drained(this->sent, now);
    outstanding.add(true, this->reserved.large);
    outstanding.add(false, this->reserved.brief);
    const Duration behindRunning = this->waitBehind(outstanding, kind.isLarge)
                                   - std::min(known, this->settings.maxRunTime);
    const Duration behindAdmitted =
            this->waitBehind(this->drained(this->admitted, now), kind.isLarge);
    return std::max({behindRunning, behindAdmitted, Duration::zero()});
}

Duration LinkMeter::waitBehind(const Backlog &backlog, bool isLarge) const
{
    if (isLarge) {
        return fromSeconds(std::max(backlog.large / this->largeRate(),
                                    (backlog.large + backlog.brief) / this->usableRate()));
    }
    return fromSeconds(backlog.brief / this->usableRate());
}

Duration LinkMeter::sendTime(const AnswerKind &kind) const
{
    if (!this->isActive()) {
        return Duration::zero();
    }
    const double rate = kind.isLarge ? this->largeRate() : this->usableRate();
    return fromSeconds(this->expectedBytes(kind) / rate);
}

double LinkMeter::owedBytes(Time now) const
{
    const Backlog left = this->drained(this->sent, now);
    return left.large + left.brief;
}

LinkMeter::Backlog LinkMeter::drained(Backlog backlog, Time now) const
{
    const double seconds = toSeconds(std::max(now - this->drainedAt, Duration::zero()));
    const double briefSent = std::min(backlog.brief, seconds * this->usableRate());
    backlog.add(false, -briefSent);
    backlog.add(true,
                -std::min(seconds * this->largeRate(), seconds * this->usableRate() - briefSent));
    return backlog;
}

void LinkMeter::drain(Time now)
{
    this->admitted = this->drained(this->admitted, now);
    this->sent = this->drained(this->sent, now);
    this->drainedAt = std::max(this->drainedAt, now);
}

} // namespace kumquat
