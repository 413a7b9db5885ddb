// One gatekeeper in service: all parts joined, signals, reload, the end.
#pragma once

#include <string>

namespace nettlestall {

struct ServeOptions {
    std::string operator_file;  // empty: none
};

// Serves until it is told to end. Throws json::BadInput or boost::system::system_error if it can't start.
int serve(const ServeOptions& options);

}  // namespace nettlestall
