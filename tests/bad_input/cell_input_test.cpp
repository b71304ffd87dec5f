#include <rapidcheck.h>

#include <functional>
#include <string>

#include "dragonflygap/cell/peer_messages.hpp"
#include "dragonflygap/cell/records.hpp"
#include "platform/caller_codec.hpp"
#include "platform/directory_client.hpp"
#include "platform/rows.hpp"
#include "platform/store_client.hpp"
#include "platform/worker_client.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

constexpr int depth = 50000;

/// Texts that an answer or a row may hold instead of what its writer should have written.
const std::string odd_texts[] = {
    "",
    "\xff\xfe\x00\x01",
    std::string(depth, '['),
    std::string(depth, '[') + std::string(depth, ']'),
    R"({"rows":)" + std::string(depth, '[') + std::string(depth, ']') + "}",
    R"({"a":)" + std::string(depth, '{'),
    "1e999",
    "-1e999",
    "99999999999999999999999999",
    R"({"clock_ms":1e300,"born":-5,"running":[[7,8],9,[["x.0.0.0"],1e300,3,-1e300]],"finished":{}})",
    R"({"clock_ms":-9223372036854775808,"running":[["a.0.0.0",18446744073709551615,"",1e18,-1]],)"
    R"("finished":[[1e300,"a.0.0.0",-1,7,{}],[],"x",[null,null,null,null,null]]})",
    R"({"approved":[[],[1],["a",2],{},null,[["b"],"t"]],"validity_ms":1e300})",
    R"({"rows":[7,{},{"key":5,"value":7},{"key":"k","value":"***","schema_version":-1}],)"
    R"("has_more":"yes","schema_version":1e300,"now_ms":[]})",
    R"({"version":1e300,"routes":[5,{"priority":1e300,"max_attempts":-1e300,"stretch":"x",)"
    R"("target_latency_ms":18446744073709551615,"advice":{"decision_ms":1e308,"period_ms":[]}}]})",
};

/// Answers every call with the same body.
http_transport answering(const std::string& body, int status = 200)
{
    http_transport transport;
    transport.m_send = [body, status](const endpoint&, const http_request&, duration,
                                      const http_transport::done& done)
    {
        done(json_response(status, body));
        return http_transport::call_id{1};
    };
    transport.m_cancel = [](http_transport::call_id) {};
    transport.m_close_idle = [](const endpoint&) {};
    return transport;
}

/// Passes a body to the reader of each answer; each of them must call back once.
void read_everywhere(const std::string& body, int status)
{
    const auto transport = answering(body, status);
    const endpoint address{"127.0.0.1", 1};
    int calls = 0;
    const auto count = [&calls](const auto&...) { ++calls; };
    const auto store = wire::make_store(transport, address);
    store.m_commit({}, 1s, count);
    store.m_scan("job", 1s, count);
    store.m_read({"leader", "leader"}, 1s, count);
    const auto directory = wire::make_directory(transport, address);
    for (const std::uint64_t position : {0, 5})
    {
        directory.m_read_workers({.m_position = position}, count);
        directory.m_read_config({.m_position = position}, count);
    }
    const auto workers = wire::make_workers(transport);
    const cell::worker_address worker{worker_id("w"), address};
    workers.m_start(worker, 1, {}, 1s, count);
    workers.m_stop(worker, 1, {}, 1, 1s, count);
    workers.m_renew(worker, 1, {}, count);
    wire::make_approvals(transport, address).m_request({}, {}, 1s, count);
    LONGS_EQUAL(11, calls);
}

void decode_everywhere(const std::string& bytes)
{
    cell::decode_peer(bytes);
    cell::unpack<cell::leader_record>(bytes);
    cell::unpack<cell::member_record>(bytes);
    cell::unpack<cell::workers_record>(bytes);
    cell::unpack<cell::job_record>(bytes);
    cell::unpack<cell::progress_record>(bytes);
    cell::unpack<cell::ended_record>(bytes);
    wire::decode_worker("w", bytes);
    wire::decode_config(bytes);
    wire::decode_job(bytes);
}

