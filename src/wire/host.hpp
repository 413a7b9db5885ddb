// Translates between the operators' simulator and call control: JSON, with one batch of events on a line, to
// events, and actions to JSON. It makes no decisions.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/json.hpp"
#include "nettlestall/call_control.hpp"

namespace nettlestall::wire {

using json::BadInput;

// Runs the call controls that the simulator starts, by router number.
class Host {
   public:
    // Handles one batch and returns the reply to it, without a line end. Throws BadInput on input that is not
    // a valid batch; the events before the invalid one have then been handled.
    std::string handle_batch(const std::string& line);

   private:
    struct Instance;
    std::map<int, std::shared_ptr<Instance>> instances_;        // by router number
    std::map<int, std::vector<ExchangeEntry>> exchange_lists_;  // of each census, by buffer number
};

}  // namespace nettlestall::wire
