// Which faults a run has, and how often. Probabilities are for each occasion.
#pragma once

#include "lab/simulation.hpp"

namespace nettlestall::soak {

struct Faults {
    // Of a set-up at a switch; the rest is answered.
    double refusal = 0.15, error = 0.04, reset = 0.06, silence = 0.02, partial_answer = 0.06,
           lost_answer = 0.03;
    // Of an answer or a refusal.
    double second_copy = 0.1, in_pieces = 0.15;
    double reply_to_release = 0.3;  // a switch replies to a release with a release of its own
    double late_accept = 0.1;       // a new connection stays unused at first
    // Times a second, for one switch each.
    double connection_loss = 0.15, crash = 0.08, hang = 0.08, replacement = 0.05, drain = 0.05;
    // Times a second, for one gatekeeper each.
    double discovery_down = 0.08, discovery_silent = 0.05, reload = 0.1, termination = 0.1, kill = 0.03;
    // Of a caller's set-up.
    double give_up = 0.06, slow_caller = 0.1, repeated_set_up = 0.03, bad_client = 0.02, caller_closes = 0.02;
    double calls_per_second = 8;  // on each of a gatekeeper's connections

    // Draws the faults of one run: each kind is left out, usual, or three times as frequent.
    static Faults draw(lab::Random& random) {
        Faults faults;
        for (double* const kind : {&faults.refusal,
                                   &faults.error,
                                   &faults.reset,
                                   &faults.silence,
                                   &faults.partial_answer,
                                   &faults.lost_answer,
                                   &faults.second_copy,
                                   &faults.in_pieces,
                                   &faults.reply_to_release,
                                   &faults.late_accept,
                                   &faults.connection_loss,
                                   &faults.crash,
                                   &faults.hang,
                                   &faults.replacement,
                                   &faults.drain,
                                   &faults.discovery_down,
                                   &faults.discovery_silent,
                                   &faults.reload,
                                   &faults.termination,
                                   &faults.kill,
                                   &faults.give_up,
                                   &faults.slow_caller,
                                   &faults.repeated_set_up,
                                   &faults.bad_client,
                                   &faults.caller_closes}) {
            constexpr double kFactors[] = {0, 1, 1, 3};
            *kind *= kFactors[random.draw_below(4)];
        }
        if (random.draw_bool(0.3)) faults.calls_per_second *= 6;  // a crowd
        return faults;
    }
};

}  // namespace nettlestall::soak
