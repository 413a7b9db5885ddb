#include "lab/link.hpp"

#include <algorithm>
#include <utility>

namespace nettlestall::lab {
namespace {

using std::chrono::milliseconds;

constexpr Duration kDelayMin = milliseconds(4), kDelayMax = milliseconds(16);  // in one direction
// The next attempt to connect follows after one to two times this.
constexpr Duration kReconnectDelay = milliseconds(250);

}  // namespace

void Link::schedule_connect() {
    simulation_.schedule_after(kReconnectDelay + random_.draw_between({}, kReconnectDelay), [this] {
        if (!open_[0] && !open_[1] && !is_interrupted() && ends_[0]->can_connect() &&
            ends_[1]->can_connect()) {
            ++connection_;
            open_[0] = open_[1] = true;
            last_arrival_[0] = last_arrival_[1] = simulation_.now();
            ends_[0]->on_connected();
            ends_[1]->on_connected();
        }
        schedule_connect();
    });
}

void Link::send(const LinkEnd& from, std::string bytes) {
    const int sender = side(from), receiver = 1 - sender;
    if (!open_[sender] || bytes.empty()) return;
    const Duration delay = extra_delay_ + random_.draw_between(kDelayMin, kDelayMax);
    const Instant earliest = std::max(simulation_.now(), is_interrupted() ? interrupted_until_ : Instant{});
    last_arrival_[receiver] = std::max(last_arrival_[receiver], earliest + delay);
    simulation_.schedule_at(last_arrival_[receiver], [this, receiver, connection = connection_,
                                                      bytes = std::move(bytes)]() mutable {
        if (connection != connection_ || !open_[receiver]) return;
        // Interrupted while the bytes were in transit: they arrive afterwards, as TCP sends them again.
        if (!is_interrupted()) return ends_[receiver]->on_received(std::move(bytes));
        const int sending_side = 1 - receiver;
        if (open_[sending_side]) {
            last_arrival_[receiver] = std::max(last_arrival_[receiver], interrupted_until_ + kDelayMin);
            simulation_.schedule_at(interrupted_until_ + kDelayMin,
                                    [this, receiver, connection, bytes = std::move(bytes)]() mutable {
                                        if (connection == connection_ && open_[receiver])
                                            ends_[receiver]->on_received(std::move(bytes));
                                    });
        }
    });
}

void Link::close(const LinkEnd& by) {
    const int closing_side = side(by), other = 1 - closing_side;
    if (!std::exchange(open_[closing_side], false)) return;
    if (!open_[other]) return;
    // The other end receives the close like bytes, after a delay.
    const Instant notification_time =
        std::max(simulation_.now(), is_interrupted() ? interrupted_until_ : Instant{}) + kDelayMax;
    simulation_.schedule_at(notification_time, [this, other, connection = connection_] {
        if (connection == connection_ && std::exchange(open_[other], false)) ends_[other]->on_closed();
    });
}

void Link::break_connection() {
    ++connection_;
    for (int side = 0; side < 2; ++side)
        if (std::exchange(open_[side], false)) ends_[side]->on_closed();
}

}  // namespace nettlestall::lab
