// Parsing of JSON with a check of every member. All faults are collected, each with its JSON path.
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

// Parses JSON text. Adds a fault for each duplicate member of an object. After a syntax error, that
// error is the only fault and the result is a discarded value.
Json parseJson(std::string_view text, Faults &faults);

// Appends a member or index to a JSON path. "/" and "~" are escaped as in RFC 6901.
std::string joinPath(const std::string &path, std::string_view member);

// --- checker ---

// A range of numbers, including both limits.
struct NumberRange
{
    std::int64_t min = 0;
    std::int64_t max = 0;
};

// Reads one object of the settings. Each take function reads one member. If the member is missing,
// has the wrong type or is out of range, the function adds a fault and returns the fallback or an
// empty value.
class JsonObject
{
public:
    // A value that is not an object adds a fault; its members then count as absent and add no
    // further faults. nullptr stands for an absent object and adds no fault.
    JsonObject(const Json *value, std::string path, Faults &faults);

    // Returns a member of any type. A missing member adds a fault with the expected value, and
    // nullptr is returned.
    const Json *take(const std::string &member, std::string_view expected);

    // Returns a member of any type, or nullptr if it is missing. Adds no fault.
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

    // Returns a boolean. A missing member adds no fault.
    bool takeBool(const std::string &member, bool fallback);

    // Adds a fault for each member that no take function has asked for.
    void reportUnknown();

    // Adds "PATH/member: what; expected ...".
    void fault(std::string_view member, std::string_view what, std::string_view expected);

    const std::string &path() const { return this->objectPath; }

private:
    const Json *value = nullptr; // an object, or nullptr
    std::string objectPath;
    Faults *faults = nullptr;
    std::set<std::string> known; // members that take functions have asked for
};

} // namespace kumquat
