// Base64 by the library for cryptography.
#include "edge/Base64.h"

#include <algorithm>
#include <openssl/evp.h>

namespace guavapond::edge {

namespace {

constexpr size_t base64Group = 4; // characters for each 3 bytes

} // namespace

std::string decodeBase64(const std::string& text)
{
    std::string result(text.size() / base64Group * 3 + 1, '\0');
    auto* output = reinterpret_cast<unsigned char*>(result.data());
    const int length = EVP_DecodeBlock(output, reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    const auto padding = text.size() - std::min(text.size(), text.find_last_not_of('=') + 1);
    const auto size = static_cast<size_t>(std::max(length, 0));
    result.resize(size - std::min(size, padding));
    return result;
}

std::string encodeBase64(const std::string& bytes)
{
    std::string result((bytes.size() + 2) / 3 * base64Group + 1, '\0');
    auto* output = reinterpret_cast<unsigned char*>(result.data());
    result.resize(
        static_cast<size_t>(EVP_EncodeBlock(output, reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()))));
    return result;
}

} // namespace guavapond::edge
