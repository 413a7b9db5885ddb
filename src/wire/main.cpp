#include <iostream>
#include <string>

#include "host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    nettlestall::wire::Host host;
    std::string line;
    for (long number = 1; std::getline(std::cin, line); ++number) {
        try {
            std::cout << host.reply(line) << '\n' << std::flush;
        } catch (const std::exception& problem) {
            std::cerr << "nettlestall_wirehost: line " << number << ": " << problem.what() << '\n';
            return 1;
        }
    }
    return 0;
}
