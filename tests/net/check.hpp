// Plain checks that also hold where NDEBUG is set, and a seeded source of numbers.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>

#define CHECK(condition)                                                            \
    do {                                                                            \
        if (!(condition)) {                                                         \
            std::cerr << __FILE__ << ':' << __LINE__ << ": " << #condition << '\n'; \
            std::exit(1);                                                           \
        }                                                                           \
    } while (false)

namespace nettlestall::test {

struct Random {  // xorshift: the same numbers everywhere
    std::uint64_t state;
    std::size_t below(std::size_t end) {
        state ^= state << 13, state ^= state >> 7, state ^= state << 17;
        return static_cast<std::size_t>(state % end);
    }
};

}  // namespace nettlestall::test
