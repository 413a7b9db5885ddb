// A bound on the memory that several holders, such as connections, use together.
#pragma once

#include <cstddef>

namespace nettlestall {

// Counts bytes against a maximum. A holder may have as much as it leaves free for all, so that no holder can
// use up the room of the others: n of them that take what they get leave a share of 1/(n+1) free.
class SharedBudget {
   public:
    explicit SharedBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    // Whether a holder that has `held` bytes already may have `bytes` more.
    bool has_room_for(std::size_t held, std::size_t bytes) const {
        if (used_ + bytes > max_bytes_) return false;
        const std::size_t left_free = max_bytes_ - used_ - bytes;
        return held + bytes <= left_free;
    }
    void add(std::size_t bytes) { used_ += bytes; }
    void remove(std::size_t bytes) { used_ -= bytes; }
    // What is counted already stays, also if it is more.
    void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }
    std::size_t used() const { return used_; }

   private:
    std::size_t max_bytes_;
    std::size_t used_ = 0;
};

}  // namespace nettlestall
