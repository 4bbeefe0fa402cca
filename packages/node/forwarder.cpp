#include "node/forwarder.h"

#include "traffic/journal.h"

#include <algorithm>

namespace kumquat {
namespace {

// Time after the deadline in which the owner's answer that the deadline was exceeded may still
// arrive.
constexpr Duration replySlack = 20ms;

std::uint32_t toMicroseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<long long>(count, 0, UINT32_MAX));
}

} // namespace

// ---- Conversion ----

wire::Forward toForward(const RoutedRequest &request, Time now)
{
    wire::Forward forward;
    forward.set_service(request.service);
    forward.set_key_hash(request.keyHash);
    forward.set_timeout_us(toMicroseconds(request.deadline - now));
    forward.set_idempotent(request.idempotent);
    *forward.mutable_request_id() = toWire(request.id);
    forward.set_fingerprint(request.fingerprint);
    forward.set_method(request.http.method);
    forward.set_target(request.http.target);
    forward.set_body(request.http.body);
    for (const HttpField &field : request.http.fields) {
        wire::HeaderField *header = forward.add_headers();
        header->set_name(field.name);
        header->set_value(field.value);
    }
    return forward;
}

RoutedRequest fromForward(const wire::Forward &forward, Time now)
{
    RoutedRequest request;
    request.service = forward.service();
    request.keyHash = forward.key_hash();
    request.deadline = now + std::chrono::microseconds(forward.timeout_us());
    request.idempotent = forward.idempotent();
    request.id = fromWire(forward.request_id());
    request.fingerprint = forward.fingerprint();
    request.http.method = forward.method();
    request.http.target = forward.target();
    request.http.body = forward.body();
    for (const wire::HeaderField &header : forward.headers()) {
        request.http.fields.push_back({header.name(), header.value()});
    }
    return request;
}

wire::ForwardReply toForwardReply(const RoutedAnswer &answer)
{
    wire::ForwardReply reply;
    reply.set_error_kind(static_cast<std::uint32_t>(answer.error));
    reply.set_error_message(answer.message);
    reply.set_log_offset(answer.logOffset);
    if (answer.owner.session != 0) {
        reply.set_owner_session(answer.owner.session);
        reply.set_owner_mesh_address(answer.owner.meshAddress);
    }
    reply.set_http_status(static_cast<std::uint32_t>(answer.http.status));
    reply.set_body(answer.http.body);
    for (const HttpField &field : answer.http.fields) {
        wire::HeaderField *header = reply.add_headers();
        header->set_name(field.name);
        header->set_value(field.value);
    }
    return reply;
}

RoutedAnswer fromForwardReply(const wire::ForwardReply &reply)
{
    RoutedAnswer answer;
    const bool isKnown = reply.error_kind() < static_cast<std::uint32_t>(errorKindCount);
    answer.error = isKnown ? static_cast<ErrorKind>(reply.error_kind()) : ErrorKind::Internal;
    answer.message = reply.error_message();
    answer.logOffset = reply.log_offset();
    answer.owner = {reply.owner_session(), reply.owner_mesh_address()};
    answer.http.status = static_cast<int>(reply.http_status());
    answer.http.body = reply.body();
    for (const wire::HeaderField &header : reply.headers()) {
        answer.http.fields.push_back({header.name(), header.value()});
    }
    return answer;
}

// ---- Forwarder ----

Forwarder::Forwarder(Mesh &ownMesh, std::uint64_t ownIncarnation, std::string ownAddress)
    : mesh(ownMesh)
    , incarnation(ownIncarnation)
    , replyAddress(std::move(ownAddress))
{}

RoutedAnswer Forwarder::forward(asio::io_context &io, const RouteAnswer &target,
                                const RoutedRequest &request, std::uint64_t logOffset)
{
    const std::uint64_t number = ++this->lastNumber;
    const auto waiting = std::make_shared<Pending>(io);
    waiting->session = target.session;
    waiting->answer = makeFailure(ErrorKind::OwnerLost, "the owner's process did not answer");
    {
        const std::lock_guard lock(this->mutex);
        this->pending.emplace(number, waiting);
    }
    const Time now = readBootTime();
    wire::MeshMessage message;
    wire::Forward *forward = message.mutable_forward();
    *forward = toForward(request, now);
    forward->mutable_forward_id()->set_high(this->incarnation);
    forward->mutable_forward_id()->set_low(number);
    forward->set_log_offset(logOffset);
    forward->set_reply_address(this->replyAddress);
    this->mesh.send(target.meshAddress, message);
    waiting->event.waitFor(std::max(request.deadline - now, Duration::zero()) + replySlack);
    const std::lock_guard lock(this->mutex);
    this->pending.erase(number);
    return std::move(waiting->answer);
}

void Forwarder::abandon(SessionId session)
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[number, waiting] : this->pending) {
        if (waiting->session == session) {
            waiting->event.notify();
        }
    }
}

void Forwarder::complete(const wire::ForwardReply &reply)
{
    std::shared_ptr<Pending> waiting;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->pending.find(reply.forward_id().low());
        if (reply.forward_id().high() != this->incarnation || found == this->pending.end()) {
            ++this->unmatched;
            return;
        }
        waiting = found->second;
        this->pending.erase(found);
        waiting->answer = fromForwardReply(reply);
    }
    waiting->event.notify();
}

} // namespace kumquat
