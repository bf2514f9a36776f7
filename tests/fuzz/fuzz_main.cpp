// Entry point of libFuzzer: the first byte selects the decoder. scripts/fuzz builds and runs it.

#include "fuzz/decoders.h"

#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size > 0) {
        const std::string_view bytes{reinterpret_cast<const char*>(data), size};
        endive::fuzz::decode(data[0] % endive::fuzz::decoder_count, bytes.substr(1));
    }
    return 0;
}
