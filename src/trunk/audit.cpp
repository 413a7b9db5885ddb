#include "trunk/audit.hpp"

#include <algorithm>
#include <utility>

namespace nettlestall::trunk {

Instant Audit::next_timer() const {
    if (!rules_.enabled) return Instant::max();
    return outstanding_ ? outstanding_->sent_at + rules_.response_timeout : next_query_at_;
}

void Audit::start_now(Instant now) {
    next_circuit_ = 1;
    next_query_at_ = now;
    started_ = true;
    outstanding_.reset();
}

void Audit::clear() {
    outstanding_.reset();
    mismatches_in_a_row_.clear();
    next_circuit_ = 1;
}

int Audit::suspect_count() const {
    return static_cast<int>(std::count_if(mismatches_in_a_row_.begin(), mismatches_in_a_row_.end(),
                                          [](int in_a_row) { return in_a_row > 0; }));
}

std::optional<Query> Audit::next_query(Instant now, const Circuits& circuits) {
    if (!rules_.enabled) return std::nullopt;
    if (!std::exchange(started_, true))
        next_query_at_ = now + rules_.interval;  // no circuit can be stuck right after the start
    if (now < next_timer()) return std::nullopt;
    if (next_circuit_ > circuits.size()) next_circuit_ = 1;
    OutstandingQuery query{++last_id_, now, next_circuit_, {}};
    const int count = std::min(rules_.circuits_per_query, circuits.size() - next_circuit_ + 1);
    for (CircuitNumber n = next_circuit_; n < next_circuit_ + count; ++n)
        query.changes.push_back(circuits.at(n).changes);
    outstanding_ = std::move(query);
    ++queries_;
    return Query{last_id_, next_circuit_, count};
}

std::vector<CircuitNumber> Audit::evaluate(const QueryResponse& response, const Circuits& circuits) {
    // A late or repeated response, or one to a query that was never sent.
    if (!outstanding_ || response.id != outstanding_->id || response.first != outstanding_->first ||
        response.calls.size() != outstanding_->changes.size())
        return {};
    const OutstandingQuery query = std::move(*outstanding_);
    outstanding_.reset();
    mismatches_in_a_row_.resize(static_cast<std::size_t>(circuits.size()));
    std::vector<CircuitNumber> stuck;
    bool has_suspects = false;
    for (std::size_t i = 0; i < query.changes.size(); ++i) {
        const CircuitNumber n = query.first + static_cast<CircuitNumber>(i);
        const Circuit& circuit = circuits.at(n);
        int& in_a_row = mismatches_in_a_row_[static_cast<std::size_t>(n - 1)];
        if (rules_.skip_changed_circuits && circuit.changes != query.changes[i]) {
            in_a_row = 0;
            continue;
        }
        // A circuit that waits for a message from the other end, such as one whose call is being released,
        // reaches a definite state without the audit.
        if (circuit.call == response.calls[i] || circuit.is_transient() || response.calls[i] == kTransient) {
            in_a_row = 0;
            continue;
        }
        ++mismatches_;
        if (++in_a_row >= rules_.confirmations) {
            in_a_row = 0;
            stuck.push_back(n);
        } else {
            has_suspects = true;
        }
    }
    next_circuit_ = query.first + static_cast<CircuitNumber>(query.changes.size());
    // Suspect circuits are queried again one second after this query, or after the interval if that is
    // shorter. If there are none, the rest of the group is queried at once.
    if (has_suspects) {
        next_circuit_ = query.first;
        next_query_at_ = query.sent_at + std::min<Duration>(rules_.interval, std::chrono::seconds(1));
    } else {
        next_query_at_ = next_circuit_ > circuits.size() ? query.sent_at + rules_.interval : query.sent_at;
    }
    return stuck;
}

}  // namespace nettlestall::trunk
