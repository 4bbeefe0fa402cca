// Plays a fleet of uneven upstreams with the real HostPicker and SpeedMeter, and compares the work
// that is served with that at fixed slots. Time passes in steps; nothing is sent.
#include "admission/tests/upstream_model.h"
#include "routing/host_picker.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace kumquat;

namespace {

constexpr std::uint32_t slots = 12;
constexpr Duration limit = 800ms; // later answers are of no use to their callers
constexpr Duration reportInterval = 400ms;
constexpr std::size_t maxWaiting = 6; // requests that an upstream's host queues
constexpr double serviceWeight = 0.05;

struct Member
{
    std::string node;
    std::unique_ptr<UpstreamModel> upstream;
    double serviceSeconds = 0;
    Time reportedAt{};
};

class Fleet
{
public:
    Fleet(bool usesMeter, std::uint64_t seed)
        : isMetered(usesMeter)
        , work(seed)
    {}

    UpstreamModel &add(double slowness)
    {
        Member &member = this->members.emplace_back();
        member.node = "n" + std::to_string(this->members.size());
        member.upstream = std::make_unique<UpstreamModel>(slots, this->isMetered);
        member.upstream->slowness = slowness;
        member.upstream->sendsFigures = true;
        this->candidates.push_back({.node = member.node, .distance = HostDistance::SameDataCentre});
        return *member.upstream;
    }

    // Sends `perSecond` requests: three of four are cheap (20 ms), the others expensive (100 ms).
    void run(Duration length, double perSecond)
    {
        const Time until = this->now + length;
        for (; this->now < until; this->now += modelStep) {
            this->due += perSecond * toSeconds(modelStep);
            for (; this->due >= 1; this->due -= 1) {
                this->send();
            }
            for (Member &member : this->members) {
                member.upstream->step(this->now);
                this->report(member);
            }
        }
    }

    double inTime = 0; // seconds of work that were answered in time
    std::vector<Member> members;

private:
    void send()
    {
        const auto node = this->picker.pick(this->candidates, this->now);
        Member &member = *std::find_if(this->members.begin(), this->members.end(),
                                       [&](const Member &one) { return one.node == *node; });
        const bool isCheap = this->work.chance(0.75);
        const Duration duration = this->work.draw(isCheap ? 20ms : 100ms);
        if (member.upstream->waiting() >= maxWaiting) {
            return; // refused
        }
        this->picker.noteSent(member.node);
        const Time sentAt = this->now;
        member.upstream->add({.route = isCheap ? 1U : 2U,
                              .work = duration,
                              .ended = [this, &member, duration, sentAt](Duration took) {
                                  this->picker.noteEnd(member.node, CallEnd::Answered, this->now);
                                  const double seconds = toSeconds(took);
                                  member.serviceSeconds +=
                                          (member.serviceSeconds == 0 ? 1 : serviceWeight)
                                          * (seconds - member.serviceSeconds);
                                  this->inTime +=
                                          this->now - sentAt <= limit ? toSeconds(duration) : 0;
                              }});
    }

    void report(Member &member)
    {
        if (this->now - member.reportedAt < reportInterval) {
            return;
        }
        member.reportedAt = this->now;
        const SpeedMeter &meter = member.upstream->meter;
        const double seconds =
                this->isMetered ? meter.reportedServiceSeconds(member.serviceSeconds, this->now)
                                : member.serviceSeconds;
        this->picker.noteLoad(member.node,
                              {.inFlight = static_cast<std::uint32_t>(member.upstream->inFlight()),
                               .slots = slots,
                               .serviceSeconds = seconds,
                               .usableSlots = this->isMetered ? meter.usableSlots() : 0},
                              this->now);
    }

    bool isMetered;
    WorkModel work;
    HostPicker picker;
    std::vector<HostCandidate> candidates;
    double due = 0;
    Time now = 100s;
};

// Returns the work served in time with learned slots divided by that with fixed slots.
double gainOf(const std::function<double(Fleet &fleet)> &play)
{
    double learned = 0;
    double fixed = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet metered(true, seed);
        learned += play(metered);
        Fleet plain(false, seed);
        fixed += play(plain);
    }
    return learned / fixed;
}

} // namespace

// Load: more than four upstreams of speeds 0.6 to 1.6 can serve, whose throughput grows up to their
// slots. Guards against learning that costs work where there is nothing to learn.
TEST_CASE("a fleet of growing upstreams serves as much as with fixed slots", "[speed-load]")
{
    const double gain = gainOf([](Fleet &fleet) {
        for (const double slowness : {0.6, 0.9, 1.2, 1.6}) {
            fleet.add(slowness);
        }
        fleet.run(5s, 500);
        fleet.run(25s, 2000);
        for (const Member &member : fleet.members) {
            CHECK(member.upstream->meter.usableSlots() == slots);
        }
        return fleet.inTime;
    });
    INFO("gain " << gain);
    CHECK(gain > 0.98);
}

// Load: more than four upstreams of speeds 0.6 to 1.6 can serve, two of which slow down beyond half
// of their slots. Guards against requests that slow down each other.
TEST_CASE("a fleet with contention serves more than with fixed slots", "[speed-load]")
{
    const double gain = gainOf([](Fleet &fleet) {
        for (const double slowness : {0.6, 1.6, 0.9, 1.2}) {
            UpstreamModel &upstream = fleet.add(slowness);
            if (fleet.members.size() <= 2) {
                upstream.setContention(slots / 2, 3);
            }
        }
        fleet.run(5s, 500);
        fleet.run(25s, 2000);
        return fleet.inTime;
    });
    INFO("gain " << gain);
    CHECK(gain > 1.1);
}

// Load: four upstreams at two thirds of their capacity; one becomes ten times slower for six
// seconds. Guards against work that stays at a slow upstream, or away from it once it has
// recovered, for more than two seconds. Which of equal upstreams gets most varies from play to
// play, so work is compared over all plays.
TEST_CASE("work leaves a slow upstream and returns to it within two seconds", "[speed-load]")
{
    double allUsual = 0;
    double allSlow = 0;
    double allBack = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(true, seed);
        for (int i = 0; i < 4; ++i) {
            fleet.add(1);
        }
        UpstreamModel &upstream = *fleet.members.front().upstream;
        constexpr double perSecond = 700;
        const auto servedIn = [&](Duration length) {
            const std::size_t before = upstream.served;
            fleet.run(length, perSecond);
            return static_cast<double>(upstream.served - before) / toSeconds(length);
        };
        fleet.run(3s, perSecond);
        const double usual = servedIn(3s);
        upstream.slowness = 10;
        fleet.run(2s, perSecond);
        const double slow = servedIn(4s);
        upstream.slowness = 1;
        fleet.run(2s, perSecond);
        const double back = servedIn(3s);
        allUsual += usual;
        allBack += back;
        allSlow += slow;
    }
    INFO("usual " << allUsual << " slow " << allSlow << " back " << allBack);
    CHECK(allSlow < 0.1 * allUsual);
    CHECK(allBack > 0.9 * allUsual);
}
