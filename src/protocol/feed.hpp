// The control feed: lines of JSON in, numbered changes to the list of carrier switches out.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "calls/signals.hpp"
#include "config/json.hpp"

namespace nettlestall::protocol {

// One numbered event, as on the feed and in the configuration. Throws json::BadInput.
ListEvent read_list_event(const json::Value& event);
ListEvent read_list_event(std::string_view line);
// The line from which the same event is read.
std::string write_list_event(const ListEvent& event);

class FeedSession {
   public:
    using ListHandler = std::function<void(const ListEvent&)>;

    // `last` is the number of the last event that is known already; no line is longer than `longest`.
    FeedSession(std::int64_t last, ListHandler take, std::size_t longest = 256 * 1024)
        : take_(std::move(take)), last_(last), longest_(longest) {}
    void set_max_line_bytes(std::size_t longest) { longest_ = longest; }

    std::int64_t last_number() const { return last_; }
    std::uint64_t whole_lines() const { return whole_lines_; }
    std::string subscribe();  // the line to write on a new connection; what was read by halves is forgotten
    std::span<char> read_buffer();
    // Takes what was read into space(). False: malformed, the connection is to be closed.
    bool consume(std::size_t bytes);
    // What another source has told, up to number `last`.
    void catch_up(std::int64_t last, const std::vector<ListEvent>& events);

   private:
    void take(const ListEvent& event);
    bool line(std::string_view text);

    ListHandler take_;
    std::int64_t last_;
    std::size_t longest_;
    std::vector<char> bytes_;
    std::size_t end_ = 0;
    std::uint64_t whole_lines_ = 0;
};

}  // namespace nettlestall::protocol
