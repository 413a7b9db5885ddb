// The numbered link: what a break loses comes again, in order and once; what can't be is closed.
#include <deque>

#include "net/check.hpp"
#include "trunk/session.hpp"

using namespace nettlestall;
using namespace nettlestall::trunk;
using test::Random;

namespace {

struct End final : LinkEvents {
    std::vector<CallRef> heard;
    int anew = 0, resumed = 0;
    const char* wrong = nullptr;
    Session session;
    End(PointCodes point_codes, std::uint32_t incarnation, int circuits = 30)
        : session({point_codes, 7, circuits}, incarnation, *this) {}
    void link_up(bool again) override { ++(again ? resumed : anew); }
    const char* received(const Message& message) override {
        if (wrong) return wrong;
        heard.push_back(std::get<ReleaseComplete>(message).call);
        return nullptr;
    }
    void say(CallRef number) { session.send(ReleaseComplete{number}); }
};

struct Link {
    End a{{10, 20}, 1}, b{{20, 10}, 1};
    std::string to_a, to_b;
    void connect() {
        a.session.connected(), b.session.connected();
        to_a.clear(), to_b.clear();
    }
    void drop() {
        a.session.disconnected(), b.session.disconnected();
        to_a.clear(), to_b.clear();
    }
    void collect() { to_b += a.session.take_output(), to_a += b.session.take_output(); }
    bool pump() {  // until nothing is under way
        for (collect(); !to_a.empty() || !to_b.empty(); collect())
            if (!a.session.receive_bytes(std::exchange(to_a, {})) ||
                !b.session.receive_bytes(std::exchange(to_b, {})))
                return false;
        return true;
    }
};

std::vector<CallRef> up_to(CallRef last) {
    std::vector<CallRef> all;
    for (CallRef n = 1; n <= last; ++n) all.push_back(n);
    return all;
}

void a_break_loses_nothing() {
    Random dice{3};
    for (int run = 0; run < 300; ++run) {
        Link link;
        link.connect();
        CHECK(link.pump());
        CallRef said[2] = {0, 0};
        for (int step = 0; step < 60; ++step) {
            switch (dice.below(6)) {
                case 0:
                    link.drop();
                    link.connect();
                    break;
                case 1:
                    link.a.session.send_heartbeat(), link.b.session.send_heartbeat();
                    break;
                case 2:
                case 3:
                    link.a.say(++said[0]);
                    break;
                case 4:
                    link.b.say(++said[1]);
                    break;
                default:  // some of what is under way
                    link.collect();
                    const auto cut = [&dice](std::string& bytes) {
                        std::string part = bytes.substr(0, dice.below(bytes.size() + 1));
                        bytes.erase(0, part.size());
                        return part;
                    };
                    CHECK(link.a.session.receive_bytes(cut(link.to_a)) &&
                          link.b.session.receive_bytes(cut(link.to_b)));
            }
        }
        link.drop();
        link.connect();
        CHECK(link.pump());
        CHECK(link.b.heard == up_to(said[0]) && link.a.heard == up_to(said[1]));
        CHECK(link.a.anew <= 2 && link.b.anew == link.a.anew);
    }
}

void another_life_starts_anew() {
    Link link;
    link.connect();
    CHECK(link.pump() && link.a.anew == 1 && link.b.anew == 1);
    link.a.say(1);
    CHECK(link.pump());
    link.a.say(2);  // lost with the restart of the far end
    link.drop();
    End again({20, 10}, 2);
    link.a.session.connected(), again.session.connected();
    for (std::string to_a, to_b;;) {
        to_b = link.a.session.take_output(), to_a = again.session.take_output();
        if (to_a.empty() && to_b.empty()) break;
        CHECK(link.a.session.receive_bytes(to_a) && again.session.receive_bytes(to_b));
    }
    CHECK(link.a.anew == 2 && link.a.resumed == 0 && again.anew == 1 && again.heard.empty());
    // One that was down for too long renews itself; both ends see it.
    Link worn;
    worn.connect();
    CHECK(worn.pump());
    worn.a.session.begin_new_incarnation();
    worn.drop();
    worn.connect();
    CHECK(worn.pump() && worn.a.anew == 2 && worn.b.anew == 2);
    // The same where only one end hears the other's hello before the connection breaks once more.
    Link half;
    half.connect();
    CHECK(half.pump());
    half.a.session.begin_new_incarnation();
    half.drop();
    half.connect();
    half.collect();
    CHECK(half.a.session.receive_bytes(half.to_a));
    half.drop();
    half.connect();
    CHECK(half.pump() && half.b.anew == 2 && half.b.resumed == 0 && half.a.resumed == 0);
}

void those_who_differ_are_refused() {
    const auto complaint = [](End a, End b) {
        a.session.connected(), b.session.connected();
        a.session.take_output();
        const bool taken = a.session.receive_bytes(b.session.take_output());
        CHECK(!taken && !a.session.is_up() && a.session.counts().mismatched == 1);
        CHECK(!b.session.receive_bytes(a.session.take_output()));  // it is told why
        CHECK(b.session.close_reason().find(a.session.close_reason()) != std::string::npos);
        return a.session.close_reason();
    };
    CHECK(complaint(End({10, 20}, 1), End({20, 10}, 1, 31)) == "number of circuits is 31 there and 30 here");
    CHECK(complaint(End({10, 20}, 1), End({21, 10}, 1)) ==
          "point code of the far end is 21 there and 20 here");
    CHECK(complaint(End({10, 20}, 1), End({20, 11}, 1)) == "point code of this end is 11 there and 10 here");
}

// Repeated, reordered, made up: numbers that don't follow.
void numbers_must_follow() {
    const auto fed = [](End& end, const Frame& frame) { return end.session.receive_bytes(encode(frame)); };
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
    CHECK(!fed(end, NumberedMessage{1, 0, ReleaseComplete{1}}));  // before the hello
    End other({10, 20}, 1);
    open(other);
    CHECK(fed(other, NumberedMessage{1, 0, ReleaseComplete{1}}) &&
          fed(other, NumberedMessage{1, 0, ReleaseComplete{1}}));
    CHECK(fed(other, NumberedMessage{2, 0, ReleaseComplete{2}}) &&
          fed(other, NumberedMessage{1, 0, ReleaseComplete{1}}));
    CHECK(other.heard == up_to(2) && other.session.counts().repeated == 2);
    CHECK(!fed(other, NumberedMessage{4, 0, ReleaseComplete{4}}));  // one is missing
    CHECK(other.heard == up_to(2));
    other.session.disconnected();
    open(other);  // its life is another one to the far end: that starts anew
    CHECK(other.anew == 2);
    CHECK(!fed(other, Heartbeat{1}));  // confirms what was never sent
    End third({10, 20}, 1);
    open(third);
    CHECK(!fed(third, Hello{.point = 20, .far_point = 10, .group = 7, .circuits = 30, .incarnation = 5}));
    End fourth({10, 20}, 1);
    open(fourth);
    fourth.wrong = "a message that can't be";
    CHECK(!fed(fourth, NumberedMessage{1, 0, ReleaseComplete{1}}) &&
          fourth.session.close_reason() == fourth.wrong);
    End fifth({10, 20}, 1);
    open(fifth);
    CHECK(!fifth.session.receive_bytes(std::string(8, '\xff')) && fifth.session.counts().malformed == 1);
}

void a_far_end_that_confirms_nothing_fills_no_memory() {
    Link link;
    link.connect();
    CHECK(link.pump());
    const std::string description(30'000, 'x');
    for (int i = 0; i < 1000 && link.a.session.is_connected(); ++i)
        link.a.session.send(Answer{1, description});
    CHECK(!link.a.session.is_connected() && !link.a.session.has_output());
    link.drop();
    link.connect();
    CHECK(link.pump() && link.a.anew == 2 && link.b.heard.empty());
}

}  // namespace

int main() {
    a_break_loses_nothing();
    another_life_starts_anew();
    those_who_differ_are_refused();
    numbers_must_follow();
    a_far_end_that_confirms_nothing_fills_no_memory();
}
