// Entry point of libFuzzer. The first byte of the input selects the parser; the remaining bytes are passed to it.
#include "Inputs.h"

#include <cstdint>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    guavapond::fuzz::readInput(data[0] % guavapond::fuzz::inputKindCount, bytes);
    return 0;
}
