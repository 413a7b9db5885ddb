// What all tests of the program use: a check that also works with NDEBUG, and random numbers from a seed.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>

// Ends the test program with exit code 1, after a message with the place, unless the condition holds.
#define CHECK(condition)                                                            \
    do {                                                                            \
        if (!(condition)) {                                                         \
            std::cerr << __FILE__ << ':' << __LINE__ << ": " << #condition << '\n'; \
            std::exit(1);                                                           \
        }                                                                           \
    } while (false)

namespace nettlestall::test {

// Random numbers by xorshift, which gives the same numbers on every platform.
struct Random {
    std::uint64_t state;  // the seed; not zero
    // A number from 0 to end - 1.
    std::size_t below(std::size_t end) {
        state ^= state << 13, state ^= state >> 7, state ^= state << 17;
        return static_cast<std::size_t>(state % end);
    }
};

}  // namespace nettlestall::test
