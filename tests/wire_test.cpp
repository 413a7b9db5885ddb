// Tests the translation between the simulator and call control.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "host.hpp"

namespace nettlestall::wire {
namespace {

using nlohmann::json;

// The settings of an instance.
json facts() {
    return json::parse(R"({"discovery":"pushed","self_index":0,"fleet_size":2,"step_s":0.005,
        "family_info":{"class_hold_s":[10],"class_width":[1],"this_node":0,"layout":"mesh","release_s":0.2},
        "grades":[{"name":"speech","points":1,"aim_s":1.0,"deadline_s":9.0,"repeat":"retryable"}],
        "limits":{"send_cap":3},"obligations":{"grace_to_answer_s":0.02,"drain_grace_s":1.0}})");
}

// Inputs of a batch, as the simulator sends them.
json born(int entropy = 5) {
    return {{"cmd", "born"}, {"entropy", entropy}, {"facts", facts()}};
}

json census(const char* name, int buffer = 0) {
    return {{"cmd", "census"},
            {"buffer", buffer},
            {"members_list",
             {{{"exchange", "here:1"}, {"node_no", 0}, {"health", "Ready"}, {"size", 1}},
              {{"exchange", name}, {"node_no", 1}, {"health", "Ready"}, {"size", 1}, {"new_key", 7}}}}};
}
json sync(const char* kind, int buffer = 0) {
    return {{"cmd", "sync"}, {"buffer", buffer}, {"generation", 1}, {"kind", kind}};
}
json health(const char* name, int free) {
    return {{"cmd", "health"},
            {"disposition", "S"},
            {"exchange", name},
            {"lag_s", 0.0},
            {"usage", {{"free", free}, {"size", 10}, {"can_take", -1}, {"unknown_key", 3}}}};
}
json demand(const char* id) {
    return {{"cmd", "demand"}, {"xid", id},      {"dest", 1},
            {"channels", 1},   {"grace_s", 3.0}, {"category", "speech"}};
}

class Wire : public testing::Test {
   protected:
    // The next batch, with these inputs by router number.
    json batch(std::vector<std::pair<int, json>> groups) {
        json b{{"ts_s", 100.0 + 0.01 * number}, {"n", number}, {"groups", json::array()}};
        for (auto& [router, input] : groups) b["groups"].push_back({{"router", router}, {"input", input}});
        ++number;
        return b;
    }
    // Hands the next batch to the host and returns the reply.
    json play(std::vector<std::pair<int, json>> groups) {
        return json::parse(host.handle_batch(batch(groups).dump()));
    }
    // The error text for a line; empty if there is none.
    std::string error_of(const std::string& line) {
        try {
            host.handle_batch(line);
        } catch (const BadInput& error) {
            EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
            return error.what();
        }
        return "";
    }
    // The error text for an event to an instance that is in service.
    std::string error_of(const json& event) {
        play({{0, {born(), census("a:1"), sync("cached")}}});
        return error_of(batch({{0, json::array({event})}}).dump());
    }
    // The exchange of the last "assign" in a reply, by router number.
    static std::map<int, std::string> assigned(const json& reply) {
        std::map<int, std::string> to;
        for (const json& group : reply.at("groups"))
            for (const json& action : group.at("actions"))
                if (action.at("cmd") == "assign") to[group.at("router")] = action.at("exchange");
        return to;
    }
    Host host;
    int number = 1;  // of the next batch
};

TEST_F(Wire, RepliesToAnEmptyBatchWithItsNumber) {
    EXPECT_EQ(play({}), json::parse(R"({"n":1,"groups":[]})"));
}

TEST_F(Wire, AssignsACallWithItsIdAndATimeOut) {
    play({{0, {born(), census("a:1"), sync("cached"), health("a:1", 10)}}});
    const json reply = play({{0, json::array({demand("id-1")})}});
    EXPECT_EQ(reply.at("n"), 2);
    const json action = reply.at("groups").at(0).at("actions").at(0);
    EXPECT_EQ(action.at("cmd"), "assign");
    EXPECT_EQ(action.at("xid"), "id-1");
    EXPECT_EQ(action.at("exchange"), "a:1");
    EXPECT_GT(action.at("max_wait_s").get<double>(), 1.0);
    EXPECT_EQ(action.size(), 4u);
}

TEST_F(Wire, ACensusAppliesToAllInstancesInEventOrder) {
    const json reply = play({{0, {census("a:1"), born(), sync("cached"), health("a:1", 10), demand("p")}},
                             {1, {born(6), sync("cached"), health("a:1", 10), demand("q")}},
                             {2, {born(7), census("b:1"), sync("full"), health("b:1", 10), demand("r")}}});
    EXPECT_EQ(assigned(reply), (std::map<int, std::string>{{0, "a:1"}, {1, "a:1"}, {2, "b:1"}}));
}

TEST_F(Wire, RetireAndBornInOneBatchStartAnew) {
    play({{0, {born(), census("a:1"), sync("cached"), health("a:1", 10)}}});
    const json reply = play({{0,
                              {demand("old"),
                               {{"cmd", "retire"}},
                               born(9),
                               census("b:1"),
                               sync("cached"),
                               health("b:1", 10),
                               demand("new")}}});
    EXPECT_EQ(assigned(reply).at(0), "b:1");
    EXPECT_EQ(reply.dump().find("old"), std::string::npos);
}

TEST_F(Wire, AcceptsOmittedFieldsAndUnknownKeys) {
    play({{0, {born(), census("a:1"), sync("cached"), health("a:1", 10)}}});
    json call = demand("id-1");
    call["unknown_key"] = {1, 2};
    EXPECT_EQ(assigned(play({{0, json::array({call})}})).at(0), "a:1");
    play({{0,
           {{{"cmd", "flowing"}, {"xid", "id-1"}, {"n", 0}, {"exchange", "a:1"}},
            {{"cmd", "completed"},
             {"xid", "id-1"},
             {"n", 0},
             {"exchange", "a:1"},
             {"disposition", "S"},
             {"last", true}},
            {{"cmd", "neighbour_says"}, {"neighbour", 1}, {"blob", "00fF"}},
            {{"cmd", "wakeup"}, {"ref", 77}},
            {{"cmd", "expired"}, {"xid", "id-9"}},
            {{"cmd", "sync"}, {"kind", "failed"}}}}});
}

TEST_F(Wire, ErrorsNameTheBadInput) {
    EXPECT_EQ(error_of(std::string("{")), "not JSON");
    EXPECT_EQ(error_of(std::string("[]")), "a batch must be an object");
    EXPECT_EQ(error_of(std::string(R"({"n":1,"groups":[]})")), "missing 'ts_s'");
    EXPECT_EQ(error_of(batch({{4, json::array({demand("x")})}}).dump()),
              "router 4, event 0 (demand): no such instance was born");
    EXPECT_EQ(error_of({{"cmd", "jump"}}), "router 0, event 0 (jump): unknown command 'jump'");
    EXPECT_EQ(error_of({{"cmd", "expired"}}), "router 0, event 0 (expired): missing 'xid'");
    EXPECT_EQ(error_of(sync("full", 9)), "router 0, event 0 (sync): unknown census number in 'buffer'");
    json call = demand("x");
    call["dest"] = "north";
    EXPECT_EQ(error_of(call), "router 0, event 0 (demand): 'dest' must be a whole number");
    call = demand("x");
    call["category"] = "telex";
    EXPECT_EQ(error_of(call), "router 0, event 0 (demand): unknown 'category' 'telex'");
    call = demand("x");
    call.erase("grace_s");
    EXPECT_EQ(error_of(call), "router 0, event 0 (demand): missing 'grace_s'");
    EXPECT_EQ(error_of(json(7)), "router 0, event 0 (?): an event must be an object");
    json no_classes = born();
    no_classes["facts"].erase("grades");
    EXPECT_EQ(error_of(no_classes), "router 0, event 0 (born): missing 'grades'");
}

}  // namespace
}  // namespace nettlestall::wire
