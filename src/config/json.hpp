// Typed access to the members of JSON objects. Each function throws BadInput, with a message that names the
// key, if a value is missing or has the wrong type or range.
#pragma once

#include <rapidjson/document.h>

#include <chrono>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <string>
#include <type_traits>

#include "nettlestall/call_control.hpp"

namespace nettlestall::json {

using Value = rapidjson::Value;

// The input is not valid. what() says in one line what is wrong and where.
struct BadInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Throws BadInput with that message.
[[noreturn]] inline void throw_bad_input(const std::string& what) {
    throw BadInput(what);
}

// Throws "'key' must be <expected>".
[[noreturn]] inline void throw_bad_key(const char* key, const char* expected) {
    throw_bad_input(std::string("'").append(key).append("' must be ").append(expected));
}

// Throws "missing 'key'".
[[noreturn]] inline void throw_missing_key(const char* key) {
    throw_bad_input(std::string("missing '").append(key).append("'"));
}

// Returns the member's value, or nullptr if it is absent or null.
inline const Value* find(const Value& object, const char* key) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() || member->value.IsNull() ? nullptr : &member->value;
}

// How error messages name the type that is expected.
template <class T>
constexpr const char* type_name() {
    if constexpr (std::is_same_v<T, bool>) return "true or false";
    if constexpr (std::is_same_v<T, std::string>) return "text";
    return std::is_integral_v<T> ? "a whole number" : "a number";
}

// Returns the value as a T. Integers may also be written as a whole number with a fraction of zero (3.0).
// `key` is used only in the error message.
template <class T>
T convert(const Value& value, const char* key) {
    if constexpr (std::is_same_v<T, bool>) {
        if (value.IsBool()) return value.GetBool();
    } else if constexpr (std::is_same_v<T, std::string>) {
        if (value.IsString()) return std::string(value.GetString(), value.GetStringLength());
    } else if constexpr (std::is_integral_v<T>) {
        if (value.IsUint64() &&
            value.GetUint64() <= static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
            return static_cast<T>(value.GetUint64());
        if (std::is_signed_v<T> && value.IsInt64() && value.GetInt64() < 0 &&
            value.GetInt64() >= static_cast<std::int64_t>(std::numeric_limits<T>::min()))
            return static_cast<T>(value.GetInt64());
        // The type's largest value may not be representable as a double, so compare with the power of two
        // above it.
        const double limit = std::ldexp(1.0, std::numeric_limits<T>::digits);
        if (value.IsDouble() && value.GetDouble() == std::floor(value.GetDouble()) &&
            value.GetDouble() < limit && value.GetDouble() >= (std::is_signed_v<T> ? -limit : 0.0))
            return static_cast<T>(value.GetDouble());
    } else {
        if (value.IsNumber()) return value.GetDouble();
    }
    throw_bad_key(key, type_name<T>());
}

// Returns the member as a T; throws if it is absent or null.
template <class T>
T get_required(const Value& object, const char* key) {
    const Value* value = find(object, key);
    if (!value) throw_missing_key(key);
    return convert<T>(*value, key);
}

// Returns the member as a T, or `default_value` if it is absent or null.
template <class T>
T get_or(const Value& object, const char* key, T default_value) {
    const Value* value = find(object, key);
    return value ? convert<T>(*value, key) : default_value;
}

// Returns the member, which must be an array if `array` is true, otherwise an object.
inline const Value& get_container(const Value& object, const char* key, bool array) {
    const Value* value = find(object, key);
    if (!value) throw_missing_key(key);
    if (array ? !value->IsArray() : !value->IsObject()) throw_bad_key(key, array ? "an array" : "an object");
    return *value;
}

// The same; returns an empty array or object if the member is absent or null.
inline const Value& get_container_or_empty(const Value& object, const char* key, bool array) {
    static const Value kEmptyObject(rapidjson::kObjectType);
    static const Value kEmptyArray(rapidjson::kArrayType);
    return find(object, key) ? get_container(object, key, array) : (array ? kEmptyArray : kEmptyObject);
}

// Converts seconds to a Duration, which counts microseconds. Throws beyond 1e12 s either way.
inline Duration to_duration(double seconds) {
    if (!(std::abs(seconds) < 1e12)) throw_bad_input("a time is out of range");
    return Duration(std::llround(seconds * 1e6));
}

// Like get_required() and get_or(), for members that hold seconds.
inline Duration get_required_duration(const Value& object, const char* key) {
    return to_duration(get_required<double>(object, key));
}

inline Duration get_duration_or(const Value& object, const char* key, double default_seconds = 0.0) {
    return to_duration(get_or(object, key, default_seconds));
}

}  // namespace nettlestall::json
