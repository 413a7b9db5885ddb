#include "config/settings.hpp"

#include <utility>

namespace nettlestall::config {

using namespace json;

Settings read_settings(const json::Value& facts) {
    Settings s;
    const json::Value& kind = part_or_empty(facts, "family_info", false);
    const json::Value& limits = part(facts, "limits", false);
    const json::Value& rules = part(facts, "obligations", false);
    const json::Value& prices = part_or_empty(facts, "prices", false);
    const json::Value& report = part_or_empty(facts, "report", false);

    s.own_exchange = take(kind, "this_node", kNoExchange);
    s.own_index = need<int>(facts, "self_index");
    s.call_control_count = need<int>(facts, "fleet_size");
    s.own_zone = take<std::string>(facts, "zone", "");
    s.uses_pools = take<std::string>(kind, "layout", "mesh") == "pools";
    s.over_share_worth = take(facts, "over_share_worth", 1.0);
    s.min_event_interval = time_or(facts, "step_s");

    const json::Value& holds = part_or_empty(kind, "class_hold_s", true);
    const json::Value& widths = part_or_empty(kind, "class_width", true);
    const json::Value& skills = part_or_empty(kind, "skilled_pools", true);
    for (const json::Value& grade : part(facts, "grades", true).GetArray()) {
        if (!grade.IsObject()) bad("'grades' must hold objects");
        const auto i = static_cast<rapidjson::SizeType>(s.classes.size());
        ClassSettings c;
        c.name = need<std::string>(grade, "name");
        c.worth = take(grade, "points", 1.0);
        c.late_worth = take(grade, "late_worth", 0.0);
        c.aim = need_time(grade, "aim_s");
        c.deadline = need_time(grade, "deadline_s");
        c.aim_stretch = take(grade, "aim_stretch", 0.0);
        if (i < widths.Size()) c.width = value<int>(widths[i], "class_width");
        if (i < holds.Size()) c.holding_time = micros(value<double>(holds[i], "class_hold_s"));
        const std::string repeat = take<std::string>(grade, "repeat", "retryable");
        c.repeat = repeat == "retryable" ? RepeatPolicy::safe
                   : repeat == "dedup"   ? RepeatPolicy::discarded_by_group
                                         : RepeatPolicy::never;
        const std::string scope = take<std::string>(grade, "group", "all");
        c.repeat_scope = scope == "zone"   ? RepeatScope::zone
                         : scope == "cell" ? RepeatScope::exchange
                                           : RepeatScope::all;
        c.repeat_window = time_or(grade, "window_s");
        if (i < skills.Size() && skills[i].IsArray())
            for (const json::Value& pool : skills[i].GetArray())
                c.pools.push_back(value<int>(pool, "skilled_pools"));
        s.classes.push_back(std::move(c));
    }
    if (s.classes.empty()) bad("'grades' is empty");
    for (const json::Value& party : part_or_empty(facts, "parties", true).GetArray()) {
        if (!party.IsObject()) bad("'parties' must hold objects");
        s.tenants.push_back(
            {need<std::string>(party, "name"), take(party, "quota_per_s", 0.0), take(party, "portion", 0.0)});
    }

    s.max_attempts = take(limits, "send_cap", 1);
    s.max_open_calls = take(limits, "open_cap", 0);
    s.may_cancel = take(limits, "cancel", false);
    s.may_probe = take(limits, "probes", false);
    s.may_message_peers = take(limits, "peers", false);
    s.may_advise_pause = take(limits, "retry_after", false);
    s.may_duplicate = take(limits, "may_duplicate", false);
    s.max_pause = time_or(limits, "max_retry_after_s");

    s.list_on_request = take<std::string>(facts, "discovery", "pushed") == "on_request";
    s.list_request_time_limit = time_or(rules, "must_ask_in_s");
    s.callers_mark_redials = take(part_or_empty(facts, "client_habits", false), "marks_retry", false);
    s.centre_advises_tandem = take(kind, "hints_route", false);
    s.reports_wait = take(kind, "retry_hint", false);
    s.set_up_repeat_interval = time_or(kind, "resend_s");
    const std::string source = take<std::string>(report, "source", "off");
    s.reports_load = source == "inline";
    s.reports_load_on_probe = source != "off";

    s.answer_grace = time_or(rules, "grace_to_answer_s");
    s.drain_grace = time_or(rules, "drain_grace_s");
    s.release_wait = time_or(kind, "release_s");
    s.cold_start_share = take(rules, "cold_from", 1.0);
    s.warm_up_time = time_or(rules, "ramp_time_s");
    s.overload_multiple = take(rules, "fall_multiple", 0.0);
    s.overload_span = time_or(rules, "fall_s");
    s.prices = {take(prices, "late_fail", 0.0), take(prices, "waste", 0.0),
                take(prices, "probe", 0.0),     take(prices, "peer", 0.0),
                take(prices, "discovery", 0.0), take(prices, "cross_zone", 0.0)};
    return s;
}

NetSettings read_net_settings(const json::Value& facts) {
    const Duration told = time_or(part(facts, "limits", false), "dial_timeout_s", 0.5);
    if (told <= Duration::zero()) bad_key("dial_timeout_s", "more than 0");
    return {told};
}

}  // namespace nettlestall::config
