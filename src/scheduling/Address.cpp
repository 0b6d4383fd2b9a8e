// Conversion between addresses and text.
#include "scheduling/Address.h"

#include "scheduling/RequestFields.h"

#include <boost/asio/ip/address.hpp>

namespace guavapond::edge {

std::optional<Address> parseAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Address address { std::string(text.substr(0, colon)), 0 };
    boost::system::error_code error;
    boost::asio::ip::make_address(address.ip, error);
    address.port = parseNumber<uint16_t>(text.substr(colon + 1)).value_or(0);
    if (error || address.port == 0)
        return std::nullopt;
    return address;
}

std::string addressText(const Address& address) { return address.ip + ":" + std::to_string(address.port); }

} // namespace guavapond::edge
