#include "trunk/audit.hpp"

#include <algorithm>
#include <utility>

namespace nettlestall::trunk {

Instant Audit::next_timer() const {
    if (!rules_.enabled) return Instant::max();
    return out_ ? out_->at + rules_.response_timeout : due_;
}

void Audit::start_now(Instant now) {
    next_ = 1;
    due_ = now;
    started_ = true;
    out_.reset();
}

void Audit::forget() {
    out_.reset();
    suspicion_.clear();
    next_ = 1;
}

int Audit::suspect_count() const {
    return static_cast<int>(std::count_if(suspicion_.begin(), suspicion_.end(), [](int s) { return s > 0; }));
}

std::optional<Query> Audit::ask(Instant now, const Circuits& circuits) {
    if (!rules_.enabled) return std::nullopt;
    if (!std::exchange(started_, true)) due_ = now + rules_.interval;  // nothing is stuck at the very start
    if (now < next_timer()) return std::nullopt;
    if (next_ > circuits.size()) next_ = 1;
    Asked asked{++last_id_, now, next_, {}};
    const int count = std::min(rules_.circuits_per_query, circuits.size() - next_ + 1);
    for (CircuitNumber n = next_; n < next_ + count; ++n) asked.changes.push_back(circuits.at(n).changes);
    out_ = std::move(asked);
    ++asked_count_;
    return Query{last_id_, next_, count};
}

std::vector<CircuitNumber> Audit::judge(const QueryResponse& response, const Circuits& circuits) {
    // Late, repeated or never asked for.
    if (!out_ || response.id != out_->id || response.first != out_->first ||
        response.calls.size() != out_->changes.size())
        return {};
    const Asked asked = std::move(*out_);
    out_.reset();
    suspicion_.resize(static_cast<std::size_t>(circuits.size()));
    std::vector<CircuitNumber> stuck;
    bool doubted = false;
    for (std::size_t i = 0; i < asked.changes.size(); ++i) {
        const CircuitNumber n = asked.first + static_cast<CircuitNumber>(i);
        const Circuit& ours = circuits.at(n);
        int& suspicion = suspicion_[static_cast<std::size_t>(n - 1)];
        if (rules_.skip_changed_circuits && ours.changes != asked.changes[i]) {
            suspicion = 0;
            continue;
        }
        // Guards against a call that is just being let go: what awaits the other end's word heals by itself.
        if (ours.call == response.calls[i] || ours.is_transient() || response.calls[i] == kTransient) {
            suspicion = 0;
            continue;
        }
        ++findings_;
        if (++suspicion >= rules_.confirmations) {
            suspicion = 0;
            stuck.push_back(n);
        } else {
            doubted = true;
        }
    }
    next_ = asked.first + static_cast<CircuitNumber>(asked.changes.size());
    // A doubt is looked into soon, and what remains of the group is asked about at once.
    if (doubted) {
        next_ = asked.first;
        due_ = asked.at + std::min<Duration>(rules_.interval, std::chrono::seconds(1));
    } else {
        due_ = next_ > circuits.size() ? asked.at + rules_.interval : asked.at;
    }
    return stuck;
}

}  // namespace nettlestall::trunk
