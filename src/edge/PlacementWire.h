// Placement messages as bytes.
#pragma once

#include "edge/Placement.h"

namespace guavapond::edge {

std::string encodePlacement(const PlacementMessage& message);
std::optional<PlacementMessage> decodePlacement(std::string_view bytes); // empty: no such message

} // namespace guavapond::edge
