#include "net/byte_budget.h"

namespace kumquat {

ByteBudgetSettings byteBudgetSettings(std::uint64_t memoryBytes)
{
    constexpr std::uint64_t assumedMemory = 1'000'000'000;
    constexpr std::uint64_t capacityPercent = 55;
    constexpr std::uint64_t overflowPercent = 15;
    constexpr std::uint64_t wholePercent = 100;
    constexpr std::uint64_t reserveDivisor = 8;
    const std::uint64_t memory = memoryBytes > 0 ? memoryBytes : assumedMemory;
    ByteBudgetSettings settings;
    settings.capacity = memory / wholePercent * capacityPercent;
    settings.reserve = settings.capacity / reserveDivisor;
    settings.overflow = memory / wholePercent * overflowPercent;
    return settings;
}

// ---- ByteBudget ----

bool ByteBudget::hasRoom(std::uint64_t oldBytes, std::uint64_t newBytes) const
{
    const bool isSmall = newBytes <= this->settings.smallBytes;
    const std::uint64_t usable = this->settings.capacity - (isSmall ? 0 : this->settings.reserve);
    return this->heldBytes - oldBytes + newBytes <= usable;
}

// Evicts stalled holders until the bytes fit. Returns false if too few could be evicted.
bool ByteBudget::makeRoom(const ByteCharge &forCharge, std::uint64_t newBytes, Time now)
{
    auto next = this->evictable.begin();
    while (!this->hasRoom(forCharge.charged, newBytes)) {
        if (next == this->evictable.end() || now - next->first < this->settings.stallLimit) {
            return false;
        }
        ByteCharge *victim = next->second;
        if (victim == &forCharge) {
            ++next;
            continue;
        }
        victim->evict();
        next = this->evictable.begin(); // the hook may have changed the set
    }
    return true;
}

// Evicts holders, the one without progress for longest first, until the bytes exceed the capacity
// by no more than the overflow or no other holder is left.
void ByteBudget::limitOverflow(const ByteCharge &forCharge, std::uint64_t newBytes)
{
    const std::uint64_t limit = this->settings.capacity + this->settings.overflow;
    auto next = this->evictable.begin();
    while (this->heldBytes - forCharge.charged + newBytes > limit
           && next != this->evictable.end()) {
        ByteCharge *victim = next->second;
        if (victim == &forCharge) {
            ++next;
            continue;
        }
        victim->evict();
        next = this->evictable.begin(); // the hook may have changed the set
    }
}

// ---- ByteCharge ----

ByteCharge::~ByteCharge()
{
    this->forbidEviction();
    if (this->budget != nullptr) {
        this->budget->heldBytes -= this->charged;
    }
}

bool ByteCharge::canHold(std::uint64_t newBytes, Time now)
{
    if (newBytes <= this->charged) {
        return true;
    }
    if (this->isEvicted) {
        return false; // its bytes are promised to another holder
    }
    return this->budget == nullptr || this->budget->makeRoom(*this, newBytes, now);
}

void ByteCharge::setBytes(std::uint64_t newBytes)
{
    if (this->budget != nullptr) {
        this->budget->heldBytes += newBytes - this->charged;
    }
    this->charged = newBytes;
}

bool ByteCharge::tryResize(std::uint64_t newBytes, Time now)
{
    const bool fits = this->canHold(newBytes, now);
    if (fits) {
        this->setBytes(newBytes);
    } else if (this->budget != nullptr && !this->isEvicted) {
        ++this->budget->refused;
    }
    return fits;
}

void ByteCharge::resize(std::uint64_t newBytes, Time now)
{
    if (!this->canHold(newBytes, now) && this->budget != nullptr) {
        this->budget->limitOverflow(*this, newBytes);
    }
    this->setBytes(newBytes);
}

void ByteCharge::allowEviction(std::function<void()> hook, Time now)
{
    this->forbidEviction();
    this->evictHook = std::move(hook);
    this->lastProgress = now;
    this->moved = 0;
    if (this->budget != nullptr) {
        this->budget->evictable.emplace(now, this);
    }
}

void ByteCharge::forbidEviction()
{
    if (this->budget != nullptr && this->evictHook) {
        this->budget->evictable.erase({this->lastProgress, this});
    }
    this->evictHook = nullptr;
}

void ByteCharge::noteProgress(std::uint64_t movedBytes, Time now)
{
    this->moved += movedBytes;
    if (this->budget == nullptr || !this->evictHook
        || this->moved < this->budget->settings.progressBytes) {
        return;
    }
    this->budget->evictable.erase({this->lastProgress, this});
    this->lastProgress = now;
    this->moved = 0;
    this->budget->evictable.emplace(now, this);
}

void ByteCharge::evict()
{
    const std::function<void()> hook = this->evictHook;
    this->forbidEviction();
    this->isEvicted = true;
    ++this->budget->evicted;
    this->setBytes(0);
    hook();
}

} // namespace kumquat
