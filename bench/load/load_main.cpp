#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"

namespace po = boost::program_options;
using namespace dragonflygap;

namespace
{

struct class_mix
{
    std::string m_name;
    double m_share = 1;
    double m_run_ms = 5;
};

struct class_result
{
    std::vector<duration> m_latencies;
    std::map<std::string, int> m_failures;
};

struct load_options
{
    std::vector<endpoint> m_servers;
    std::vector<class_mix> m_mix;
    double m_rate = 100;
    double m_seconds = 5;
    unsigned m_seed = 1;
    bool m_direct = false; ///< Call executors themselves, for a baseline.
    bool m_json = false;
};

class_mix parse_mix(const std::string& text)
{
    const auto first = text.find(':');
    const auto second = text.find(':', first + 1);
    if (first == std::string::npos || second == std::string::npos)
        throw std::runtime_error("--class wants NAME:SHARE:RUN_MS, not '" + text + "'");
    return {text.substr(0, first), std::stod(text.substr(first + 1, second - first - 1)),
            std::stod(text.substr(second + 1))};
}

/// Sends requests at times fixed beforehand, however slow the answers are.
class load_run
{
public:
    load_run(event_loop& loop, const load_options& options)
        : m_loop(loop),
          m_options(options),
          m_random(options.m_seed),
          m_client(loop, {.m_max_connections_per_endpoint = 4000})
    {
    }

    void start()
    {
        m_start = monotonic_clock::now();
        m_next = m_start;
        schedule();
    }

    const std::map<std::string, class_result>& results() const { return m_results; }

private:
    void schedule()
    {
        const auto now = monotonic_clock::now();
        while (m_next <= now)
        {
            send(m_next);
            std::exponential_distribution<double> gap(m_options.m_rate);
            m_next += duration(static_cast<duration::rep>(gap(m_random) * 1e6));
            if (m_next - m_start > duration(static_cast<duration::rep>(m_options.m_seconds * 1e6)))
            {
                m_done_sending = true;
                return finish_if_done();
            }
        }
        m_timer = m_loop.after(m_next - now, [this] { schedule(); });
    }

    const class_mix& pick()
    {
        std::vector<double> shares;
        for (const auto& item : m_options.m_mix)
            shares.push_back(item.m_share);
        std::discrete_distribution<std::size_t> choose(shares.begin(), shares.end());
        return m_options.m_mix[choose(m_random)];
    }

    void send(instant due)
    {
        const auto& chosen = pick();
        const auto& server = m_options.m_servers[m_sent++ % m_options.m_servers.size()];
        http_request request{
            .m_method = "POST",
            .m_path = m_options.m_direct ? "/execute" : "/v1/requests/" + chosen.m_name,
            .m_headers = {{"X-Dragonflygap-Caller", "load"},
                          {"X-Dragonflygap-Request", "load-" + std::to_string(m_sent)}},
            .m_body = nlohmann::json{{"run_ms", chosen.m_run_ms}}.dump()};
        ++m_open;
        constexpr duration timeout = 120s;
        m_client.send(server, std::move(request), timeout,
                      [this, due, name = chosen.m_name](const outcome<http_response>& answer)
                      { on_answer(due, name, answer); });
    }

    void on_answer(instant due, const std::string& name, const outcome<http_response>& answer)
    {
        auto& result = m_results[name];
        if (answer && answer->m_status == 200)
            result.m_latencies.push_back(monotonic_clock::now() - due);
        else if (answer)
            ++result.m_failures[std::string(answer->header(reason_header))];
        else
            ++result.m_failures[std::string(to_string(answer.error().m_reason))];
        --m_open;
        finish_if_done();
    }

    void finish_if_done()
    {
        if (m_done_sending && m_open == 0)
            m_loop.stop();
    }

    event_loop& m_loop;
    const load_options& m_options;
    std::mt19937_64 m_random;
    http_client m_client;
    event_loop::timer_ptr m_timer;
    std::map<std::string, class_result> m_results;
    instant m_start{};
    instant m_next{};
    std::size_t m_sent = 0;
    int m_open = 0;
    bool m_done_sending = false;
};

double quantile_ms(std::vector<duration> sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto last = static_cast<double>(sorted.size() - 1);
    return static_cast<double>(sorted[static_cast<std::size_t>(share * last)].count()) / 1000;
}

nlohmann::json summary(class_result result)
{
    std::ranges::sort(result.m_latencies);
    nlohmann::json out{{"ok", result.m_latencies.size()},
                       {"p50_ms", quantile_ms(result.m_latencies, 0.5)},
                       {"p99_ms", quantile_ms(result.m_latencies, 0.99)},
                       {"max_ms", quantile_ms(result.m_latencies, 1)},
                       {"refused", result.m_failures}};
    return out;
}

int run(const load_options& options)
{
    event_loop loop;
    load_run load(loop, options);
    loop.post([&load] { load.start(); });
    loop.run();
    nlohmann::json all;
    for (const auto& [name, result] : load.results())
        all[name] = summary(result);
    if (options.m_json)
    {
        std::cout << all.dump(2) << "\n";
        return 0;
    }
    for (const auto& [name, item] : all.items())
        std::cout << name << "  ok " << item["ok"] << "  p50 " << item["p50_ms"] << " ms  p99 "
                  << item["p99_ms"] << " ms  max " << item["max_ms"] << " ms  refused "
                  << item["refused"].dump() << "\n";
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    load_options options;
    std::vector<std::string> servers;
    std::vector<std::string> mix;
    po::options_description described("Options of dragonflygap-load, an open-loop load tool");
    described.add_options()("help", "show this text")("server", po::value(&servers)->composing(),
                                                      "callers' address; repeat for several")(
        "class", po::value(&mix)->composing(), "NAME:SHARE:RUN_MS; repeat for a mixture")(
        "rate", po::value(&options.m_rate)->default_value(100), "requests a second")(
        "seconds", po::value(&options.m_seconds)->default_value(5), "length of the run")(
        "seed", po::value(&options.m_seed)->default_value(1), "seed of the arrivals")(
        "direct", po::bool_switch(&options.m_direct), "the servers are executors: a baseline")(
        "json", po::bool_switch(&options.m_json), "print JSON");
    try
    {
        po::variables_map given;
        po::store(po::parse_command_line(argc, argv, described), given);
        po::notify(given);
        if (given.count("help") != 0)
        {
            std::cout << described;
            return 0;
        }
        if (servers.empty())
            servers.emplace_back("127.0.0.1:8080");
        if (mix.empty())
            mix.emplace_back("tablet:1:5");
        for (const auto& text : servers)
        {
            const auto at = parse_endpoint(text);
            if (!at)
                throw std::runtime_error("--server wants an IP number and a port");
            options.m_servers.push_back(*at);
        }
        for (const auto& text : mix)
            options.m_mix.push_back(parse_mix(text));
        return run(options);
    }
    catch (const std::exception& error)
    {
        std::cerr << "dragonflygap-load: " << error.what() << "\n";
        return 2;
    }
}
