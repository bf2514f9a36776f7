#include "endive/base.h"

namespace endive {
namespace {

// Consumed bytes are erased only beyond this size, because erasing moves the unread rest to the front.
constexpr std::size_t compact_threshold = 64UL * 1024;

std::uint32_t read_length(std::string_view bytes) {
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < frame_length_bytes; ++index) {
        length |= static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[index])) << (8 * index);
    }
    return length;
}

} // namespace

std::string make_frame(std::string_view payload) {
    std::string bytes;
    bytes.reserve(frame_length_bytes + payload.size());
    for (std::size_t index = 0; index < frame_length_bytes; ++index) {
        bytes.push_back(static_cast<char>(payload.size() >> (8 * index) & 0xffU));
    }
    return bytes.append(payload);
}

void frame_decoder::feed(std::string_view bytes) {
    if (start_ == buffer_.size()) {
        buffer_.clear();
        start_ = 0;
    } else if (start_ >= compact_threshold) {
        buffer_.erase(0, start_);
        start_ = 0;
    }
    buffer_.append(bytes);
}

void frame_decoder::release_consumed() {
    if (start_ == buffer_.size() && buffer_.capacity() > compact_threshold) {
        buffer_ = {};
        start_ = 0;
    }
}

std::optional<std::string_view> frame_decoder::next() {
    const auto unread = std::string_view{buffer_}.substr(start_);
    if (unread.size() < frame_length_bytes) {
        return {};
    }
    const auto length = read_length(unread);
    if (length == 0) {
        throw error{result_code::peer_frame_malformed, "peer frame has length 0"};
    }
    if (length > max_frame_bytes_) {
        throw error{result_code::peer_frame_too_large,
                    "peer frame exceeds the size limit: length is " + std::to_string(length) + " bytes"};
    }
    if (unread.size() - frame_length_bytes < length) {
        return {};
    }
    start_ += frame_length_bytes + length;
    return unread.substr(frame_length_bytes, length);
}

} // namespace endive
