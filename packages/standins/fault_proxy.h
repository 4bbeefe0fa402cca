// Loopback TCP proxy in front of one address. It can delay, reset, stall or silence connections.
//
//   ProxyThread thread;
//   auto proxy = FaultProxy::create(thread, {"127.0.0.1", port}, target).value();
//   proxy->set({.fault = LinkFault::Delayed, .delay = 200ms});
//   proxy->set({});
#pragma once

#include "base/address.h"
#include "base/names.h"
#include "base/time.h"

#include <absl/status/statusor.h>

#include <utility> // Asio 1.74 uses std::exchange without including it

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <memory>
#include <thread>

namespace kumquat {

enum class LinkFault : std::uint8_t {
    None,
    Delayed,          // bytes in both directions are delivered late, in order
    Reset,            // open connections are reset once; new connections work
    SilentToTarget,   // bytes to the target are held back until the fault ends
    SilentFromTarget, // bytes from the target are held back until the fault ends
    SilentBothWays,   // bytes in both directions are held back; new connections wait as well
    Stalled           // open connections never deliver anything again; new connections work
};

inline constexpr NameTable<LinkFault, 7> linkFaultNames{
        {{{LinkFault::None, "none"},
          {LinkFault::Delayed, "delayed"},
          {LinkFault::Reset, "reset"},
          {LinkFault::SilentToTarget, "silent-there"},
          {LinkFault::SilentFromTarget, "silent-back"},
          {LinkFault::SilentBothWays, "silent-both-ways"},
          {LinkFault::Stalled, "stalled"}}}};

struct LinkCondition
{
    LinkFault fault = LinkFault::None;
    Duration delay{}; // used by LinkFault::Delayed
};

// Thread that forwards the bytes of any number of proxies. Its destructor ends all connections.
class ProxyThread
{
public:
    ProxyThread();
    ~ProxyThread();

    ProxyThread(const ProxyThread &) = delete;
    ProxyThread &operator=(const ProxyThread &) = delete;

    void post(std::function<void()> function);
    boost::asio::io_context &io() { return this->context; }

private:
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread thread;
};

// Thread-safe.
class FaultProxy
{
public:
    // Error: `listen` cannot be bound. The thread must outlive the proxy's connections.
    static absl::StatusOr<std::unique_ptr<FaultProxy>>
    create(ProxyThread &thread, const Address &listen, const Address &target);
    ~FaultProxy();

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    void set(const LinkCondition &condition);

private:
    class State;

    explicit FaultProxy(std::shared_ptr<State> proxyState);

    std::shared_ptr<State> state;
};

} // namespace kumquat
