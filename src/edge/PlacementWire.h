// Encodes and decodes placement messages (proto/placement.proto).
//
// Index
//   encodePlacement, decodePlacement
#pragma once

#include "scheduling/Placement.h"

namespace guavapond::edge {

std::string encodePlacement(const PlacementMessage& message);
std::optional<PlacementMessage> decodePlacement(std::string_view bytes); // empty: not a valid message

} // namespace guavapond::edge
