#include "standins/platform_caller.h"

namespace kumquat {

HttpRequest makeCallerRequest(const CallerRequest &request)
{
    const std::string defaultPrefix = request.isIdempotent ? "/r/" : "/v/";
    HttpRequest message{request.isIdempotent ? "GET" : "POST",
                        (request.prefix.empty() ? defaultPrefix : request.prefix) + "x",
                        {{"Host", "shop.example"},
                         {"X-Attempt-Id", request.id},
                         {"X-Deadline-Remaining", std::to_string(request.timeout.count())}},
                        request.isIdempotent ? "" : "body of " + request.id,
                        {}};
    if (request.key) {
        message.fields.push_back({"X-Shard-Key", std::to_string(*request.key)});
    }
    return message;
}

bool isAnswerTo(const HttpAnswer &answer, const std::string &id)
{
    return findField(answer.fields, "X-Attempt-Id") == id
           && findField(answer.fields, "X-Server-Seal") && answer.body.starts_with(id + " ran at ");
}

} // namespace kumquat
