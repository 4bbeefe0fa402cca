// Limits what an exception costs to the work that caused it. The libraries for JSON, addresses and
// memory throw on data that they do not accept, and such data may come from outside.
//
//   const bool isDone = runContained(ContainedWork::Order, [&] { result = send(order); });
//   if (!isDone) { ... the order counts as not answered ... }
//
// The caller puts the state right that the work has left behind.
#pragma once

#include "base/names.h"

#include <cstdint>
#include <exception>
#include <string_view>

namespace kumquat {

// Kinds of work, each with what an exception costs.
enum class ContainedWork : std::uint8_t {
    Request,    // this request is answered as one whose outcome is unknown
    Connection, // this connection of a caller is closed
    Message,    // the connection to the other process that carried the message is closed
    Order,      // this order to the upstream counts as not answered
    StoreRead,  // this read of the store counts as failed
    StoreWrite, // this write to the store counts as one with an unknown outcome
    Timer,      // this round of timers ends; the next one is due as usual
    Task,       // this fiber or handler ends
};

inline constexpr NameTable<ContainedWork, 8> containedWorkNames{
        {{{ContainedWork::Request, "request"},
          {ContainedWork::Connection, "connection"},
          {ContainedWork::Message, "message"},
          {ContainedWork::Order, "order"},
          {ContainedWork::StoreRead, "store-read"},
          {ContainedWork::StoreWrite, "store-write"},
          {ContainedWork::Timer, "timer"},
          {ContainedWork::Task, "task"}}}};

// Logs and counts an exception.
void noteContained(ContainedWork work, std::string_view reason);

// Returns the number of exceptions in this process so far.
std::uint64_t containedCount();

// Runs a function. Returns false if it has thrown an exception. Exceptions that are not derived
// from std::exception are passed on: Boost.Context ends fibers by such a one.
template <typename Function>
bool runContained(ContainedWork work, Function &&function)
{
    try {
        function();
        return true;
    } catch (const std::exception &error) {
        noteContained(work, error.what());
        return false;
    }
}

} // namespace kumquat
