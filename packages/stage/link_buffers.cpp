#include "stage/link_buffers.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace kumquat {
namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t prefixBytes = 2 * lengthBytes; // length of the head and length of the body
constexpr std::size_t maxMessageBytes = 80UL << 20U; // the largest body of a caller plus a head
constexpr std::size_t readBytes = 8UL * 1024;        // size of a usual answer
constexpr std::size_t largeBodyBytes = 64UL * 1024;  // such bodies are neither copied nor buffered
constexpr std::size_t discardBytes = 64UL * 1024;    // of one read of a body that is dropped
constexpr std::size_t maxBuffers = 32;               // of one write

void appendLength(std::string &text, std::size_t length)
{
    const auto value = static_cast<std::uint32_t>(length);
    char bytes[lengthBytes];
    std::memcpy(bytes, &value, lengthBytes); // all hosts are little-endian
    text.append(bytes, lengthBytes);
}

std::size_t readLength(const char *bytes)
{
    std::uint32_t value = 0;
    std::memcpy(&value, bytes, lengthBytes);
    return value;
}

} // namespace

// ---- LinkOutput ----

bool LinkOutput::hasRoomFor(std::uint64_t bytes, Time now)
{
    const std::uint64_t before = this->charge.bytes();
    const std::uint64_t copied = bytes >= largeBodyBytes ? 0 : bytes;
    const bool fits = this->charge.tryResize(before + copied, now);
    if (fits) {
        this->charge.resize(before, now);
    }
    return fits;
}

void LinkOutput::add(const wire::LinkFrame &head, const SharedBody &body, Time now)
{
    if (this->queued.empty() || this->queued.back().body.size() > 0) {
        this->queued.emplace_back();
    }
    Part &part = this->queued.back();
    const std::size_t before = part.text.size();
    appendLength(part.text, head.ByteSizeLong());
    appendLength(part.text, body.size());
    head.AppendToString(&part.text);
    if (body.size() >= largeBodyBytes) {
        part.body = body;
    } else {
        part.text.append(body.view());
    }
    const std::size_t added = part.text.size() - before;
    this->textBytes += added;
    this->unsent += added + part.body.size();
    this->updateCharge(now);
}

std::vector<boost::asio::const_buffer> LinkOutput::nextBuffers()
{
    if (this->writing.empty()) {
        this->writing.swap(this->queued);
    }
    std::vector<boost::asio::const_buffer> buffers;
    std::size_t skipped = this->writtenOfFirst;
    for (const Part &part : this->writing) {
        for (const std::string_view bytes : {std::string_view(part.text), part.body.view()}) {
            const std::size_t start = std::min(skipped, bytes.size());
            skipped -= start;
            if (start < bytes.size()) {
                buffers.emplace_back(bytes.data() + start, bytes.size() - start);
            }
        }
        if (buffers.size() >= maxBuffers) {
            break;
        }
    }
    return buffers;
}

void LinkOutput::consume(std::size_t bytes, Time now)
{
    this->unsent -= bytes;
    this->writtenOfFirst += bytes;
    while (!this->writing.empty()
           && this->writtenOfFirst
                      >= this->writing.front().text.size() + this->writing.front().body.size()) {
        this->dropFirstPart();
    }
    this->updateCharge(now);
    this->charge.noteProgress(bytes, now);
}

void LinkOutput::dropFirstPart()
{
    const Part &first = this->writing.front();
    this->writtenOfFirst -= first.text.size() + first.body.size();
    this->textBytes -= first.text.size();
    this->writing.pop_front();
}

void LinkOutput::updateCharge(Time now)
{
    this->charge.resize(this->textBytes, now);
}

// ---- LinkInput ----

boost::asio::mutable_buffer LinkInput::nextBuffer()
{
    if (this->bodyLeft > 0 && !this->incoming.lacksRoom) {
        return {this->incoming.body.data() + this->bodyLength - this->bodyLeft, this->bodyLeft};
    }
    const std::size_t size =
            this->bodyLeft > 0 ? std::min(discardBytes, this->bodyLeft) : readBytes;
    if (this->input.size() < this->inputUsed + size) {
        this->input.resize(this->inputUsed + size);
        this->inputCharge.resize(this->input.capacity(), readBootTime());
    }
    return {this->input.data() + this->inputUsed,
            this->bodyLeft > 0 ? size : this->input.size() - this->inputUsed};
}

bool LinkInput::take(std::size_t count, Time now, const Hooks &hooks)
{
    if (this->bodyLeft > 0) {
        return this->takeBody(count, hooks);
    }
    this->inputUsed += count;
    return this->parseMessages(now, hooks);
}

bool LinkInput::parseMessages(Time now, const Hooks &hooks)
{
    std::size_t at = 0;
    while (hooks.isOpen() && this->inputUsed - at >= prefixBytes && this->bodyLeft == 0) {
        const char *bytes = this->input.data() + at;
        const std::size_t headLength = readLength(bytes);
        const std::size_t length = readLength(bytes + lengthBytes);
        const std::size_t available = this->inputUsed - at - prefixBytes;
        if (prefixBytes + headLength + length > maxMessageBytes) {
            return false;
        }
        const bool isComplete = available >= headLength + length;
        if (!isComplete && (length < largeBodyBytes || available < headLength)) {
            break;
        }
        LinkMessage message;
        if (!message.head.ParseFromArray(bytes + prefixBytes, static_cast<int>(headLength))) {
            return false;
        }
        at += prefixBytes + headLength;
        const char *body = bytes + prefixBytes + headLength;
        if (isComplete) {
            message.body.assign(body, length);
            at += length;
            hooks.received(std::move(message));
            continue;
        }
        this->incoming = std::move(message);
        this->bodyLength = length;
        this->startLargeBody(this->inputUsed - at, now);
        if (!this->incoming.lacksRoom) {
            std::memcpy(this->incoming.body.data(), body, this->inputUsed - at);
        }
        at = this->inputUsed;
    }
    std::memmove(this->input.data(), this->input.data() + at, this->inputUsed - at);
    this->inputUsed -= at;
    if (this->inputUsed == 0 && this->input.size() > 4 * readBytes) {
        this->input = std::string(); // release the memory of a large message
        this->inputCharge.resize(0, now);
    }
    return true;
}

// Makes room for a large body of which some bytes are available already. A request without room is
// refused after its body was read and dropped. An answer is kept, because its request has run.
void LinkInput::startLargeBody(std::size_t available, Time now)
{
    this->bodyLeft = this->bodyLength - available;
    if (this->budget != nullptr) {
        this->incoming.charge = std::make_shared<ByteCharge>(this->budget);
        if (this->incoming.head.has_execute()) {
            this->incoming.lacksRoom = !this->incoming.charge->tryResize(this->bodyLength, now);
        } else {
            this->incoming.charge->resize(this->bodyLength, now);
        }
    }
    if (!this->incoming.lacksRoom) {
        this->incoming.body.resize(this->bodyLength);
    }
}

bool LinkInput::takeBody(std::size_t count, const Hooks &hooks)
{
    this->bodyLeft -= count;
    if (this->bodyLeft == 0) {
        hooks.received(std::exchange(this->incoming, {}));
    }
    return true;
}

} // namespace kumquat
