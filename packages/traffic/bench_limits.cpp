// Measures the limits of an endpoint in virtual time: bench_limits [--json] [--seed N] [--variant
// NAME]
#include "traffic/limits_model.h"

#include <cstdlib>
#include <iomanip>
#include <iostream>
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
        } else if (word == "--seed" && index + 1 < argc) {
            seed = std::strtoull(argv[++index], nullptr, 10);
        } else if (word == "--variant" && index + 1 < argc
                   && limitVariantNames.valueOf(argv[index + 1])) {
            only = limitVariantNames.valueOf(argv[++index]);
        } else {
            std::cerr << "usage: bench_limits [--json] [--seed N] [--variant NAME]\n";
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
