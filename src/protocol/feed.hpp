// The control feed: reads lines of JSON, each with a numbered change to the list of carrier switches. It does
// no I/O of its own.
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

// Reads one numbered event, as on the feed and in the configuration. Throws json::BadInput.
ListEvent read_list_event(const json::Value& event);
ListEvent read_list_event(std::string_view line);
// The line from which read_list_event() reads the same event, without a line feed.
std::string write_list_event(const ListEvent& event);

// Follows the feed over one connection after another and skips events that it has handled before.
class FeedSession {
   public:
    using ListHandler = std::function<void(const ListEvent&)>;

    // `handler` gets each new event that has a list. `last_number` is the number of the last event that is
    // known already. A line of more than `max_line_bytes` bytes is malformed.
    FeedSession(std::int64_t last_number, ListHandler handler, std::size_t max_line_bytes = 256 * 1024)
        : handler_(std::move(handler)), last_number_(last_number), max_line_bytes_(max_line_bytes) {}
    void set_max_line_bytes(std::size_t max_line_bytes) { max_line_bytes_ = max_line_bytes; }

    // The number of the last event that was handled.
    std::int64_t last_number() const { return last_number_; }
    // How many lines were read, on all connections.
    std::uint64_t whole_lines() const { return whole_lines_; }
    // Starts on a new connection: returns the line to be written first, and drops a line of the previous
    // connection that had no end yet.
    std::string subscribe();
    // Where the next bytes of the connection are to be read into.
    std::span<char> read_buffer();
    // Handles `bytes` bytes that were read into read_buffer(). False: they are malformed and the connection
    // is to be closed.
    bool consume(std::size_t bytes);
    // Handles the events of another source, which has handled all events up to `last_number`.
    void catch_up(std::int64_t last_number, const std::vector<ListEvent>& events);

   private:
    void handle_event(const ListEvent& event);
    bool handle_line(std::string_view text);  // false: malformed

    ListHandler handler_;
    std::int64_t last_number_;
    std::size_t max_line_bytes_;
    std::vector<char> bytes_;
    std::size_t end_ = 0;  // how many bytes of an incomplete line bytes_ holds
    std::uint64_t whole_lines_ = 0;
};

}  // namespace nettlestall::protocol
