#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/net/http_message.hpp"

namespace stand_in
{

using namespace dragonflygap;

/// Faults that the store simulates.
struct store_faults
{
    bool m_down = false;          ///< Answers 503 and does nothing else.
    double m_lost_reply_rate = 0; ///< Share of the writes whose answer is lost.
    int m_lost_feed_answers = 0;  ///< The next answers of the feed that are lost.
    /// Share of the reads whose answer is lost.
    double m_lost_read_rate = 0;
    double m_delayed_write_rate = 0; ///< Share of the writes applied late and not answered.
    duration m_response_time = 4ms;
};

/// Simulates the platform's table service: versioned rows, conditional transactions, and a feed.
class store
{
public:
    using reply = std::function<void(http_response)>;
    using row_name = std::tuple<std::string, std::string, std::string>; ///< table, part, key

    struct row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
    };

    /// schedule runs a function after a delay; it is never cancelled.
    /// clock_ms is the store's own steady clock.
    store(std::mt19937_64& random, std::function<void(duration, std::function<void()>)> schedule,
          std::function<std::int64_t()> clock_ms);

    /// Answers a call; if the answer is lost, done is never called.
    void handle(const http_request& request, reply done);

    void put(const std::string& table, const std::string& key, std::string value);
    /// Forgets all changes so far, so that the feed can't be continued from before.
    void compact() { m_compacted = m_version; }
    void drop(const std::string& table, const std::string& key);
    std::size_t rows(const std::string& table) const;
    const row* find(const std::string& table, const std::string& key) const;

    store_faults m_faults;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;

private:
    struct change
    {
        row_name m_name;
        row m_row;
        bool m_deleted = false;
    };

    http_response transact(const std::string& body);
    http_response get(const http_request& request) const;
    void feed(const http_request& request, duration waited, reply done);

    std::mt19937_64& m_random;
    std::function<void(duration, std::function<void()>)> m_schedule;
    std::function<std::int64_t()> m_clock_ms;
    std::map<row_name, row> m_rows;
    /// Of the operator's and the workers' tables, in order; only those are followed by the feed.
    std::vector<change> m_changes;
    std::uint64_t m_version = 1;
    std::uint64_t m_compacted = 0; ///< The feed's history begins after this version.
};

} // namespace stand_in
