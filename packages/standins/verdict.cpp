// Sections: promises, gaps and latencies, shares, output.
#include "standins/verdict.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace kumquat {
namespace {

constexpr std::size_t exampleLimit = 20;
constexpr Duration faultGapWindow = 2s; // equals the recovery target after a loss
constexpr double p50Rank = 0.50;
constexpr double p99Rank = 0.99;

std::string nameKey(const std::string &service, const std::string &key)
{
    return absl::StrCat(service, "/", key);
}

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void addExample(Verdict &verdict, const std::string &text)
{
    if (verdict.examples.size() < exampleLimit) {
        verdict.examples.push_back(text);
    }
}

std::string describe(const Run &run)
{
    return absl::StrFormat("%s #%d %s token=%s id=%s attempt=%d fence='%s' %d..%d %s", run.upstream,
                           run.number, nameKey(run.service, run.key), run.token, run.requestId,
                           run.attempt, run.fence, run.start.count(), run.end.count(),
                           std::string(runResultNames.nameOf(run.result)));
}

// --- promises

void countAttempts(Verdict &verdict, const std::vector<Attempt> &attempts)
{
    for (const Attempt &attempt : attempts) {
        if (!attempt.error.empty()) {
            ++verdict.errors[attempt.error];
        }
        if (attempt.isAnswerWrong) {
            ++verdict.wrongAnswers;
            addExample(verdict, absl::StrCat("wrong answer: token=", attempt.token, " status=",
                                             attempt.httpStatus, " error=", attempt.error));
        }
        if (attempt.isProbe) {
            ++verdict.probes;
            continue;
        }
        if (attempt.number > 0) {
            ++verdict.repeats;
            continue;
        }
        ++verdict.sent;
        verdict.done += attempt.outcome == Outcome::Done ? 1 : 0;
        verdict.notRun += attempt.outcome == Outcome::NotRun ? 1 : 0;
        verdict.unknown += attempt.outcome == Outcome::Unknown ? 1 : 0;
    }
}

void checkOutcomes(Verdict &verdict, const std::vector<Attempt> &attempts,
                   const std::vector<Run> &runs)
{
    std::set<std::string> tokens;
    std::map<std::pair<std::string, std::int64_t>, const Run *> byAttempt;
    for (const Run &run : runs) {
        tokens.insert(run.token);
        byAttempt.emplace(std::pair(run.token, run.attempt), &run);
    }
    for (const Attempt &attempt : attempts) {
        const auto run = byAttempt.find({attempt.token, attempt.number});
        if (attempt.outcome == Outcome::NotRun && run != byAttempt.end()) {
            ++verdict.notRunButRan;
            addExample(verdict, absl::StrCat("reported as not run (", attempt.error,
                                             ") but ran: ", describe(*run->second)));
        }
        if (attempt.outcome == Outcome::Done && !tokens.contains(attempt.token)) {
            ++verdict.doneButMissing;
            addExample(verdict,
                       absl::StrCat("reported as done but in no ledger: token=", attempt.token));
        }
    }
}

void checkRunOnce(Verdict &verdict, const std::vector<Run> &runs)
{
    std::map<std::string, const Run *> first;
    std::set<std::string> twice;
    for (const Run &run : runs) {
        if (run.requestId.empty()) {
            continue;
        }
        const auto [entry, isNew] = first.emplace(run.requestId, &run);
        if (!isNew && twice.insert(run.requestId).second) {
            ++verdict.runTwice;
            addExample(verdict, absl::StrCat("run twice: ", describe(*entry->second), " and ",
                                             describe(run)));
        }
    }
}

std::map<std::string, std::vector<const Run *>> groupByKey(const std::vector<Run> &runs)
{
    std::map<std::string, std::vector<const Run *>> groups;
    for (const Run &run : runs) {
        groups[nameKey(run.service, run.key)].push_back(&run);
    }
    for (auto &[key, group] : groups) {
        std::sort(group.begin(), group.end(),
                  [](const Run *a, const Run *b) { return a->start < b->start; });
    }
    return groups;
}

// Compares each run with the earlier run that ended last at every other upstream.
void checkOverlaps(Verdict &verdict, const std::vector<const Run *> &group)
{
    std::map<std::string, const Run *> latest; // by upstream
    for (const Run *run : group) {
        for (const auto &[upstream, other] : latest) {
            if (upstream != run->upstream && other->end > run->start) {
                ++verdict.overlaps;
                addExample(verdict,
                           absl::StrCat("overlap: ", describe(*other), " and ", describe(*run)));
            }
        }
        const Run *&latestRun = latest[run->upstream];
        if (latestRun == nullptr || run->end > latestRun->end) {
            latestRun = run;
        }
    }
}

// --- gaps and latencies

void measureGaps(Verdict &verdict, const std::vector<Attempt> &attempts,
                 std::optional<Time> failedAt)
{
    std::map<std::string, std::vector<const Attempt *>> byKey;
    for (const Attempt &attempt : attempts) {
        if (attempt.number == 0 && (!failedAt || attempt.finished >= *failedAt)) {
            byKey[nameKey(attempt.service, attempt.key)].push_back(&attempt);
        }
    }
    for (auto &[key, group] : byKey) {
        std::sort(group.begin(), group.end(),
                  [](const Attempt *a, const Attempt *b) { return a->finished < b->finished; });
        std::optional<Time> gapStart;
        for (const Attempt *attempt : group) {
            if (attempt->outcome != Outcome::Done) {
                gapStart = gapStart.value_or(attempt->due);
                continue;
            }
            if (gapStart && attempt->finished - *gapStart > verdict.longestGap) {
                verdict.longestGap = attempt->finished - *gapStart;
                verdict.longestGapKey = key;
            }
            if (gapStart && failedAt && *gapStart <= *failedAt + faultGapWindow) {
                verdict.recoveryTime =
                        std::max(verdict.recoveryTime, attempt->finished - *failedAt);
            }
            gapStart.reset();
        }
        verdict.unrecoveredKeys += gapStart ? 1 : 0;
    }
}

void measureLatencies(Verdict &verdict, const std::vector<Attempt> &attempts)
{
    std::vector<Duration> latencies;
    for (const Attempt &attempt : attempts) {
        if (attempt.outcome == Outcome::Done && attempt.number == 0 && !attempt.isProbe) {
            latencies.push_back(attempt.finished - attempt.due);
        }
    }
    if (latencies.empty()) {
        return;
    }
    std::sort(latencies.begin(), latencies.end());
    const auto last = static_cast<double>(latencies.size() - 1);
    verdict.p50 = latencies[static_cast<std::size_t>(last * p50Rank)];
    verdict.p99 = latencies[static_cast<std::size_t>(last * p99Rank)];
}

// --- shares

void measureShares(Verdict &verdict, const Records &records)
{
    for (const auto &[service, upstreams] : records.upstreams) {
        for (const std::string &upstream : upstreams) {
            verdict.services[service].runs[upstream] = 0;
        }
    }
    for (const Run &run : records.runs) {
        ++verdict.services[run.service].runs[run.upstream];
    }
    for (auto &[service, share] : verdict.services) {
        std::uint64_t total = 0;
        std::uint64_t peak = 0;
        for (const auto &[upstream, count] : share.runs) {
            total += count;
            peak = std::max(peak, count);
        }
        const double mean = static_cast<double>(total) / static_cast<double>(share.runs.size());
        share.imbalance = total == 0 ? 0 : static_cast<double>(peak) / mean;
    }
}

void countMovedKeys(Verdict &verdict, const std::vector<const Run *> &group)
{
    std::set<std::string> upstreams;
    for (const Run *run : group) {
        upstreams.insert(run->upstream);
    }
    ++verdict.keys;
    verdict.movedKeys += upstreams.size() > 1 ? 1 : 0;
}

} // namespace

