// Limits the bytes that callers can make a process hold. Bytes are charged before they are kept,
// and a charge returns them when it is destroyed.
//
//   ByteBudget budget({.capacity = 88'000'000});
//   ByteCharge charge(&budget);
//   if (!charge.tryResize(body.size() + more, now)) { ... refuse the request ... }
//
// Sections: settings, ByteBudget, ByteCharge, SharedBody.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace kumquat {

// ---- Settings ----

struct ByteBudgetSettings
{
    std::uint64_t capacity = 550'000'000;
    // Bytes that only small charges may use, so that large bodies can't keep out small requests.
    std::uint64_t reserve = 68'750'000;
    std::uint64_t smallBytes = 64ULL * 1024; // a charge up to this size is small
    // A holder that moved less than `progressBytes` for this long gives way to others. A body at
    // 32 kB/s would need longer than any caller waits.
    Duration stallLimit = 500ms;
    std::uint64_t progressBytes = 16ULL * 1024;
    // Bytes that must be kept may exceed the capacity by this much. Beyond it the process would
    // exceed the memory of its host and lose all requests, so holders are evicted before the
    // `stallLimit`.
    std::uint64_t overflow = 150'000'000;
};

// Splits the memory of a host. Bytes of requests and answers get 55 percent, answers of completed
// runs another 15 percent; the rest is for the program, its fibers and the allocator. The smallest
// host (160 MB) has room for one body of 67,108,864 bytes outside of the reserve.
// `memoryBytes`: 0 if unknown, then 1,000 MB.
ByteBudgetSettings byteBudgetSettings(std::uint64_t memoryBytes);

// ---- ByteBudget ----

class ByteCharge;

// Used on one thread. It must outlive its charges.
class ByteBudget
{
public:
    explicit ByteBudget(ByteBudgetSettings budgetSettings = {})
        : settings(budgetSettings)
    {}

    ByteBudget(const ByteBudget &) = delete;
    ByteBudget &operator=(const ByteBudget &) = delete;

    // Applies other limits. Bytes that are held already stay.
    void setSettings(ByteBudgetSettings newSettings) { this->settings = newSettings; }

    std::uint64_t held() const { return this->heldBytes; }
    std::uint64_t capacity() const { return this->settings.capacity; }
    std::uint64_t refusedCount() const { return this->refused; }
    std::uint64_t evictedCount() const { return this->evicted; }

private:
    friend class ByteCharge;

    bool hasRoom(std::uint64_t oldBytes, std::uint64_t newBytes) const;
    bool makeRoom(const ByteCharge &forCharge, std::uint64_t newBytes, Time now);
    void limitOverflow(const ByteCharge &forCharge, std::uint64_t newBytes);

    ByteBudgetSettings settings;
    std::uint64_t heldBytes = 0;
    std::uint64_t refused = 0;
    std::uint64_t evicted = 0;
    // Charges that may be evicted, the one whose last progress is oldest first.
    std::set<std::pair<Time, ByteCharge *>> evictable;
};

// ---- ByteCharge ----

// Bytes that one holder has charged. Without a budget it only counts them.
class ByteCharge
{
public:
    explicit ByteCharge(ByteBudget *chargedBudget = nullptr)
        : budget(chargedBudget)
    {}
    ~ByteCharge();

    ByteCharge(const ByteCharge &) = delete;
    ByteCharge &operator=(const ByteCharge &) = delete;

    // Changes the number of bytes. More bytes may evict stalled holders. Returns false, and changes
    // nothing, if there is no room.
    bool tryResize(std::uint64_t newBytes, Time now);

    // Returns whether tryResize would succeed now. May evict stalled holders.
    bool canHold(std::uint64_t newBytes, Time now);

    // Like tryResize, for bytes that must be kept: charges them even if there is no room. Beyond
    // the `overflow` of the budget others are evicted, those without progress for longest first.
    void resize(std::uint64_t newBytes, Time now);

    // Lets others evict this holder while it makes no progress. The hook must release the bytes
    // soon; they count as free at once. It is called at most once.
    void allowEviction(std::function<void()> hook, Time now);
    void forbidEviction();

    // Counts bytes that were received or sent.
    void noteProgress(std::uint64_t movedBytes, Time now);

    std::uint64_t bytes() const { return this->charged; }

private:
    friend class ByteBudget;

    void setBytes(std::uint64_t newBytes);
    void evict();

    ByteBudget *budget;
    std::uint64_t charged = 0;
    std::uint64_t moved = 0; // since lastProgress
    Time lastProgress{};
    std::function<void()> evictHook; // set while eviction is allowed
    bool isEvicted = false;
};

// ---- SharedBody ----

// The body of a message, with the charge for its bytes. Copies share the bytes.
class SharedBody
{
public:
    SharedBody() = default;
    SharedBody(std::string text, std::shared_ptr<ByteCharge> charge = nullptr) // NOLINT: converts
        : content(text.empty() ? nullptr
                               : std::make_shared<const Content>(
                                       Content{std::move(text), std::move(charge)}))
    {}
    SharedBody(std::string_view text) // NOLINT: converts
        : SharedBody(std::string(text))
    {}
    SharedBody(const char *text) // NOLINT: converts
        : SharedBody(std::string(text))
    {}

    std::string_view view() const
    {
        return this->content ? std::string_view(this->content->text) : std::string_view();
    }
    std::size_t size() const { return this->view().size(); }

private:
    struct Content
    {
        std::string text;
        std::shared_ptr<ByteCharge> charge;
    };

    std::shared_ptr<const Content> content;
};

} // namespace kumquat
