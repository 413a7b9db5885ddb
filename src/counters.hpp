// Counts of everything that the gatekeeper has received, sent and answered.
#pragma once

#include <cstdint>
#include <ostream>

namespace nettlestall {

// All counts run from the start of the process. Each is written to the log under its own name.
struct Counters {
    // Set-ups from callers.
    std::uint64_t set_ups = 0;  // with a new id
    std::uint64_t transit = 0;  // of these: in transit
    std::uint64_t redials = 0;  // of these: marked as redials
    // With the id of a call that is in the table already, that another process has taken, or that is over and
    // may have run; not in set_ups. One that does not come on the call's own connection is answered with the
    // cause `fault`, which is not in failed.
    std::uint64_t repeated = 0;

    // Read after the caller had closed its connection, and so given up before they were taken.
    std::uint64_t set_ups_after_close = 0;

    // Final answers to callers.
    std::uint64_t answered = 0;  // the call was answered
    std::uint64_t refused = 0;   // with the cause `no circuit`, after which the caller may dial again
    // Set-ups that were refused, or failed, while there was no room in memory for their texts.
    std::uint64_t refused_for_memory = 0;
    std::uint64_t failed = 0;  // with the cause `fault`, after a fault or for a set-up that can't be served
    std::uint64_t abandoned = 0;  // none was needed: the caller cancelled or its connection closed
    std::uint64_t overdue = 0;    // failed by the timer that guards the time limit; not in failed

    // Attempts at carrier switches.
    std::uint64_t attempts = 0;   // set-ups sent
    std::uint64_t held_back = 0;  // set-ups that the decision module asked for and that were not allowed
    std::uint64_t timed_out = 0;  // no answer within the time limit
    std::uint64_t cancelled = 0;  // cancelled by the decision module

    // Outcomes of attempts.
    std::uint64_t stood = 0;        // answered: the call became a standing call
    std::uint64_t turned_back = 0;  // rejected for want of a circuit or of processor capacity
    std::uint64_t errors = 0;       // rejected for any other reason
    // The connection broke, the switch released the call with the cause `reset`, or the call ended in the
    // normal way though its answer had been lost.
    std::uint64_t reset = 0;
    std::uint64_t unreachable = 0;  // there was no connection to the carrier switch
    // Without effect: the switch found the time limit over, or the set-up still waited for a connection when
    // the exchange began to drain.
    std::uint64_t moot = 0;

    // Standing calls (answered and not yet over).
    std::uint64_t ended = 0;     // ended in the normal way, by either side
    std::uint64_t cut = 0;       // ended by a fault
    std::uint64_t released = 0;  // of those ended: by the caller
    std::uint64_t crossed = 0;   // answers to cancelled set-ups; the switch was sent a release

    // Other messages.
    std::uint64_t group_states = 0;  // reports on the circuits toward an exchange
    std::uint64_t list_events = 0;   // events of the control feed
    std::uint64_t tests = 0;         // health checks on callers' connections
    std::uint64_t ignored = 0;       // messages without effect
    std::uint64_t malformed = 0;     // messages that could not be read; the connection was closed

    // Connections of callers.
    std::uint64_t client_connections = 0;              // accepted
    std::uint64_t client_connections_turned_away = 0;  // closed at once: too many are open
    // Any connection: closed because the far end reads too slowly, after its share of the memory for messages
    // was used up or it had taken nothing for too long.
    std::uint64_t overflowed = 0;
    // Releases of standing calls that did not go to the connection of the set-up in this process.
    std::uint64_t releases_relayed = 0;    // given to the predecessor, which may hold that connection
    std::uint64_t releases_elsewhere = 0;  // sent on another connection of the caller
    std::uint64_t releases_held = 0;       // kept until the caller has a connection
    // Releases, to either side, sent again after their connection had ended without a confirmation.
    std::uint64_t releases_repeated = 0;
    // Answers of carrier switches that the caller was not sent, since it reads too slowly: it got a failure.
    std::uint64_t answers_without_room = 0;
    // Attempts that were not sent, since the carrier switch reads too slowly; in unreachable too.
    std::uint64_t set_ups_without_room = 0;
    std::uint64_t client_connections_displaced = 0;  // closed to make room for another caller's connection
    std::uint64_t client_connections_overdue = 0;    // closed: no whole message in time
    std::uint64_t client_connections_sent_away = 0;  // closed because of a drain
    std::uint64_t drains = 0;                        // commands to drain

    // Upgrades.
    std::uint64_t handovers_taken = 0;                // taken over from a predecessor process
    std::uint64_t handovers_given = 0;                // handed over to a successor process
    std::uint64_t handovers_taken_back = 0;           // of these: taken back, since the successor had gone
    std::uint64_t client_connections_passed_on = 0;   // callers' connections passed on to the successor
    std::uint64_t client_connections_taken_over = 0;  // callers' connections received from the predecessor
    std::uint64_t calls_taken_over = 0;               // standing calls, also those from the circuit ledger

