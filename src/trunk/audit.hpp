// Audits: what to ask the far end of a group (circuit group query, Q.764, 2.8.3), whom to believe, and which
// circuits to free. No I/O and no clock.
#pragma once

#include <optional>
#include <vector>

#include "trunk/circuits.hpp"
#include "trunk/messages.hpp"

namespace nettlestall::trunk {

struct AuditRules {
    bool enabled = true;
    Duration interval = std::chrono::seconds(30);         // each circuit is asked about so often
    Duration response_timeout = std::chrono::seconds(5);  // for a response, before the question is put anew
    int confirmations = 2;                                // findings in a row until a circuit is freed
    int circuits_per_query = 256;                         // circuits in one question
    bool skip_changed_circuits =
        true;  // off only in tests: what happened since the question is not looked at
};

// A call is alive only where both ends hold it on the circuit. The link keeps the order of messages, so a
// circuit that has not changed here between the question and its response is seen by both ends at one
// moment: whatever the far end had done to it before it answered, this end would have heard before. Of a
// circuit that has changed nothing is concluded. That guards a circuit just seized, or a call just answered,
// whose news crosses the question.
class Audit {
   public:
    explicit Audit(const AuditRules& rules) : rules_(rules) {}
    // Other rules in service. The numbers of questions go on: guards against the response to an old question
    // being taken for that to a new one.
    void take(const AuditRules& rules) { rules_ = rules, out_.reset(), started_ = false; }

    // The next question if it is time for one; it is on its way then.
    std::optional<Query> ask(Instant now, const Circuits& circuits);
    // Circuits on which both ends have disagreed often enough. They are to be reset, with whatever is held.
    std::vector<CircuitNumber> judge(const QueryResponse& response, const Circuits& circuits);

    Instant next_timer() const;
    // The whole group is asked about from now on; by an operator's order, or upon a contradiction.
    void start_now(Instant now);
    void forget();  // the link starts anew: questions and findings with it

    std::uint64_t asked() const { return asked_count_; }
    std::uint64_t findings() const { return findings_; }
    int suspect_count() const;

   private:
    struct Asked {
        std::uint32_t id;
        Instant at;
        CircuitNumber first;
        std::vector<std::uint32_t> changes;
    };
    AuditRules rules_;
    std::optional<Asked> out_;
    std::uint32_t last_id_ = 0;
    CircuitNumber next_ = 1;
    Instant due_{};
    bool started_ = false;
    std::vector<int> suspicion_;  // by circuit, findings in a row
    std::uint64_t asked_count_ = 0, findings_ = 0;
};

}  // namespace nettlestall::trunk