Verdict evaluate(const std::vector<Attempt> &attempts, const Records &records,
                 std::optional<Time> failedAt)
{
    const std::vector<Run> &runs = records.runs;
    Verdict verdict;
    verdict.runs = runs.size();
    countAttempts(verdict, attempts);
    checkOutcomes(verdict, attempts, runs);
    checkRunOnce(verdict, runs);
    for (const auto &[key, group] : groupByKey(runs)) {
        checkOverlaps(verdict, group);
        countMovedKeys(verdict, group);
    }
    measureGaps(verdict, attempts, failedAt);
    measureLatencies(verdict, attempts);
    measureShares(verdict, records);
    return verdict;
}

bool Verdict::meetsGuarantees() const
{
    return this->runTwice + this->notRunButRan + this->doneButMissing + this->overlaps
                   + this->wrongAnswers
           == 0;
}

// --- output

std::string Verdict::toText() const
{
    std::string text = absl::StrFormat(
            "requests sent                         %d\n"
            "  done                                %d\n"
            "  not run                             %d\n"
            "  unknown                             %d\n"
            "repeats of unknown writes             %d\n"
            "probes of keys that failed            %d\n"
            "runs in the ledgers                   %d\n"
            "run twice                             %d   (must be 0)\n"
            "reported not run, but ran             %d   (must be 0)\n"
            "reported done, but missing            %d   (must be 0)\n"
            "same key at two upstreams at a time   %d   (must be 0)\n"
            "wrong or incomplete answers           %d   (must be 0)\n"
            "longest time a key was not served     %.0f ms %s\n"
            "served again after the fault          %.0f ms\n"
            "keys not served again                 %d\n"
            "latency p50 / p99                     %.2f ms / %.2f ms\n"
            "keys that moved                       %d of %d\n",
            this->sent, this->done, this->notRun, this->unknown, this->repeats, this->probes,
            this->runs, this->runTwice, this->notRunButRan, this->doneButMissing, this->overlaps,
            this->wrongAnswers, toMs(this->longestGap), this->longestGapKey,
            toMs(this->recoveryTime), this->unrecoveredKeys, toMs(this->p50), toMs(this->p99),
            this->movedKeys, this->keys);
    for (const auto &[service, share] : this->services) {
        absl::StrAppendFormat(&text, "imbalance of %-24s %.2f  runs:", service, share.imbalance);
        for (const auto &[upstream, count] : share.runs) {
            absl::StrAppend(&text, " ", upstream, "=", count);
        }
        text += "\n";
    }
    for (const auto &[error, count] : this->errors) {
        absl::StrAppendFormat(&text, "error %-31s %d\n", error, count);
    }
    for (const std::string &example : this->examples) {
        absl::StrAppend(&text, "BROKEN: ", example, "\n");
    }
    return text;
}

