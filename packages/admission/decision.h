// Decides for each request whether a host's upstream may run it now, later, or not at all. The
// parts that measure something (cold upstreams, links, calls, places) only provide figures; this
// module alone weighs them, at the host that received the request from its caller and again at the
// host of the upstream.
//
//   const Verdict verdict = decide(work, figures);
//   if (verdict.action != AdmissionAction::Run) { ... refuse, with verdict.retryAfter ... }
//
// Sections: names, inputs, verdicts, decide.
#pragma once

#include "base/names.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// ---- Names ----

// Why a request is not run. Values are sent between processes and must not change.
enum class AdmissionReason : std::uint8_t {
    None = 0,
    RegionNotAllowed = 1, // the route may not be served in the region of the upstream
    Evacuated = 2,        // the operator has evacuated the data centre of the upstream
    ColdUpstream = 3,     // a cold upstream has had all requests that it tolerates for now
    LinkFull = 4,         // the answer would wait behind other bytes for too long
    CallsRefused = 5,     // the service that the request will call refuses calls
    MemoryFull = 6,       // the process holds as many bytes for callers as it may
};

inline constexpr NameTable<AdmissionReason, 7> admissionReasonNames{
        {{{AdmissionReason::None, "none"},
          {AdmissionReason::RegionNotAllowed, "region-not-allowed"},
          {AdmissionReason::Evacuated, "evacuated"},
          {AdmissionReason::ColdUpstream, "upstream-cold"},
          {AdmissionReason::LinkFull, "link-full"},
          {AdmissionReason::CallsRefused, "calls-refused"},
          {AdmissionReason::MemoryFull, "memory-full"}}}};

enum class AdmissionAction : std::uint8_t {
    Run,
    Elsewhere, // not here, but another upstream may run it
    Refuse,    // nowhere for now: the caller is told when to come back
};

inline constexpr NameTable<AdmissionAction, 3> admissionActionNames{
        {{{AdmissionAction::Run, "run"},
          {AdmissionAction::Elsewhere, "elsewhere"},
          {AdmissionAction::Refuse, "refuse"}}}};

// ---- Inputs ----

// What is known about a request.
struct WorkFacts
{
    const std::vector<std::string> *allowedRegions = nullptr; // empty or null: all regions
    bool hasKey = false; // only the owner of the key can run it
    bool isCall = false; // a running request waits for it
    // Time until its caller no longer needs the answer.
    Duration remaining{};
};

// What is known about an upstream and its host. A default value puts no limit on the request.
struct AdmissionFigures
{
    std::string region;
    bool isEvacuated = false;
    Duration coldWait{};   // until a cold upstream takes a further request; 0: now, or not cold
    Duration linkWait{};   // until the host's link could send the answer
    Duration callsWait{};  // until the service that the request calls is expected to accept calls
    Duration memoryWait{}; // until the host is expected to have room for the request
};

// ---- Verdicts ----

struct Verdict
{
    AdmissionAction action = AdmissionAction::Run;
    AdmissionReason reason = AdmissionReason::None;
    Duration retryAfter{}; // time until the reason is expected to be gone; 0: unknown

    bool operator==(const Verdict &) const = default;
};

// ---- decide ----

struct DecisionSettings
{
    // A place or an evacuation lasts until the operator changes it, so callers are told to come
    // back after about the time in which a new configuration arrives everywhere.
    Duration placeRetry = 2s;
    // An answer may wait this long for the link: less than the tenth of the strictest objective
    // for a large answer.
    Duration maxLinkWait = 150ms;
    // Calls are not held back by a link that only large answers fill.
    Duration maxCallLinkWait = 400ms;
};

bool isRegionAllowed(const std::vector<std::string> &allowedRegions, std::string_view region);

Verdict decide(const WorkFacts &work, const AdmissionFigures &figures,
               const DecisionSettings &settings = {});

} // namespace kumquat
