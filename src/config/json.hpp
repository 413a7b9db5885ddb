// Typed look-ups in JSON, whose complaints name the key.
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

// What is wrong with the input, and where, in one line.
struct BadInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

[[noreturn]] inline void throw_bad_input(const std::string& what) {
    throw BadInput(what);
}

[[noreturn]] inline void throw_bad_key(const char* key, const char* must) {
    throw_bad_input(std::string("'").append(key).append("' must be ").append(must));
}

[[noreturn]] inline void throw_missing_key(const char* key) {
    throw_bad_input(std::string("missing '").append(key).append("'"));
}

// The member's value; nothing if it is absent or null.
inline const Value* find(const Value& object, const char* key) {
    const auto at = object.FindMember(key);
    return at == object.MemberEnd() || at->value.IsNull() ? nullptr : &at->value;
}

template <class T>
constexpr const char* type_name() {
    if constexpr (std::is_same_v<T, bool>) return "true or false";
    if constexpr (std::is_same_v<T, std::string>) return "text";
    return std::is_integral_v<T> ? "a whole number" : "a number";
}

template <class T>
T convert(const Value& from, const char* key) {
    if constexpr (std::is_same_v<T, bool>) {
        if (from.IsBool()) return from.GetBool();
    } else if constexpr (std::is_same_v<T, std::string>) {
        if (from.IsString()) return std::string(from.GetString(), from.GetStringLength());
    } else if constexpr (std::is_integral_v<T>) {
        if (from.IsUint64() && from.GetUint64() <= static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
            return static_cast<T>(from.GetUint64());
        if (std::is_signed_v<T> && from.IsInt64() && from.GetInt64() < 0 &&
            from.GetInt64() >= static_cast<std::int64_t>(std::numeric_limits<T>::min()))
            return static_cast<T>(from.GetInt64());
        // Two to the power of the type's digits: its largest value may not be exact as a double.
        const double most = std::ldexp(1.0, std::numeric_limits<T>::digits);
        if (from.IsDouble() && from.GetDouble() == std::floor(from.GetDouble()) && from.GetDouble() < most &&
            from.GetDouble() >= (std::is_signed_v<T> ? -most : 0.0))
            return static_cast<T>(from.GetDouble());
    } else {
        if (from.IsNumber()) return from.GetDouble();
    }
    throw_bad_key(key, type_name<T>());
}

template <class T>
T get_required(const Value& object, const char* key) {
    const Value* at = find(object, key);
    if (!at) throw_missing_key(key);
    return convert<T>(*at, key);
}

template <class T>
T get_or(const Value& object, const char* key, T otherwise) {
    const Value* at = find(object, key);
    return at ? convert<T>(*at, key) : otherwise;
}

inline const Value& get_container(const Value& object, const char* key, bool array) {
    const Value* at = find(object, key);
    if (!at) throw_missing_key(key);
    if (array ? !at->IsArray() : !at->IsObject()) throw_bad_key(key, array ? "an array" : "an object");
    return *at;
}

inline const Value& get_container_or_empty(const Value& object, const char* key, bool array) {
    static const Value kObject(rapidjson::kObjectType);
    static const Value kArray(rapidjson::kArrayType);
    return find(object, key) ? get_container(object, key, array) : (array ? kArray : kObject);
}

inline Duration to_duration(double seconds) {
    if (!(std::abs(seconds) < 1e12)) throw_bad_input("a time is out of range");
    return Duration(std::llround(seconds * 1e6));
}

inline Duration get_required_duration(const Value& object, const char* key) {
    return to_duration(get_required<double>(object, key));
}

inline Duration get_duration_or(const Value& object, const char* key, double otherwise = 0.0) {
    return to_duration(get_or(object, key, otherwise));
}

}  // namespace nettlestall::json
