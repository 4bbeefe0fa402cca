// Measures the limits of an endpoint in virtual time or, with --memory, the bytes per remembered
// request id: bench_limits [--json] [--seed N] [--variant NAME] [--memory]
#include "base/hash.h"
#include "traffic/journal.h"
#include "traffic/limits_model.h"
#include "traffic/request_memory.h"

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace kumquat;

constexpr std::uint64_t defaultSeed = 20261204;

void printHeader()
{
    std::cout << std::left << std::setw(19) << "scenario" << std::setw(17) << "variant"
              << std::right << std::setw(9) << "requests" << std::setw(9) << "useful%"
              << std::setw(9) << "p50 ms" << std::setw(10) << "p99 ms" << std::setw(8) << "late%"
              << std::setw(10) << "refused%" << std::setw(10) << "retries" << std::setw(9)
              << "unsafe" << std::setw(12) << "normal in s" << '\n';
}

void printRow(const LimitFigures &figures)
{
    std::cout << std::left << std::setw(19) << limitScenarioNames.nameOf(figures.scenario)
              << std::setw(17) << limitVariantNames.nameOf(figures.variant) << std::right
              << std::fixed << std::setprecision(1) << std::setw(9) << figures.requests
              << std::setw(9) << figures.usefulShare * 100 << std::setw(9) << figures.p50Ms
              << std::setw(10) << figures.p99Ms << std::setprecision(2) << std::setw(8)
              << figures.lateShare * 100 << std::setw(10) << figures.refusedShare * 100
              << std::setw(10) << figures.retries << std::setw(9) << figures.unsafeRetries
              << std::setw(12);
    if (figures.recoverySeconds < 0) {
        std::cout << "over 15" << '\n';
    } else {
        std::cout << figures.recoverySeconds << '\n';
    }
}

void printJson(const LimitFigures &figures, bool first)
{
    std::cout << (first ? "[\n" : ",\n") << R"(  {"scenario": ")"
              << limitScenarioNames.nameOf(figures.scenario) << R"(", "variant": ")"
              << limitVariantNames.nameOf(figures.variant) << R"(", "requests": )"
              << figures.requests << R"(, "useful_share": )" << figures.usefulShare
              << R"(, "p50_ms": )" << figures.p50Ms << R"(, "p99_ms": )" << figures.p99Ms
              << R"(, "late_share": )" << figures.lateShare << R"(, "refused_share": )"
              << figures.refusedShare << R"(, "retries": )" << figures.retries
              << R"(, "unsafe_retries": )" << figures.unsafeRetries << R"(, "recovery_seconds": )"
              << figures.recoverySeconds << "}";
}

// ---- memory ----

constexpr std::size_t peerCount = 3;

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

