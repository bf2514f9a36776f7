#pragma once
// All decoders of bytes from outside the process, behind one function, for the fuzzer and for the tests.

#include <cstddef>
#include <string_view>

namespace endive::fuzz {

/// Number of decoders.
inline constexpr std::size_t decoder_count = 11;

/// Decodes `bytes` with the decoder of this index. An `error` counts as a correct rejection; any other
/// exception leaves the function. Precondition: `decoder` is less than `decoder_count`.
void decode(std::size_t decoder, std::string_view bytes);

/// A well-formed input of the decoder.
[[nodiscard]] std::string_view example_of(std::size_t decoder);

} // namespace endive::fuzz
