// JSON with a check of every member: collects all faults by JSON path.
//
// Sections: text, checker
//
//   std::vector<std::string> faults;
//   JsonObject root(document, "", faults);
//   std::string node = root.takeString("node", "a name", isName);
//   root.reportUnknown();
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

using Json = nlohmann::json;
using Faults = std::vector<std::string>;

// --- text ---

// Parses JSON text. Adds a fault for a syntax error (then the result is discarded) and for each
// member that an object has twice.
Json parseJson(std::string_view text, Faults &faults);

// Returns a JSON path with one more member or index, "/" and "~" escaped as in RFC 6901.
std::string joinPath(const std::string &path, std::string_view member);

// --- checker ---

// A closed range of numbers.
struct NumberRange
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

// One object of the settings. Each take function reads one member; a member that is missing, has
// the wrong type or is out of range adds a fault and yields the fallback or an empty value.
class JsonObject
{
public:
    // A value that is no object adds a fault, and all members are then absent without a fault.
    JsonObject(const Json *value, std::string path, Faults &faults);

    // Returns a member of any type, or nullptr; a missing one adds a fault with what is expected.
    const Json *take(const std::string &member, std::string_view expected);

    // Returns a member of any type, or nullptr without a fault.
    const Json *takeOptional(const std::string &member);

    // Returns a string for which `allows` holds.
    std::string takeString(const std::string &member, std::string_view expected,
                           const std::function<bool(const std::string &)> &allows);

    // Returns an integer in the range. Without a fallback the member is required.
    std::int64_t takeInteger(const std::string &member, NumberRange range,
                             std::optional<std::int64_t> fallback);

    // Returns a number for which `allows` holds. Without a fallback the member is required.
    double takeNumber(const std::string &member, std::string_view expected,
                      const std::function<bool(double)> &allows, std::optional<double> fallback);

    // Returns a boolean.
    bool takeBool(const std::string &member, bool fallback);

    // Adds a fault for each member that no take function has named.
    void reportUnknown();

    // Adds "PATH/member: what; expected ...".
    void fault(std::string_view member, std::string_view what, std::string_view expected);

    const std::string &path() const { return this->ownPath; }

private:
    const Json *value = nullptr; // an object, or nullptr
    std::string ownPath;
    Faults *faults = nullptr;
    std::set<std::string> known; // members named so far
};

} // namespace kumquat
