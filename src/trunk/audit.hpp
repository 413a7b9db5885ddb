// Audits of a circuit group: which circuits to query at the far end (circuit group query, Q.764, 2.8.3), how
// to judge its responses, and which circuits to reset. No I/O and no clock: the caller passes the time.
#pragma once

#include <optional>
#include <vector>

#include "trunk/circuits.hpp"
#include "trunk/messages.hpp"

namespace nettlestall::trunk {

// When circuits are queried, and when a mismatch leads to a reset.
struct AuditRules {
    bool enabled = true;
    Duration interval = std::chrono::seconds(30);         // between two queries about the same circuit
    Duration response_timeout = std::chrono::seconds(5);  // then the query is repeated
    int confirmations = 2;         // mismatches in a row after which a circuit is reset
    int circuits_per_query = 256;  // at most
    // Draw no conclusion about circuits that changed after the query. Off only in tests and experiments.
    bool skip_changed_circuits = true;
};

// Compares this end's circuits with the far end's. A call is alive only where both ends hold it on the
// circuit.
//
// The link keeps the order of messages. A circuit that has not changed here between query and response is
// therefore compared as of one moment at both ends: anything that the far end did to it before it responded
// would have been received here before the response. No conclusion is drawn about a circuit that has changed,
// so that a circuit just seized or a call just answered, whose message crosses the query, is not taken for a
// mismatch.
class Audit {
   public:
    explicit Audit(const AuditRules& rules) : rules_(rules) {}
    // Changes the rules in service. Query numbers continue, so that the response to an earlier query is not
    // mistaken for the response to a new one.
    void set_rules(const AuditRules& rules) { rules_ = rules, outstanding_.reset(), started_ = false; }

    // The next query if one is due, to be sent by the caller; else std::nullopt.
    std::optional<Query> next_query(Instant now, const Circuits& circuits);
    // Evaluates a response. Returns the circuits on which both ends have disagreed often enough; they are to
    // be reset together with whatever call is on them. Responses to any other query than the last are
    // ignored.
    std::vector<CircuitNumber> evaluate(const QueryResponse& response, const Circuits& circuits);

    // When next_query() has something to do; Instant::max() if audits are off.
    Instant next_timer() const;
    // Starts to query the whole group at once: on an operator's command, or after a contradiction.
    void start_now(Instant now);
    // The link has restarted: the outstanding query and all mismatches so far no longer count.
    void clear();

    // Queries made, and mismatches found on circuits, since this object was created.
    std::uint64_t queries() const { return queries_; }
    std::uint64_t mismatches() const { return mismatches_; }
    // Circuits with a mismatch that is not confirmed yet.
    int suspect_count() const;

   private:
    struct OutstandingQuery {
        std::uint32_t id;
        Instant sent_at;
        CircuitNumber first;
        std::vector<std::uint32_t> changes;  // Circuit::changes of each circuit when the query was made
    };
    AuditRules rules_;
    std::optional<OutstandingQuery> outstanding_;
    std::uint32_t last_id_ = 0;
    CircuitNumber next_circuit_ = 1;
    Instant next_query_at_{};
    bool started_ = false;
    std::vector<int> mismatches_in_a_row_;  // per circuit
    std::uint64_t queries_ = 0, mismatches_ = 0;
};

}  // namespace nettlestall::trunk
