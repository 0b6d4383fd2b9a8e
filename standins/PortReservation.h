// A TCP port chosen by the kernel, for listeners that can't report the port that they were given (cpprestsdk).
#pragma once

#include <cstdint>
#include <string>

namespace guavapond {

// Holds the port bound, without listening, until it is destroyed. A listener that sets SO_REUSEADDR can bind it in the meantime, and no
// other process is given it; destroy the reservation once the listener is open.
class PortReservation {
public:
    explicit PortReservation(const std::string& address = "127.0.0.1");
    ~PortReservation();
    PortReservation(const PortReservation&) = delete;
    PortReservation& operator=(const PortReservation&) = delete;

    uint16_t port() const { return this->number; } // 0: none could be bound

private:
    int socketFd = -1;
    uint16_t number = 0;
};

} // namespace guavapond
