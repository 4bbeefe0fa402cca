// Models the time that the runs of one upstream take, in steps of a millisecond and without a
// network, with a SpeedMeter that sees its runs.
#pragma once

#include "admission/speed_meter.h"
#include "base/durations.h"

#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <random>

namespace kumquat {

inline constexpr Duration modelStep = 1ms;

struct ModelRequest
{
    std::uint64_t route = 1;
    Duration work{}; // time that it takes alone at usual speed
    std::function<void(Duration took)> ended;
};

class UpstreamModel
{
public:
    explicit UpstreamModel(std::uint32_t announcedSlots, bool usesMeter = true)
        : slots(announcedSlots)
        , isMetered(usesMeter)
    {
        this->meter.reset(announcedSlots, Time{});
    }

    // Runs above `knee` slow each other down: n runs together take `contention` * (n - knee) / knee
    // times longer.
    void setContention(std::uint32_t newKnee, double newContention)
    {
        this->knee = newKnee;
        this->contention = newContention;
    }

    void add(ModelRequest request) { this->queue.push_back(std::move(request)); }

    void step(Time now)
    {
        if (now >= this->advanceAt) {
            this->meter.advance(now);
            this->advanceAt = now + 50ms;
        }
        const double rate = 1 / (this->slowness * this->congestion());
        for (auto run = this->runs.begin(); run != this->runs.end();) {
            run->left -= toSeconds(modelStep) * rate;
            if (run->left > 0) {
                ++run;
                continue;
            }
            const ModelRequest request = run->request;
            const Duration took = now - run->startedAt;
            this->meter.noteEnded(&*run, this->endOf ? this->endOf() : CallEnd::Answered,
                                  this->figures(), now);
            run = this->runs.erase(run);
            ++this->served;
            this->servedWork += toSeconds(request.work);
            if (request.ended) {
                request.ended(took);
            }
        }
        const std::uint32_t limit = this->isMetered ? this->meter.concurrencyLimit() : this->slots;
        while (this->runs.size() < limit && !this->queue.empty()) {
            ModelRequest request = std::move(this->queue.front());
            this->queue.pop_front();
            this->runs.push_back({.request = request, .left = toSeconds(request.work)});
            this->runs.back().startedAt = now;
            this->meter.noteStarted(&this->runs.back(), request.route, now);
        }
    }

    std::size_t inFlight() const { return this->runs.size() + this->queue.size(); }
    std::size_t waiting() const { return this->queue.size(); }

    SpeedMeter meter;
    std::uint32_t slots;
    double slowness = 1;       // of each run; 0.6 is fast
    bool sendsFigures = false; // X-Server-Load
    std::function<CallEnd()> endOf;
    std::size_t served = 0;
    double servedWork = 0; // seconds of work

private:
    struct Run
    {
        ModelRequest request;
        double left = 0; // seconds
        Time startedAt{};
    };

    double congestion() const
    {
        const double above = std::max(0.0, static_cast<double>(this->runs.size()) - this->knee);
        return this->knee == 0 ? 1 : 1 + this->contention * above / this->knee;
    }

    std::optional<UpstreamFigures> figures() const
    {
        if (!this->sendsFigures) {
            return std::nullopt;
        }
        constexpr double usual = 100;
        return UpstreamFigures{.running = static_cast<std::uint32_t>(this->runs.size()),
                               .slots = this->slots,
                               .speedPercent = static_cast<std::uint32_t>(usual * this->slowness)};
    }

    bool isMetered;
    std::uint32_t knee = 0; // 0: runs do not slow each other down
    double contention = 0;
    std::list<Run> runs; // addresses stay valid, they identify the runs
    std::deque<ModelRequest> queue;
    Time advanceAt{};
};

// Draws the work of requests: each between half and one and a half of the mean, with a tail of one
// in 50 that takes six times as long.
class WorkModel
{
public:
    explicit WorkModel(std::uint64_t seed)
        : random(seed)
    {}

    Duration draw(Duration mean)
    {
        const double share = std::uniform_real_distribution<>(0.5, 1.5)(this->random);
        const bool isTail = std::uniform_int_distribution<>(1, 50)(this->random) == 1;
        return fromSeconds(toSeconds(mean) * share * (isTail ? 6 : 1));
    }

    bool chance(double share) { return std::bernoulli_distribution(share)(this->random); }

private:
    std::mt19937_64 random;
};

} // namespace kumquat
