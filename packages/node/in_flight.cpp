#include "node/in_flight.h"

#include <algorithm>

namespace kumquat {

RequestNumber InFlight::add(const std::string &service, std::uint64_t keyHash)
{
    const std::lock_guard lock(this->mutex);
    this->entries.emplace(++this->lastNumber, Entry{service, keyHash, Time{}, false});
    return this->lastNumber;
}

void InFlight::setExpiry(RequestNumber number, Time expires)
{
    const std::lock_guard lock(this->mutex);
    this->entries.at(number).expires = expires;
}

void InFlight::end(RequestNumber number, bool mayStillRun)
{
    const std::lock_guard lock(this->mutex);
    if (mayStillRun) {
        this->entries.at(number).ended = true;
    } else {
        this->entries.erase(number);
    }
}

bool InFlight::has(const SlotKeys &keys, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->dropExpired(now);
    return std::any_of(this->entries.begin(), this->entries.end(), [&](const auto &entry) {
        return entry.second.service == keys.service && keys.contains(entry.second.keyHash);
    });
}

bool InFlight::hasAny(const std::string &service, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->dropExpired(now);
    return std::any_of(this->entries.begin(), this->entries.end(), [&](const auto &entry) {
        return service.empty() || entry.second.service == service;
    });
}

std::size_t InFlight::count() const
{
    const std::lock_guard lock(this->mutex);
    return this->entries.size();
}

void InFlight::dropExpired(Time now)
{
    std::erase_if(this->entries, [now](const auto &entry) {
        return entry.second.ended && entry.second.expires <= now;
    });
}

} // namespace kumquat
