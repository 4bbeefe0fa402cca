#include "net/receive_buffer.h"

#include "net/http_stream.h"
#include "net/socket_state.h"

#include <algorithm>
#include <utility>

namespace kumquat {

void ReceiveBuffer::grow(std::uint64_t bodyBytes, bool isAnnounced)
{
    if (this->usual == 0 || this->isLarge || bodyBytes <= this->usual) {
        return;
    }
    if (!isAnnounced && this->budget != nullptr) {
        const std::uint64_t more = maxUnreadBytes(largeBytes);
        if (this->budget->held() + more > this->budget->capacity() / 2
            || !this->charge.tryResize(this->charge.bytes() + more, readBootTime())) {
            return;
        }
        this->charged = more;
    }
    this->isLarge = true;
    growReceiveWindow(this->stream.socket().native_handle(), largeBytes);
}

void ReceiveBuffer::reset()
{
    if (!std::exchange(this->isLarge, false)) {
        return;
    }
    setReceiveBuffer(this->stream.socket().native_handle(), this->usual);
    // Less than was charged is left after an eviction.
    const std::uint64_t all = this->charge.bytes();
    const std::uint64_t grown = std::exchange(this->charged, 0);
    this->charge.resize(all - std::min(all, grown), readBootTime());
}

} // namespace kumquat
