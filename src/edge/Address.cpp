// Addresses as text.
#include "edge/Address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace guavapond::edge {

std::optional<Address> parseAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Address address { std::string(text.substr(0, colon)), 0 };
    boost::system::error_code error;
    boost::asio::ip::make_address(address.ip, error);
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    const bool isPort = fault == std::errc() && end == digits.data() + digits.size() && address.port > 0;
    if (error || !isPort)
        return std::nullopt;
    return address;
}

std::string addressText(const Address& address) { return address.ip + ":" + std::to_string(address.port); }

} // namespace guavapond::edge
