// Where the body of a request ends.
//
// Index
//   http11               the version as Boost.Beast writes it
//   hasAmbiguousLength
#pragma once

#include <boost/beast/http/message.hpp>

#include <algorithm>

namespace guavapond {

constexpr unsigned http11 = 11; // HTTP/1.1 in the notation of Boost.Beast

// True if the body's end is not certain: two lengths, a length beside a transfer encoding, or an encoding other than chunks. Bytes of the
// body could be parsed as a further request (request smuggling).
inline bool hasAmbiguousLength(const boost::beast::http::request_header<>& head)
{
    using boost::beast::http::field;
    const auto [length, lengthsEnd] = head.equal_range(field::content_length);
    const auto [encoding, encodingsEnd] = head.equal_range(field::transfer_encoding);
    if (encoding == encodingsEnd) {
        return length != lengthsEnd
            && (std::next(length) != lengthsEnd
                || !std::all_of(length->value().begin(), length->value().end(), [](char c) { return c >= '0' && c <= '9'; }));
    }
    return std::next(encoding) != encodingsEnd || !boost::beast::iequals(encoding->value(), "chunked") || length != lengthsEnd
        || head.version() < http11;
}

} // namespace guavapond
