// The time of day of a machine steps back after its endpoint has started. Then the process of the
// machine is killed while keys move to another endpoint. See claim.txt.
#include "deployment.h"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr auto clockStep = 2000ms; // x of `clock_step`
constexpr double allowedMs = 500;  // "for over half a second"
constexpr int attempts = 4;
constexpr auto killAfter = 200ms;    // from the return of the other endpoint
constexpr auto restartAfter = 200ms; // the platform starts the process again

struct Holding
{
    std::string endpoint;
    std::uint32_t first;
    std::uint32_t last;
    std::uint64_t fence;
    double from;
    double until;
};

// What the endpoints hold, from their own sight.
class Ledger
{
public:
    explicit Ledger(Record &eventRecord)
        : record(eventRecord)
    {}

    void grant(const std::string &endpoint, const GrantEvent &grant)
    {
        const std::lock_guard lock(this->mutex);
        const double now = this->record.now();
        const double until = now + static_cast<double>(grant.hold.count());
        for (Holding &holding : this->holdings) {
            if (holding.endpoint == endpoint && holding.first == grant.first
                && holding.last == grant.last && holding.fence == grant.fence
                && holding.until >= now) {
                holding.until = std::max(holding.until, until);
                return;
            }
        }
        this->record.write("granted: " + std::to_string(grant.first) + "-"
                           + std::to_string(grant.last) + " fence " + std::to_string(grant.fence)
                           + " to " + endpoint);
        this->holdings.push_back({endpoint, grant.first, grant.last, grant.fence, now, until});
    }

    void release(const std::string &endpoint, const GrantEvent &released)
    {
        const std::lock_guard lock(this->mutex);
        const double now = this->record.now();
        std::vector<Holding> rest;
        for (Holding &holding : this->holdings) {
            const bool isAffected = holding.endpoint == endpoint && holding.until > now
                                    && holding.fence <= released.fence
                                    && holding.first <= released.last
                                    && released.first <= holding.last;
            if (!isAffected) {
                continue;
            }
            if (holding.first < released.first) {
                rest.push_back(holding);
                rest.back().last = released.first - 1;
            }
            if (holding.last > released.last) {
                rest.push_back(holding);
                rest.back().first = released.last + 1;
            }
            holding.first = std::max(holding.first, released.first);
            holding.last = std::min(holding.last, released.last);
            holding.until = now;
        }
        this->holdings.insert(this->holdings.end(), rest.begin(), rest.end());
        if (released.fence != UINT64_MAX) {
            this->record.write("released: " + std::to_string(released.first) + "-"
                               + std::to_string(released.last) + " by " + endpoint);
        }
    }

    // Returns the longest time for which two endpoints held the same keys.
    double longestOverlap()
    {
        const std::lock_guard lock(this->mutex);
        double longest = 0;
        for (const Holding &a : this->holdings) {
            for (const Holding &b : this->holdings) {
                const double time = std::min(a.until, b.until) - std::max(a.from, b.from);
                if (a.endpoint < b.endpoint && a.first <= b.last && b.first <= a.last
                    && time > allowedMs) {
                    this->record.write("OWNER: keys " + std::to_string(std::max(a.first, b.first))
                                       + "-" + std::to_string(std::min(a.last, b.last))
                                       + " held by " + a.endpoint + " (fence "
                                       + std::to_string(a.fence) + ") and " + b.endpoint
                                       + " (fence " + std::to_string(b.fence) + ") from "
                                       + formatMs(std::max(a.from, b.from)) + " to "
                                       + formatMs(std::min(a.until, b.until)));
                }
                if (a.endpoint < b.endpoint && a.first <= b.last && b.first <= a.last) {
                    longest = std::max(longest, time);
                }
            }
        }
        return longest;
    }

private:
    Record &record;
    std::mutex mutex;
    std::vector<Holding> holdings;
};

bool waitUntil(const std::function<bool()> &isTrue, Clock::duration limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (isTrue()) {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

} // namespace

int main()
{
    Record record("review/6/record.txt");
    const bool trouble = hasTrouble();
    Ledger ledger(record);
    Deployment system(
            {.hosts = {{"testlog", "a"}, {"testlog", "b"}, {"certdesk", "a"}, {"certdesk", "b"}},
             .services = {{.name = "testlog"}, {.name = "certdesk", .isSharded = false}},
             .routes = {{.prefix = "/v/", .service = "testlog"}},
             .granted = [&](const std::string &endpoint,
                            const GrantEvent &grant) { ledger.grant(endpoint, grant); },
             .released = [&](const std::string &endpoint,
                             const GrantEvent &released) { ledger.release(endpoint, released); }},
            record);
    if (!system.waitUntilServing(30s)) {
        record.write("the system did not start to serve");
        return couldNotRun;
    }
    Host &machine = system.host(0);
    Host &other = system.host(1);
    const auto holdsAll = [&](const Host &host) {
        for (std::uint32_t key = 0; key < 65'536; key += 512) {
            if (!host.endpoint->holds(key)) {
                return false;
            }
        }
        return true;
    };
    int tried = 0;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        record.write("attempt " + std::to_string(attempt + 1));
        system.endEndpoint(other); // down for some seconds
        if (!waitUntil([&] { return holdsAll(machine); }, 12s)) {
            record.write("the keys did not move");
            return couldNotRun;
        }
        system.endEndpoint(machine); // down for a moment
        std::this_thread::sleep_for(100ms);
        const double bornAt = record.now();
        system.startEndpoint(machine, trouble ? clockStep : 0ms);
        const bool hasAll = waitUntil([&] { return holdsAll(machine); }, 6s);
        record.write("the new instance holds all keys after " + formatMs(record.now() - bornAt)
                     + " ms" + (hasAll ? "" : " (no)"));
        system.startEndpoint(other);
        std::this_thread::sleep_for(killAfter);
        system.signal(machine, SIGKILL);
        waitUntil([&] { return system.takeExit(machine).has_value(); }, 2s);
        std::this_thread::sleep_for(restartAfter);
        system.start(machine);
        record.write("process back " + formatMs(record.now() - bornAt)
                     + " ms after the start of the endpoint");
        ++tried;
        std::this_thread::sleep_for(6s);
        if (!system.waitUntilServing(20s)) {
            record.write("the system did not serve again");
            break;
        }
    }
    const double longest = ledger.longestOverlap();
    record.write("attempts: " + std::to_string(tried)
                 + "; longest time for which two endpoints held "
                 + "the same keys: " + formatMs(longest) + " ms");
    return longest > allowedMs ? ruleBroken : ruleHeld;
}
