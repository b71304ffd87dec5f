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

/// What goes wrong at the store.
struct store_faults
{
    bool m_down = false; ///< Answers 503; nothing is done.
    double m_lost = 0;   ///< Share of the writes whose answer is lost.
    double m_late = 0;   ///< Share of the writes that are carried out seconds later.
    duration m_answer_time = 4ms;
};

/// The platform's table service: rows with versions, conditional transactions, a feed.
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

    /// later runs work after a delay; its result is never cancelled.
    store(std::mt19937_64& random, std::function<void(duration, std::function<void()>)> later);

    /// Answers a call; where the answer is lost, the reply is never called.
    void handle(const http_request& request, reply done);

    void put(const std::string& table, const std::string& key, std::string value);
    void drop(const std::string& table, const std::string& key);
    std::size_t rows(const std::string& table) const;
    const row* find(const std::string& table, const std::string& key) const;

    store_faults m_faults;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;

private:
    http_response transact(const std::string& body);
    http_response get(const http_request& request) const;
    void feed(const http_request& request, duration waited, reply done);

    std::mt19937_64& m_random;
    std::function<void(duration, std::function<void()>)> m_later;
    std::map<row_name, row> m_rows;
    std::uint64_t m_version = 1;
};

} // namespace stand_in
