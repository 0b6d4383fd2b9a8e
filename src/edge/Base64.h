// Standard base64 with padding.
//
// Index
//   encodeBase64, decodeBase64
#pragma once

#include <string>

namespace guavapond::edge {

std::string encodeBase64(const std::string& bytes);
std::string decodeBase64(const std::string& text); // empty if the text is no base64

} // namespace guavapond::edge