RequestId makeId(std::size_t index)
{
    return {0x0190'0000'0000'7000 + index, hashPair(index, 1)};
}

struct MemoryFigures
{
    double memory = 0;         // bytes in a RequestMemory without answers
    double memoryAnswered = 0; // bytes with answers of 256 bytes and one header
    double writer = 0;         // bytes in a JournalWriter
    double store = 0;          // bytes in the JournalStore of one peer
};

double measureRequestMemory(std::size_t ids, bool answered)
{
    const double before = heapBytes();
    RequestMemory memory;
    for (std::size_t index = 0; index < ids; ++index) {
        memory.begin(makeId(index), index, 1s);
        std::optional<StoredAnswer> answer;
        if (answered) {
            answer = StoredAnswer{200, {{"Content-Type", "text/plain"}}, std::string(256, 'a')};
        }
        memory.finish(makeId(index), std::move(answer), 1s);
    }
    return heapBytes() - before;
}

// Writes ids in batches of 16 to three peers that acknowledge at once.
void measureJournal(std::size_t ids, MemoryFigures &figures)
{
    constexpr std::size_t batch = 16;
    const double before = heapBytes();
    auto writer = std::make_unique<JournalWriter>(1);
    auto stores = std::make_unique<std::map<std::string, JournalStore>>();
    JournalPeerSet set;
    Time now = 1s;
    for (std::size_t peer = 0; peer < peerCount; ++peer) {
        set.peers.push_back("n" + std::to_string(peer));
        stores->emplace(set.peers.back(), JournalStore(5));
    }
    writer->setPeerSets({set}, now);
    for (const std::string &peer : set.peers) {
        writer->notePeer(peer, 5, now);
    }
    const auto deliver = [&] {
        for (JournalOutput out = writer->takeOutput(); !out.messages.empty();
             out = writer->takeOutput()) {
            for (const JournalMessage &sent : out.messages) {
                const auto ack = stores->at(sent.to).accept(sent.message.journal_write(), now);
                if (ack) {
                    writer->acknowledge(sent.to, *ack, now);
                }
            }
        }
    };
    deliver();
    for (std::size_t index = 0; index < ids; index += batch) {
        std::vector<JournalId> written;
        for (std::size_t number = index; number < index + batch; ++number) {
            written.push_back({makeId(number), number});
        }
        writer->write(written, now + 1s, now);
        deliver();
        now += 1ms;
        writer->advance(now);
        deliver();
    }
    const double withAll = heapBytes();
    const std::size_t kept = stores->begin()->second.size();
    if (writer->size() < ids || kept < ids) {
        std::cerr << "only " << writer->size() << " and " << kept << " ids were kept\n";
    }
    stores.reset();
    const double withWriter = heapBytes();
    writer.reset();
    figures.store = (withAll - withWriter) / static_cast<double>(peerCount);
    figures.writer = withWriter - before;
}

MemoryFigures measureMemory(std::size_t ids)
{
    MemoryFigures figures;
    figures.memory = measureRequestMemory(ids, false);
    figures.memoryAnswered = measureRequestMemory(ids, true);
    measureJournal(ids, figures);
    return figures;
}

// Prints bytes per id as the slope between two sizes. At both sizes a hash table has the same load
// factor, and the stored answers stay below the limit of RequestMemory.
void printMemory()
{
    constexpr std::size_t smallCount = 80'000;
    constexpr std::size_t largeCount = 160'000;
    const MemoryFigures low = measureMemory(smallCount);
    const MemoryFigures high = measureMemory(largeCount);
    const auto print = [](const char *name, double from, double to) {
        std::cout << std::left << std::setw(34) << name << std::right << std::fixed
                  << std::setprecision(1) << std::setw(8)
                  << (to - from) / static_cast<double>(largeCount - smallCount)
                  << " bytes per id\n";
    };
    print("request memory", low.memory, high.memory);
    print("request memory, answers of 256 B", low.memoryAnswered, high.memoryAnswered);
    print("journal writer", low.writer, high.writer);
    print("journal store, one peer", low.store, high.store);
}

} // namespace

int main(int argc, char **argv)
{
    bool json = false;
    std::uint64_t seed = defaultSeed;
    std::optional<LimitVariant> only;
    for (int index = 1; index < argc; ++index) {
        const std::string word = argv[index];
        if (word == "--json") {
            json = true;
        } else if (word == "--memory") {
            printMemory();
            return 0;
        } else if (word == "--seed" && index + 1 < argc) {
            seed = std::strtoull(argv[++index], nullptr, 10);
        } else if (word == "--variant" && index + 1 < argc
                   && limitVariantNames.valueOf(argv[index + 1])) {
            only = limitVariantNames.valueOf(argv[++index]);
        } else {
            std::cerr << "usage: bench_limits [--json] [--seed N] [--variant NAME] [--memory]\n";
            return 2;
        }
    }
    if (!json) {
        printHeader();
    }
    bool first = true;
    for (const auto &scenario : limitScenarioNames.entries) {
        for (const auto &variant : limitVariantNames.entries) {
            if (only && *only != variant.value) {
                continue;
            }
            const LimitFigures figures = runLimitModel(scenario.value, variant.value, seed);
            if (json) {
                printJson(figures, first);
            } else {
                printRow(figures);
            }
            first = false;
        }
    }
    if (json) {
        std::cout << "\n]\n";
    }
    return 0;
}
