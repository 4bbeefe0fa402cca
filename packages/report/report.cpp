// Sections: counts, objectives, merge
#include "report/report.h"

#include <algorithm>
#include <numeric>

namespace kumquat {
namespace {

void addCounts(KindCounts &counts, const KindCounts &other)
{
    for (std::size_t index = 0; index < counts.size(); ++index) {
        counts[index] += other[index];
    }
}

LatencyQuantiles higherOf(const LatencyQuantiles &left, const LatencyQuantiles &right)
{
    return {std::max(left.p50, right.p50), std::max(left.p99, right.p99),
            std::max(left.p999, right.p999)};
}

void mergePrefix(std::vector<PrefixReport> &prefixes, const PrefixReport &other)
{
    const auto found = std::lower_bound(prefixes.begin(), prefixes.end(), other.prefix,
                                        [](const PrefixReport &entry, const std::string &prefix) {
                                            return entry.prefix < prefix;
                                        });
    if (found == prefixes.end() || found->prefix != other.prefix) {
        prefixes.insert(found, other);
        return;
    }
    addCounts(found->kinds, other.kinds);
    found->upstreamFailures += other.upstreamFailures;
    found->latencySum += other.latencySum;
    found->latency = higherOf(found->latency, other.latency);
}

void mergeObjective(std::vector<ObjectiveReport> &objectives, const ObjectiveReport &other)
{
    const auto found = std::find_if(
            objectives.begin(), objectives.end(),
            [&other](const ObjectiveReport &entry) { return entry.objective == other.objective; });
    if (found == objectives.end()) {
        objectives.push_back(other);
        return;
    }
    for (std::size_t index = 0; index < found->windows.size(); ++index) {
        found->windows[index].add(other.windows[index]);
    }
    for (std::size_t index = 0; index < found->aboveFor.size(); ++index) {
        found->aboveFor[index] = std::max(found->aboveFor[index], other.aboveFor[index]);
    }
}

} // namespace

// --- counts ---

std::string_view causeName(ErrorKind kind)
{
    return kind == ErrorKind::None ? "upstream-answer" : errorInfo(kind).name;
}

void WindowCounts::add(const WindowCounts &other)
{
    this->requests += other.requests;
    this->failed += other.failed;
    this->slow += other.slow;
    addCounts(this->causes, other.causes);
}

std::optional<ErrorKind> WindowCounts::largestCause() const
{
    const auto largest = std::max_element(this->causes.begin(), this->causes.end());
    if (*largest == 0) {
        return std::nullopt;
    }
    return static_cast<ErrorKind>(largest - this->causes.begin());
}

std::uint64_t PrefixReport::requests() const
{
    return std::accumulate(this->kinds.begin(), this->kinds.end(), std::uint64_t{0});
}

// --- objectives ---

double ObjectiveReport::burnRate(Measure measure, int window) const
{
    const WindowCounts &counts = this->windows.at(window);
    const bool isLatency = measure == Measure::Latency;
    const double bad = static_cast<double>(isLatency ? counts.slow : counts.failed);
    const double all =
            static_cast<double>(isLatency ? counts.requests - counts.failed : counts.requests);
    const double target = isLatency ? this->objective.latencyShare : this->objective.availability;
    return all == 0 ? 0 : bad / all / (1 - target);
}

std::optional<Duration> ObjectiveReport::burningFor(Measure measure) const
{
    if (this->burnRate(measure, 0) <= 1 || this->burnRate(measure, 1) <= 1) {
        return std::nullopt;
    }
    return this->aboveFor.at(static_cast<std::size_t>(measure));
}

std::string_view ObjectiveReport::largestCause(Measure measure) const
{
    const WindowCounts &counts = this->windows.front();
    if (measure == Measure::Latency) {
        return counts.slow == 0 ? "" : "slow answers";
    }
    const std::optional<ErrorKind> cause = counts.largestCause();
    return cause ? causeName(*cause) : "";
}

// --- merge ---

void Report::merge(const Report &other)
{
    for (const PrefixReport &entry : other.prefixes) {
        mergePrefix(this->prefixes, entry);
    }
    for (const ObjectiveReport &entry : other.objectives) {
        mergeObjective(this->objectives, entry);
    }
}

} // namespace kumquat
