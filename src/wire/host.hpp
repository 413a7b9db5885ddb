// Carries the simulator's wire (JSON, one batch a line) to the module's events and its actions back.
// No decisions here.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/json.hpp"
#include "nettlestall/call_control.hpp"

namespace nettlestall::wire {

using json::BadInput;

class Host {
   public:
    // Answers one batch with one reply, without the line's end. Throws BadInput.
    std::string reply(const std::string& line);

   private:
    struct Instance;
    std::map<int, std::shared_ptr<Instance>> instances_;
    std::map<int, std::vector<ExchangeEntry>> lists_;  // census, by its number
};

}  // namespace nettlestall::wire