    // Reloads of the configuration, on SIGHUP.
    std::uint64_t reloads = 0;          // applied
    std::uint64_t reloads_refused = 0;  // not applied

    // Attempts whose last byte was written to a carrier switch's connection.
    std::uint64_t set_ups_written = 0;

    // Operators' HTTP connections.
    std::uint64_t operator_calls = 0;            // accepted
    std::uint64_t operator_calls_answered = 0;   // with a reply that was sent
    std::uint64_t operator_calls_displaced = 0;  // closed to make room for a newer one

    // Connections that this process opens.
    std::uint64_t switch_connections = 0;       // to carrier switches
    std::uint64_t switch_connections_lost = 0;  // of these: ended by the far end or by a fault
    // Of switch_connections: opened beside another one, as a connection had ended while calls stood.
    std::uint64_t switch_refreshes = 0;
    std::uint64_t feed_connections = 0;  // to the control feed
    // Subscriptions to the feed that were silent for so long that another one was begun: they spoke first all
    // the same, or the other one did.
    std::uint64_t feed_subscriptions_slow = 0, feed_subscriptions_silent = 0;

    // Attempts that were cancelled because their reported end may be that of an earlier attempt.
    std::uint64_t withdrawn = 0;
    // Answers and ends that came on another connection than the set-up that is out, and so concern an earlier
    // one of the call.
    std::uint64_t stale_messages = 0;
    // Ends that a carrier switch reported of calls without an attempt or a standing call there.
    std::uint64_t ends_ignored = 0;
};

// Calls f(name, count) for each counter, in the order of the line in the log.
template <class F>
void for_each(const Counters& c, F&& f) {
    f("set_ups", c.set_ups), f("transit", c.transit), f("redials", c.redials), f("repeated", c.repeated);
    f("set_ups_after_close", c.set_ups_after_close);
    f("answered", c.answered), f("refused", c.refused), f("failed", c.failed), f("abandoned", c.abandoned);
    f("overdue", c.overdue), f("attempts", c.attempts), f("held_back", c.held_back);
    f("timed_out", c.timed_out), f("cancelled", c.cancelled), f("stood", c.stood);
    f("turned_back", c.turned_back), f("errors", c.errors), f("reset", c.reset);
    f("unreachable", c.unreachable), f("moot", c.moot), f("ended", c.ended), f("cut", c.cut);
    f("released", c.released), f("crossed", c.crossed), f("group_states", c.group_states);
    f("list_events", c.list_events), f("tests", c.tests), f("ignored", c.ignored);
    f("malformed", c.malformed), f("client_connections", c.client_connections);
    f("client_connections_turned_away", c.client_connections_turned_away);
    f("client_connections_displaced", c.client_connections_displaced);
    f("client_connections_overdue", c.client_connections_overdue);
    f("client_connections_sent_away", c.client_connections_sent_away), f("drains", c.drains);
    f("handovers_taken", c.handovers_taken), f("handovers_given", c.handovers_given);
    f("handovers_taken_back", c.handovers_taken_back);
    f("client_connections_passed_on", c.client_connections_passed_on);
    f("client_connections_taken_over", c.client_connections_taken_over);
    f("calls_taken_over", c.calls_taken_over);
    f("releases_relayed", c.releases_relayed), f("releases_elsewhere", c.releases_elsewhere);
    f("releases_held", c.releases_held);
    f("releases_repeated", c.releases_repeated);
    f("overflowed", c.overflowed), f("answers_without_room", c.answers_without_room);
    f("set_ups_without_room", c.set_ups_without_room), f("reloads", c.reloads),
        f("reloads_refused", c.reloads_refused);
    f("set_ups_written", c.set_ups_written), f("operator_calls", c.operator_calls);
    f("operator_calls_answered", c.operator_calls_answered);
    f("operator_calls_displaced", c.operator_calls_displaced);
    f("switch_connections", c.switch_connections);
    f("switch_connections_lost", c.switch_connections_lost);
    f("switch_refreshes", c.switch_refreshes), f("feed_connections", c.feed_connections);
    f("feed_subscriptions_slow", c.feed_subscriptions_slow);
    f("feed_subscriptions_silent", c.feed_subscriptions_silent);
    f("withdrawn", c.withdrawn), f("stale_messages", c.stale_messages), f("ends_ignored", c.ends_ignored);
    f("refused_for_memory", c.refused_for_memory);
}

// Writes the line for the log: `counters` and name=value for each counter.
inline std::ostream& operator<<(std::ostream& out, const Counters& counters) {
    out << "counters";
    for_each(counters, [&out](const char* name, std::uint64_t count) { out << ' ' << name << '=' << count; });
    return out;
}

}  // namespace nettlestall
