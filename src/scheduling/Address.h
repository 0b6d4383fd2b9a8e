// Network address of a process: an IP address and a port.
//
// Index
//   Address  parseAddress, addressText
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavapond::edge {

struct Address {
    std::string ip;
    uint16_t port = 0;
    bool operator==(const Address&) const = default;
};

std::optional<Address> parseAddress(std::string_view text); // "IP:PORT" with a port from 1 to 65,535; empty: invalid text
std::string addressText(const Address& address);            // "IP:PORT"

} // namespace guavapond::edge