std::string Verdict::toJson() const
{
    nlohmann::json shares = nlohmann::json::object();
    for (const auto &[service, share] : this->services) {
        shares[service] = {{"imbalance", share.imbalance}, {"runs", share.runs}};
    }
    const nlohmann::json json{{"sent", this->sent},
                              {"done", this->done},
                              {"notRun", this->notRun},
                              {"unknown", this->unknown},
                              {"repeats", this->repeats},
                              {"probes", this->probes},
                              {"errors", this->errors},
                              {"runs", this->runs},
                              {"runTwice", this->runTwice},
                              {"notRunButRan", this->notRunButRan},
                              {"doneButMissing", this->doneButMissing},
                              {"overlaps", this->overlaps},
                              {"wrongAnswers", this->wrongAnswers},
                              {"examples", this->examples},
                              {"longestGapMs", toMs(this->longestGap)},
                              {"longestGapKey", this->longestGapKey},
                              {"servedAgainMs", toMs(this->recoveryTime)},
                              {"keysNotServedAgain", this->unrecoveredKeys},
                              {"p50Ms", toMs(this->p50)},
                              {"p99Ms", toMs(this->p99)},
                              {"keys", this->keys},
                              {"movedKeys", this->movedKeys},
                              {"services", shares},
                              {"keepsPromises", this->meetsGuarantees()}};
    return json.dump(2) + "\n";
}

} // namespace kumquat
