// Reads values of JSON that others wrote. The library converts numbers silently: a negative or too large one would become another one.
//
// Index
//   JsonFieldError   a value of another type, or out of range
//   wholeNumber
//   jsonField        a value of any type, whole numbers with their range
//   valueOr          a field of an object, or what holds without it
//   wholeNumberOr    the same of a number that nothing else depends on: one that makes no sense counts as absent
//   millisecondsOr   the same of a duration, in range
//   forEachIn        entries of a list, if there is one
#pragma once

#include "core/Types.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace guavapond::edge {

class JsonFieldError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Throws JsonFieldError unless the value is a whole number that T holds. "13.0" is one.
template <typename T> T wholeNumber(const nlohmann::json& value)
{
    if (value.is_number_unsigned() && std::in_range<T>(value.get<uint64_t>()))
        return value.get<T>();
    if (value.is_number_integer() && !value.is_number_unsigned() && std::in_range<T>(value.get<int64_t>()))
        return value.get<T>();
    constexpr double exactLimit = 9007199254740992.0; // 2^53: a fraction beyond it may stand for another number
    if (value.is_number_float()) {
        const auto number = value.get<double>();
        if (std::abs(number) < exactLimit && number == std::trunc(number) && std::in_range<T>(static_cast<int64_t>(number)))
            return static_cast<T>(number);
    }
    throw JsonFieldError("a whole number in range is needed");
}

// Throws JsonFieldError or the library's exception if the value is not a T.
template <typename T> T jsonField(const nlohmann::json& value)
{
    if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>)
        return wholeNumber<T>(value);
    else
        return value.get<T>();
}

// Absent or null: the fallback.
template <typename T> T valueOr(const nlohmann::json& object, const char* name, T fallback)
{
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? fallback : jsonField<T>(*found);
}

template <typename T> T wholeNumberOr(const nlohmann::json& object, const char* name, T fallback)
{
    try {
        return valueOr(object, name, fallback);
    } catch (const JsonFieldError&) {
        return fallback;
    }
}

// Calls the function for each entry of a list. False: the object has no such field. A null is an empty list, and a value of another type
// throws JsonFieldError: neither may be taken for an absent field.
template <typename Function> bool forEachIn(const nlohmann::json& object, const char* name, Function&& function)
{
    const auto found = object.find(name);
    if (found == object.end())
        return false;
    if (!found->is_array() && !found->is_null())
        throw JsonFieldError(std::string(name) + " is no list");
    std::for_each(found->begin(), found->end(), std::forward<Function>(function));
    return true;
}

constexpr double maxMilliseconds = 24.0 * 3600 * 1000; // of any duration

inline Duration millisecondsOr(const nlohmann::json& object, const char* name, Duration fallback)
{
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? fallback
                                                     : fromSeconds(std::clamp(found->get<double>(), 0.0, maxMilliseconds) / 1000);
}

} // namespace guavapond::edge
