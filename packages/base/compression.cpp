#include "base/compression.h"

#include "base/errors.h"

#include <zlib.h>

#include <cassert>

namespace kumquat {
namespace {

constexpr int windowBits =
        -15; // negative: raw deflate without a checksum, because TCP and the store check the data
constexpr int memoryLevel = 8;

Bytef *inputOf(std::string_view text)
{
    return reinterpret_cast<Bytef *>(const_cast<char *>(text.data())); // zlib only reads
}

} // namespace

std::string deflateText(std::string_view text)
{
    z_stream stream{};
    const int initResult = deflateInit2(&stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, windowBits,
                                        memoryLevel, Z_DEFAULT_STRATEGY);
    assert(initResult == Z_OK && "out of memory");
    static_cast<void>(initResult);
    std::string packed(deflateBound(&stream, text.size()), '\0');
    stream.next_in = inputOf(text);
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = reinterpret_cast<Bytef *>(packed.data());
    stream.avail_out = static_cast<uInt>(packed.size());
    deflate(&stream, Z_FINISH);
    packed.resize(stream.total_out);
    deflateEnd(&stream);
    return packed;
}

absl::StatusOr<std::string> inflateText(std::string_view packed, std::size_t length)
{
    z_stream stream{};
    const int initResult = inflateInit2(&stream, windowBits);
    assert(initResult == Z_OK && "out of memory");
    static_cast<void>(initResult);
    std::string text(length, '\0');
    stream.next_in = inputOf(packed);
    stream.avail_in = static_cast<uInt>(packed.size());
    stream.next_out = reinterpret_cast<Bytef *>(text.data());
    stream.avail_out = static_cast<uInt>(text.size());
    const int result = inflate(&stream, Z_FINISH);
    const bool isComplete = result == Z_STREAM_END && stream.total_out == length;
    inflateEnd(&stream);
    if (!isComplete) {
        return makeError(ErrorKind::BadRequest, "a compressed text cannot be read");
    }
    return text;
}

} // namespace kumquat