std::string mutated(std::string text)
{
    for (int edits = *rc::gen::inRange(1, 5); edits > 0 && !text.empty(); --edits)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        if (*rc::gen::arbitrary<bool>())
            text[at] = *rc::gen::arbitrary<char>();
        else
            text.insert(at, *rc::gen::element<std::string>("[", "{", "\xdd\xff\xff\xff\xff",
                                                           "1e300", "-1", "\"", "null", "\xff"));
    }
    return text;
}

} // namespace

TEST_GROUP(cell_input){};

// Reports of other operators: one malformed message or entry took a whole process down.
TEST(cell_input, odd_answers_are_failures_or_empty_for_every_reader)
{
    for (const auto& text : odd_texts)
        for (const int status : {200, 409, 412, 500})
            read_everywhere(text, status);
}

TEST(cell_input, odd_rows_and_messages_are_skipped_by_every_decoder)
{
    for (const auto& text : odd_texts)
        decode_everywhere(text);
    // MessagePack that announces far more entries than follow, or nests deeply.
    for (const std::string head : {"\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff",
                                   "\xdb\xff\xff\xff\xff", "\xc6\xff\xff\xff\xff"})
    {
        decode_everywhere(head);
        decode_everywhere("\x92\xa1z" + head);
        decode_everywhere(std::string(depth, '\x91') + head);
    }
    decode_everywhere(std::string(depth, '\x91'));
    decode_everywhere(std::string(depth, '\x81'));
}

TEST(cell_input, numbers_out_of_range_fall_back)
{
    const auto worker = wire::decode_worker(
        "w", R"({"service":"s","address":"10.0.0.1:80","state":"ready","remaining_ms":1e300,)"
             R"("capacity":{"cpu":4000,"requested_memory_mb":1}})");
    CHECK_TRUE(worker.has_value());
    LONGS_EQUAL(0, worker->m_remaining_ms);
    for (const auto* number : {"1e300", "-1", "18446744073709551615", "9223372036854775807"})
        CHECK_FALSE(wire::decode_worker("w", R"({"service":"s","address":"10.0.0.1:80",)"
                                             R"("state":"ready","capacity":{"cpu":)" +
                                                 std::string(number) + "}}")
                        .has_value());
    CHECK_FALSE(wire::decode_job(R"({"steps":[{},{"depends_on":[4294967296]}]})").has_value());
}

TEST(cell_input, mutated_input_ends_no_decoder)
{
    const std::string seeds[] = {
        R"({"service":"s","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":4000}})",
        R"({"version":3,"routes":[{"name":"q","host":"h","path_prefix":"/q/","advice":{"decision_ms":1}}]})",
        R"({"version":3,"routes":[],"tenants":[{"name":"c","api_keys":["k"],"weight":2,"max_count":{"cpu":4}}]})",
        R"({"specification":"s","steps":[{"count":2},{"depends_on":[0]}]})",
        cell::pack(cell::leader_record{.m_epoch = 3, .m_vm = vm_id("a")}),
        cell::encode(vm_id("a"), cell::approval_call{.m_workers = {worker_id("w")}}),
        cell::encode(vm_id("a"), cell::leader_heartbeat{.m_epoch = 3}),
        cell::encode(vm_id("a"), cell::config_inquiry{.m_number = 3, .m_address = "10.0.0.1:80"}),
        cell::pack(cell::ended_record{.m_customer = cell::customer_id("c")}),
    };
    const bool passed =
        rc::check("decoders end",
                  [&]
                  {
                      const auto& seed = seeds[*rc::gen::inRange<std::size_t>(0, std::size(seeds))];
                      const auto text = mutated(seed);
                      decode_everywhere(text);
                      read_everywhere(text, 200);
                  });
    CHECK_TRUE(passed);
}
