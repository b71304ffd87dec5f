#include "node/support/stand_in_store.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/base64.hpp"

namespace stand_in
{

namespace
{

using nlohmann::json;

store::row_name name_of(const json& entry)
{
    return {entry.at("table").get<std::string>(), entry.at("part").get<std::string>(),
            entry.at("key").get<std::string>()};
}

json encode(const store::row_name& name, const store::row* row)
{
    const auto& [table, part, key] = name;
    return {{"table", table},
            {"part", part},
            {"key", key},
            {"value", row == nullptr ? "" : wire::to_base64(row->m_value)},
            {"schema_version", row == nullptr ? 0 : row->m_version}};
}

std::string query_parameter(const http_request& request, std::string_view name)
{
    const auto text = request.query_value(name);
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && i + 2 < text.size())
        {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            result += text[i];
    return result;
}

bool with_probability(std::mt19937_64& random, double share)
{
    return std::uniform_real_distribution<>(0, 1)(random) < share;
}

} // namespace

store::store(std::mt19937_64& random, std::function<void(duration, std::function<void()>)> schedule,
             std::function<std::int64_t()> clock_ms)
    : m_random(random), m_schedule(std::move(schedule)), m_clock_ms(std::move(clock_ms))
{
}

void store::handle(const http_request& request, reply done)
{
    auto answer = [this, done](http_response response)
    {
        m_schedule(m_faults.m_response_time,
                   [done, response = std::move(response)] { done(response); });
    };
    if (m_faults.m_down)
        return answer(json_response(503, "{}"));
    if (request.m_path != "/rows-tx")
    {
        ++m_reads;
        const bool lost = with_probability(m_random, m_faults.m_lost_read_rate);
        if (request.m_path == "/rows-feed")
            return feed(request, {}, lost ? reply([](const http_response&) {}) : done);
        auto response = get(request);
        if (!lost)
            answer(std::move(response));
        return;
    }
    ++m_writes;
    if (with_probability(m_random, m_faults.m_delayed_write_rate))
    {
        const duration delay = std::chrono::milliseconds(1000 + m_random() % 5000);
        return m_schedule(delay, [this, body = request.m_body] { transact(body); });
    }
    auto response = transact(request.m_body);
    if (!with_probability(m_random, m_faults.m_lost_reply_rate))
        answer(std::move(response));
}

http_response store::transact(const std::string& body)
{
    constexpr std::size_t call_bytes = 1000000;
    if (body.size() > call_bytes)
        return json_response(413, "{}");
    const auto change = json::parse(body);
    constexpr std::size_t max_entries = 100;
    if (change.at("precondition").size() + change.at("writes").size() +
            change.at("deletes").size() >
        max_entries)
        return json_response(400, "{}");
    json conflicts = json::array();
    bool failed = false;
    for (const auto& condition : change.at("precondition"))
    {
        const auto name = name_of(condition);
        const auto found = m_rows.find(name);
        const row* current = found == m_rows.end() ? nullptr : &found->second;
        const std::uint64_t version = current == nullptr ? 0 : current->m_version;
        failed = failed || version != condition.at("schema_version").get<std::uint64_t>();
        conflicts.push_back(encode(name, current));
    }
    constexpr std::size_t row_bytes = 65536;
    for (const auto& write : change.at("writes"))
        if (wire::from_base64(write.at("value").get<std::string>())->size() > row_bytes)
            return json_response(400, "{}");
    if (failed)
        return json_response(
            412, json{{"rows", conflicts}, {"schema_version", m_version}, {"now_ms", m_clock_ms()}}
                     .dump());
    ++m_version;
    for (const auto& write : change.at("writes"))
        m_rows[name_of(write)] = {*wire::from_base64(write.at("value").get<std::string>()),
                                  m_version};
    for (const auto& deleted : change.at("deletes"))
        m_rows.erase(name_of(deleted));
    return json_response(200, json{{"schema_version", m_version}, {"now_ms", m_clock_ms()}}.dump());
}

http_response store::get(const http_request& request) const
{
    const auto limit = query_parameter(request, "limit");
    const std::size_t page = limit.empty() ? 500 : std::stoull(limit);
    const auto table = query_parameter(request, "table");
    const auto part = query_parameter(request, "part");
    const auto from = query_parameter(request, "from");
    const auto to = query_parameter(request, "target");
    json rows = json::array();
    bool has_more = false;
    for (auto entry = m_rows.lower_bound({table, part, from}); entry != m_rows.end(); ++entry)
    {
        const auto& [row_table, row_part, key] = entry->first;
        if (row_table != table || row_part != part || (!to.empty() && key >= to))
            break;
        has_more = rows.size() == page;
        if (has_more)
            break;
        rows.push_back(encode(entry->first, &entry->second));
    }
    return json_response(200, json{{"rows", rows},
                                   {"has_more", has_more},
                                   {"schema_version", m_version},
                                   {"now_ms", m_clock_ms()}}
                                  .dump());
}

void store::feed(const http_request& request, duration waited, reply done)
{
    constexpr duration step = 50ms;
    const auto table = query_parameter(request, "table");
    const auto after_version = std::stoull(query_parameter(request, "depends_on"));
    if (after_version < m_compacted)
        return done(json_response(410, "{}"));
    constexpr std::size_t page = 500;
    json rows = json::array();
    auto newest = m_version;
    const auto first = std::upper_bound(m_changes.begin(), m_changes.end(), after_version,
                                        [](std::uint64_t version, const change& other)
                                        { return version < other.m_row.m_version; });
    for (auto entry = first; entry != m_changes.end() && rows.size() < page; ++entry)
        if (std::get<0>(entry->m_name) == table)
        {
            auto row = encode(entry->m_name, &entry->m_row);
            if (entry->m_deleted)
                row["deleted"] = true;
            rows.push_back(std::move(row));
            if (rows.size() == page)
                newest = entry->m_row.m_version;
        }
    const auto wait = std::chrono::milliseconds(std::stoll(query_parameter(request, "wait_ms")));
    if (rows.empty() && waited < wait)
        return m_schedule(step, [this, request, waited, done, step]
                          { feed(request, waited + step, done); });
    if (m_faults.m_lost_feed_answers > 0)
        --m_faults.m_lost_feed_answers;
    else
        done(json_response(
            200,
            json{{"rows", rows}, {"schema_version", newest}, {"now_ms", m_clock_ms()}}.dump()));
}

void store::put(const std::string& table, const std::string& key, std::string value)
{
    const row written{std::move(value), ++m_version};
    m_rows[{table, "", key}] = written;
    m_changes.push_back({{table, "", key}, written, false});
}

void store::drop(const std::string& table, const std::string& key)
{
    if (m_rows.erase({table, "", key}) != 0)
        m_changes.push_back({{table, "", key}, {"", ++m_version}, true});
}

std::size_t store::rows(const std::string& table) const
{
    std::size_t count = 0;
    for (const auto& [name, row] : m_rows)
        count += std::get<0>(name) == table ? 1 : 0;
    return count;
}

const store::row* store::find(const std::string& table, const std::string& key) const
{
    for (const auto& [name, row] : m_rows)
        if (std::get<0>(name) == table && std::get<2>(name) == key)
            return &row;
    return nullptr;
}

} // namespace stand_in
