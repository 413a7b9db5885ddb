// The link of a group: messages lost in a break are resent, in order and only once; invalid frames close the
// connection.
#include <deque>

#include "net/check.hpp"
#include "trunk/session.hpp"

using namespace nettlestall;
using namespace nettlestall::trunk;
using test::Random;

namespace {

// One end of a link, which records what it receives; `error` makes it refuse each message.
struct End final : LinkEvents {
    std::vector<CallRef> received_calls;
    int restarted = 0, resumed = 0;
    const char* error = nullptr;
    Session session;
    End(PointCodes point_codes, std::uint32_t incarnation, int circuits = 30)
        : session({point_codes, 7, circuits}, incarnation, *this) {}
    void link_up(bool is_resumed) override { ++(is_resumed ? resumed : restarted); }
    const char* received(const Message& message) override {
        if (error) return error;
        received_calls.push_back(std::get<ReleaseComplete>(message).call);
        return nullptr;
    }
    void send(CallRef number) { session.send(ReleaseComplete{number}); }
};

// Two ends and the bytes in transit between them, which a break of the connection loses.
struct Link {
    End a{{10, 20}, 1}, b{{20, 10}, 1};
    std::string to_a, to_b;
    void connect() {
        a.session.connected(), b.session.connected();
        to_a.clear(), to_b.clear();
    }
    void disconnect() {
        a.session.disconnected(), b.session.disconnected();
        to_a.clear(), to_b.clear();
    }
    void collect() { to_b += a.session.take_output(), to_a += b.session.take_output(); }
    bool deliver_all() {  // until nothing is in transit
        for (collect(); !to_a.empty() || !to_b.empty(); collect())
            if (!a.session.receive_bytes(std::exchange(to_a, {})) ||
                !b.session.receive_bytes(std::exchange(to_b, {})))
                return false;
        return true;
    }
};

// 1 to `last`.
std::vector<CallRef> up_to(CallRef last) {
    std::vector<CallRef> all;
    for (CallRef n = 1; n <= last; ++n) all.push_back(n);
    return all;
}

void broken_connections_lose_no_message() {
    Random random{3};
    for (int run = 0; run < 300; ++run) {
        Link link;
        link.connect();
        CHECK(link.deliver_all());
        CallRef sent[2] = {0, 0};
        for (int step = 0; step < 60; ++step) {
            switch (random.below(6)) {
                case 0:
                    link.disconnect();
                    link.connect();
                    break;
                case 1:
                    link.a.session.send_heartbeat(), link.b.session.send_heartbeat();
                    break;
                case 2:
                case 3:
                    link.a.send(++sent[0]);
                    break;
                case 4:
                    link.b.send(++sent[1]);
                    break;
                default:  // deliver a part of what is in transit
                    link.collect();
                    const auto take_part = [&random](std::string& bytes) {
                        std::string part = bytes.substr(0, random.below(bytes.size() + 1));
                        bytes.erase(0, part.size());
                        return part;
                    };
                    CHECK(link.a.session.receive_bytes(take_part(link.to_a)) &&
                          link.b.session.receive_bytes(take_part(link.to_b)));
            }
        }
        link.disconnect();
        link.connect();
        CHECK(link.deliver_all());
        CHECK(link.b.received_calls == up_to(sent[0]) && link.a.received_calls == up_to(sent[1]));
        CHECK(link.a.restarted <= 2 && link.b.restarted == link.a.restarted);
    }
}

void new_incarnation_restarts_the_link() {
    Link link;
    link.connect();
    CHECK(link.deliver_all() && link.a.restarted == 1 && link.b.restarted == 1);
    link.a.send(1);
    CHECK(link.deliver_all());
    link.a.send(2);  // lost in the restart of the far end
    link.disconnect();
    End again({20, 10}, 2);
    link.a.session.connected(), again.session.connected();
    for (std::string to_a, to_b;;) {
        to_b = link.a.session.take_output(), to_a = again.session.take_output();
        if (to_a.empty() && to_b.empty()) break;
        CHECK(link.a.session.receive_bytes(to_a) && again.session.receive_bytes(to_b));
    }
    CHECK(link.a.restarted == 2 && link.a.resumed == 0 && again.restarted == 1 &&
          again.received_calls.empty());
    // An end that starts a new incarnation because the link was down for too long: both ends restart the
    // link.
    Link renewed;
    renewed.connect();
    CHECK(renewed.deliver_all());
    renewed.a.session.begin_new_incarnation();
    renewed.disconnect();
    renewed.connect();
    CHECK(renewed.deliver_all() && renewed.a.restarted == 2 && renewed.b.restarted == 2);
    // The same if only one end receives the other's hello before the connection breaks again.
    Link half_open;
    half_open.connect();
    CHECK(half_open.deliver_all());
    half_open.a.session.begin_new_incarnation();
    half_open.disconnect();
    half_open.connect();
    half_open.collect();
    CHECK(half_open.a.session.receive_bytes(half_open.to_a));
    half_open.disconnect();
    half_open.connect();
    CHECK(half_open.deliver_all() && half_open.b.restarted == 2 && half_open.b.resumed == 0 &&
          half_open.a.resumed == 0);
}

void mismatched_hello_is_refused() {
    const auto close_reason = [](End a, End b) {
        a.session.connected(), b.session.connected();
        a.session.take_output();
        const bool accepted = a.session.receive_bytes(b.session.take_output());
        CHECK(!accepted && !a.session.is_up() && a.session.counts().mismatched == 1);
        CHECK(!b.session.receive_bytes(a.session.take_output()));  // the far end is told why
        CHECK(b.session.close_reason().find(a.session.close_reason()) != std::string::npos);
        return a.session.close_reason();
    };
    CHECK(close_reason(End({10, 20}, 1), End({20, 10}, 1, 31)) ==
          "number of circuits is 31 there and 30 here");
    CHECK(close_reason(End({10, 20}, 1), End({21, 10}, 1)) ==
          "point code of the far end is 21 there and 20 here");
    CHECK(close_reason(End({10, 20}, 1), End({20, 11}, 1)) ==
          "point code of this end is 11 there and 10 here");
}

// Repeated messages are ignored. Missing or invented sequence numbers, frames before or after their time, and
// malformed bytes close the connection.
void invalid_frames_close_the_connection() {
    const auto receive = [](End& end, const Frame& frame) {
        return end.session.receive_bytes(encode(frame));
    };
    const auto open = [](End& end) {
        end.session.connected();
        CHECK(end.session.receive_bytes(encode(Hello{.point = 20,
                                                     .far_point = 10,
                                                     .group = 7,
                                                     .circuits = 30,
                                                     .incarnation = 5,
                                                     .far_incarnation = 0,
                                                     .received = 0})));
    };
    End end({10, 20}, 1);
    CHECK(!receive(end, NumberedMessage{1, 0, ReleaseComplete{1}}));  // before the hello
    End other({10, 20}, 1);
    open(other);
    CHECK(receive(other, NumberedMessage{1, 0, ReleaseComplete{1}}) &&
          receive(other, NumberedMessage{1, 0, ReleaseComplete{1}}));
    CHECK(receive(other, NumberedMessage{2, 0, ReleaseComplete{2}}) &&
          receive(other, NumberedMessage{1, 0, ReleaseComplete{1}}));
    CHECK(other.received_calls == up_to(2) && other.session.counts().repeated == 2);
    CHECK(!receive(other, NumberedMessage{4, 0, ReleaseComplete{4}}));  // one is missing
    CHECK(other.received_calls == up_to(2));
    other.session.disconnected();
    open(other);  // the far end does not know this incarnation: the link restarts
    CHECK(other.restarted == 2);
    CHECK(!receive(other, Heartbeat{1}));  // confirms a message that was never sent
    End third({10, 20}, 1);
    open(third);
    CHECK(!receive(third, Hello{.point = 20, .far_point = 10, .group = 7, .circuits = 30, .incarnation = 5}));
    End fourth({10, 20}, 1);
    open(fourth);
    fourth.error = "an invalid message";
    CHECK(!receive(fourth, NumberedMessage{1, 0, ReleaseComplete{1}}) &&
          fourth.session.close_reason() == fourth.error);
    End fifth({10, 20}, 1);
    open(fifth);
    CHECK(!fifth.session.receive_bytes(std::string(8, '\xff')) && fifth.session.counts().malformed == 1);
}

void unconfirmed_messages_are_limited() {
    Link link;
    link.connect();
    CHECK(link.deliver_all());
    const std::string description(30'000, 'x');
    for (int i = 0; i < 1000 && link.a.session.is_connected(); ++i)
        link.a.session.send(Answer{1, description});
    CHECK(!link.a.session.is_connected() && !link.a.session.has_output());
    link.disconnect();
    link.connect();
    CHECK(link.deliver_all() && link.a.restarted == 2 && link.b.received_calls.empty());
}

}  // namespace

int main() {
    broken_connections_lose_no_message();
    new_incarnation_restarts_the_link();
    mismatched_hello_is_refused();
    invalid_frames_close_the_connection();
    unconfirmed_messages_are_limited();
}
