// The platform's HTTP protocol (design, section 8) over PlatformModel, with `PUT /faults`, `GET /stats` and `PUT /v1/vms` for tests.
#pragma once

#include "PlatformModel.h"

#include <memory>

namespace guavapond::standin {

class PlatformServer {
public:
    // Port 0: chosen by the kernel. Throws std::exception if the port can't be bound.
    PlatformServer(PlatformModel& model, uint16_t port);
    ~PlatformServer(); // closes all connections
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    uint16_t port() const;
    std::string url() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace guavapond::standin
