#include "lab/wire.hpp"

#include <algorithm>
#include <utility>

namespace nettlestall::lab {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLeastDelay = milliseconds(4), kMostDelay = milliseconds(16);
constexpr Duration kRedial = milliseconds(250);

}  // namespace

void Wire::dial() {
    simulation_.after(kRedial + chance_.between({}, kRedial), [this] {
        if (!open_[0] && !open_[1] && !is_cut() && ends_[0]->reachable() && ends_[1]->reachable()) {
            ++connection_;
            open_[0] = open_[1] = true;
            last_[0] = last_[1] = simulation_.now();
            ends_[0]->connected();
            ends_[1]->connected();
        }
        dial();
    });
}

void Wire::write(const WireEnd& from, std::string bytes) {
    const int by = side(from), to = 1 - by;
    if (!open_[by] || bytes.empty()) return;
    const Duration delay = extra_ + chance_.between(kLeastDelay, kMostDelay);
    const Instant earliest = std::max(simulation_.now(), is_cut() ? cut_until_ : Instant{});
    last_[to] = std::max(last_[to], earliest + delay);
    simulation_.at(last_[to], [this, to, connection = connection_, bytes = std::move(bytes)]() mutable {
        if (connection != connection_ || !open_[to]) return;
        // Cut while it was under way: it comes again afterwards.
        if (!is_cut()) return ends_[to]->arrived(std::move(bytes));
        const int from_side = 1 - to;
        if (open_[from_side]) {
            last_[to] = std::max(last_[to], cut_until_ + kLeastDelay);
            simulation_.at(cut_until_ + kLeastDelay,
                           [this, to, connection, bytes = std::move(bytes)]() mutable {
                               if (connection == connection_ && open_[to])
                                   ends_[to]->arrived(std::move(bytes));
                           });
        }
    });
}

void Wire::hang_up(const WireEnd& by) {
    const int side_of = side(by), other = 1 - side_of;
    if (!std::exchange(open_[side_of], false)) return;
    if (!open_[other]) return;
    const Instant heard = std::max(simulation_.now(), is_cut() ? cut_until_ : Instant{}) + kMostDelay;
    simulation_.at(heard, [this, other, connection = connection_] {
        if (connection == connection_ && std::exchange(open_[other], false)) ends_[other]->broken();
    });
}

void Wire::break_off() {
    ++connection_;
    for (int side = 0; side < 2; ++side)
        if (std::exchange(open_[side], false)) ends_[side]->broken();
}

}  // namespace nettlestall::lab
