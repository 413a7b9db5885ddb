// nettlestall_wirehost: connects the operators' simulator to call control. It reads batches of events from
// standard input, one a line, and writes the reply to each as one line to standard output. On bad input it
// writes one line to standard error and ends with exit code 1; at the end of input it ends with exit code 0.
#include <iostream>
#include <string>

#include "host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    nettlestall::wire::Host host;
    std::string line;
    for (long number = 1; std::getline(std::cin, line); ++number) {
        try {
            std::cout << host.handle_batch(line) << '\n' << std::flush;
        } catch (const std::exception& error) {
            std::cerr << "nettlestall_wirehost: line " << number << ": " << error.what() << '\n';
            return 1;
        }
    }
    return 0;
}
