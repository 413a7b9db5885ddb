// Translates between the operators' simulator and call control. Each input line is a JSON object with a batch
// of events; the actions go back as a line of JSON. It makes no decisions.
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
    // a valid batch; the events before the invalid one have then been handled, and their actions are lost.
    std::string handle_batch(const std::string& line);

   private:
    struct Instance;                                            // one call control
    std::map<int, std::shared_ptr<Instance>> instances_;        // by router number
    std::map<int, std::vector<ExchangeEntry>> exchange_lists_;  // from censuses, by buffer number
};

}  // namespace nettlestall::wire
