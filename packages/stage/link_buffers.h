// The bytes that a connection between processes holds: messages that are not sent yet, and the
// message that is being received. Large bodies are neither copied nor read into the buffer of the
// connection. All bytes count in the budget of the process.
//
// Sections: messages, LinkOutput, LinkInput.
#pragma once

#include "base/time.h"
#include "net/byte_budget.h"
#include "wire/stage.pb.h"

#include <boost/asio/buffer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kumquat {

// ---- Messages ----

struct LinkMessage
{
    wire::LinkFrame head;
    std::string body;
    std::shared_ptr<ByteCharge> charge; // for a large body, if the process has a budget
    bool lacksRoom = false;             // a request whose body was dropped for lack of room
    Time receivedAt{};
    // Time in transit beyond the shortest recent time from that process. It includes the time for
    // which this process read late.
    Duration excessDelay{};
};

// ---- LinkOutput ----

// Messages that are not sent yet.
class LinkOutput
{
public:
    // `charge` counts the bytes that no body is charged for.
    explicit LinkOutput(ByteCharge &linkCharge)
        : charge(linkCharge)
    {}

    // Returns whether there is room for a further message.
    bool hasRoomFor(std::uint64_t bytes, Time now);

    // Adds a message, also if there is no room.
    void add(const wire::LinkFrame &head, const SharedBody &body, Time now);

    // Returns the bytes to write next. They stay valid until consume().
    std::vector<boost::asio::const_buffer> nextBuffers();

    // Removes bytes that were written.
    void consume(std::size_t bytes, Time now);

    bool isEmpty() const { return this->unsent == 0; }
    std::uint64_t bytes() const { return this->unsent; }

private:
    // Consecutive messages; the body belongs to the last one.
    struct Part
    {
        std::string text;
        SharedBody body;
    };

    void dropFirstPart();
    void updateCharge(Time now);

    ByteCharge &charge;
    std::deque<Part> queued;
    std::deque<Part> writing;
    std::size_t writtenOfFirst = 0; // bytes of the first part in `writing`
    std::uint64_t unsent = 0;
    std::uint64_t textBytes = 0; // of all parts
};

// ---- LinkInput ----

// Splits received bytes into messages.
class LinkInput
{
public:
    struct Hooks
    {
        std::function<void(LinkMessage message)> received;
        std::function<bool()> isOpen; // no further messages are delivered if false
    };

    explicit LinkInput(ByteBudget *byteBudget)
        : budget(byteBudget)
        , inputCharge(byteBudget)
    {}

    // Returns the memory for the next read.
    boost::asio::mutable_buffer nextBuffer();

    // Takes bytes that were read into that memory, and delivers the complete messages. Returns
    // false if the bytes are no message.
    bool take(std::size_t count, Time now, const Hooks &hooks);

    // Returns whether a part of a message has been received.
    bool isInMessage() const { return this->inputUsed > 0 || this->bodyLeft > 0; }

private:
    bool parseMessages(Time now, const Hooks &hooks);
    void startLargeBody(std::size_t available, Time now);
    bool takeBody(std::size_t count, const Hooks &hooks);

    ByteBudget *budget;
    ByteCharge inputCharge; // for `input`
    std::string input;
    std::size_t inputUsed = 0; // bytes of `input` that hold data
    LinkMessage incoming;      // the message whose large body is being received
    std::size_t bodyLength = 0;
    std::size_t bodyLeft = 0; // bytes of its body that are missing
};

} // namespace kumquat
