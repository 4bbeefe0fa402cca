// Sections: text, checker
#include "settings/json.h"

#include "base/text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

constexpr std::size_t maxQuotedBytes = 60; // of an invalid value that a fault quotes

// --- text ---

// Finds duplicate members from the events of the parser. The parsed value does not show them,
// because the library drops duplicates.
class DuplicateFinder
{
public:
    explicit DuplicateFinder(Faults &found)
        : faults(&found)
    {}

    void handleEvent(Json::parse_event_t event, const Json &parsed);

private:
    // An object or array whose end has not been parsed yet.
    struct Level
    {
        bool isArray = false;
        std::size_t index = 0; // index of the current element, for an array
        std::string member;    // name of the current member, for an object
        std::set<std::string> members;
    };

    void addMember(const std::string &member);
    void finishValue();
    std::string path() const;

    Faults *faults;
    std::vector<Level> levels;
};

void DuplicateFinder::handleEvent(Json::parse_event_t event, const Json &parsed)
{
    using Event = Json::parse_event_t;
    switch (event) {
    case Event::object_start:
    case Event::array_start:
        this->levels.push_back({event == Event::array_start, 0, {}, {}});
        break;
    case Event::object_end:
    case Event::array_end:
        this->levels.pop_back();
        this->finishValue();
        break;
    case Event::key:
        this->addMember(parsed.get_ref<const std::string &>());
        break;
    case Event::value:
        this->finishValue();
        break;
    }
}

void DuplicateFinder::addMember(const std::string &member)
{
    Level &level = this->levels.back();
    level.member = member;
    if (!level.members.insert(member).second) {
        this->faults->push_back(this->path() + ": duplicate member; expected it once");
    }
}

void DuplicateFinder::finishValue()
{
    if (!this->levels.empty() && this->levels.back().isArray) {
        ++this->levels.back().index;
    }
}

std::string DuplicateFinder::path() const
{
    std::string path;
    for (const Level &level : this->levels) {
        path = joinPath(path, level.isArray ? std::to_string(level.index) : level.member);
    }
    return path;
}

// Returns line, column and the library's message, whose own prefix and position are removed.
std::string describeSyntaxError(const Json::parse_error &error, std::string_view text)
{
    const std::size_t end = std::min(error.byte == 0 ? 0 : error.byte - 1, text.size());
    const std::string_view before = text.substr(0, end);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t lineStart = before.rfind('\n') + 1; // npos + 1 is 0
    const std::string_view message = error.what();
    const std::size_t reason = message.find(": ");
    return absl::StrCat(
            "line ", line, ", column ", end - lineStart + 1, ": ",
            toAbsl(reason == std::string_view::npos ? message : message.substr(reason + 2)));
}

std::string quote(const Json &value)
{
    std::string text = value.dump(-1, ' ', true, Json::error_handler_t::replace);
    if (text.size() > maxQuotedBytes) {
        text = text.substr(0, maxQuotedBytes) + "...";
    }
    return text;
}

} // namespace

std::string joinPath(const std::string &path, std::string_view member)
{
    return absl::StrCat(path, "/", absl::StrReplaceAll(toAbsl(member), {{"~", "~0"}, {"/", "~1"}}));
}

Json parseJson(std::string_view text, Faults &faults)
{
    DuplicateFinder finder(faults);
    const auto onEvent = [&finder](int, Json::parse_event_t event, Json &parsed) {
        finder.handleEvent(event, parsed);
        return true;
    };
    try {
        return Json::parse(text, onEvent);
    } catch (const Json::parse_error &error) {
        faults.assign(1, describeSyntaxError(error, text));
    } catch (const Json::exception &error) { // for example, a number is out of range
        faults.assign(1, error.what());
    }
    return {Json::value_t::discarded};
}

// --- checker ---

JsonObject::JsonObject(const Json *given, std::string path, Faults &found)
    : objectPath(std::move(path))
    , faults(&found)
{
    if (given != nullptr && given->is_object()) {
        this->value = given;
    } else if (given != nullptr) {
        this->faults->push_back(absl::StrCat(this->objectPath.empty() ? "/" : this->objectPath,
                                             ": ", quote(*given), "; expected an object"));
    }
}

const Json *JsonObject::takeOptional(const std::string &member)
{
    this->known.insert(member);
    if (this->value == nullptr || !this->value->contains(member)) {
        return nullptr;
    }
    return &this->value->at(member);
}

const Json *JsonObject::take(const std::string &member, std::string_view expected)
{
    const Json *found = this->takeOptional(member);
    if (found == nullptr && this->value != nullptr) {
        this->fault(member, "missing", expected);
    }
    return found;
}

std::string JsonObject::takeString(const std::string &member, std::string_view expected,
                                   const std::function<bool(const std::string &)> &allows)
{
    const Json *found = this->take(member, expected);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string() || !allows(found->get_ref<const std::string &>())) {
        this->fault(member, quote(*found), expected);
        return {};
    }
    return found->get<std::string>();
}

std::int64_t JsonObject::takeInteger(const std::string &member, NumberRange range,
                                     std::optional<std::int64_t> fallback)
{
    const std::string expected = absl::StrCat("a whole number from ", range.min, " to ", range.max);
    const Json *found = fallback ? this->takeOptional(member) : this->take(member, expected);
    if (found == nullptr) {
        return fallback.value_or(0);
    }
    // Converted to a signed integer, an unsigned number above INT64_MAX would become negative.
    const bool fits = found->is_number_integer()
                      && (!found->is_number_unsigned()
                          || found->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
    const std::int64_t number = fits ? found->get<std::int64_t>() : 0;
    if (!fits || number < range.min || number > range.max) {
        this->fault(member, quote(*found), expected);
        return fallback.value_or(0);
    }
    return number;
}

double JsonObject::takeNumber(const std::string &member, std::string_view expected,
                              const std::function<bool(double)> &allows,
                              std::optional<double> fallback)
{
    const Json *found = fallback ? this->takeOptional(member) : this->take(member, expected);
    if (found == nullptr) {
        return fallback.value_or(0);
    }
    if (!found->is_number() || !allows(found->get<double>())) {
        this->fault(member, quote(*found), expected);
        return fallback.value_or(0);
    }
    return found->get<double>();
}

bool JsonObject::takeBool(const std::string &member, bool fallback)
{
    const Json *found = this->takeOptional(member);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_boolean()) {
        this->fault(member, quote(*found), "true or false");
        return fallback;
    }
    return found->get<bool>();
}

void JsonObject::reportUnknown()
{
    if (this->value == nullptr) {
        return;
    }
    const std::string names = absl::StrJoin(this->known, ", ");
    for (const auto &[member, ignored] : this->value->items()) {
        if (!this->known.contains(member)) {
            this->fault(member, "unknown member", absl::StrCat("one of ", names));
        }
    }
}

void JsonObject::fault(std::string_view member, std::string_view what, std::string_view expected)
{
    this->faults->push_back(absl::StrCat(joinPath(this->objectPath, member), ": ", toAbsl(what),
                                         "; expected ", toAbsl(expected)));
}

} // namespace kumquat
