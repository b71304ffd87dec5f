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
#include "dragonflygap/observe/history.hpp"

namespace po = boost::program_options;
using namespace dragonflygap;

namespace
{

struct class_share
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
    std::vector<class_share> m_mix;
    double m_rate = 100;
    double m_seconds = 5;
    unsigned m_seed = 1;
    bool m_direct = false; ///< Sends straight to the executors, for a baseline.
    bool m_json = false;
    bool m_history = false;         ///< Prints each caller's result for dragonflygap-check.
    double m_straggler_share = 0;   ///< Share of requests that run m_straggler_factor times longer.
    double m_straggler_factor = 10; ///< Run time of a straggler, as a multiple of its class's.
    double m_keyed_share = 0;       ///< Share sent twice at once, as non-idempotent, with one key.
    double m_swing_factor = 1;      ///< Rate during the swing, as a multiple of m_rate.
    double m_swing_start = 0;
    double m_swing_seconds = 0;
};

/// A request and the token that its response must echo.
struct planned_request
{
    std::string m_class;
    std::string m_token;
    double m_run_ms = 0;
    bool m_keyed = false;
};

class_share parse_class_share(const std::string& text)
{
    const auto first = text.find(':');
    const auto second = text.find(':', first + 1);
    if (first == std::string::npos || second == std::string::npos)
        throw std::runtime_error("--class expects NAME:SHARE:RUN_MS, got '" + text + "'");
    return {text.substr(0, first), std::stod(text.substr(first + 1, second - first - 1)),
            std::stod(text.substr(second + 1))};
}

/// Open-loop load: send times are independent of how fast responses arrive.
class load_generator
{
public:
    load_generator(event_loop& loop, const load_options& options)
        : m_loop(loop),
          m_options(options),
          m_random(options.m_seed),
          m_client(loop, {.m_max_connections_per_endpoint = 4000})
    {
    }

    void start()
    {
        m_started_at = monotonic_clock::now();
        m_next_send_at = m_started_at;
        schedule();
    }

    const std::map<std::string, class_result>& results() const { return m_results; }

private:
    void schedule()
    {
        const auto now = monotonic_clock::now();
        while (m_next_send_at <= now)
        {
            send(m_next_send_at);
            std::exponential_distribution<double> gap(rate_at(m_next_send_at));
            m_next_send_at += duration(static_cast<duration::rep>(gap(m_random) * 1e6));
            if (m_next_send_at - m_started_at >
                duration(static_cast<duration::rep>(m_options.m_seconds * 1e6)))
            {
                m_done_sending = true;
                return finish_if_done();
            }
        }
        m_timer = m_loop.after(m_next_send_at - now, [this] { schedule(); });
    }

    double rate_at(instant at) const
    {
        const double second = static_cast<double>((at - m_started_at).count()) / 1e6;
        const bool in_swing = second >= m_options.m_swing_start &&
                              second < m_options.m_swing_start + m_options.m_swing_seconds;
        return m_options.m_rate * (in_swing ? m_options.m_swing_factor : 1);
    }

    bool happens_with_probability(double share)
    {
        return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    planned_request plan_request()
    {
        const auto& chosen = choose_class();
        planned_request planned{.m_class = chosen.m_name,
                                .m_token = "load-" + std::to_string(m_options.m_seed) + "-" +
                                           std::to_string(++m_planned_count),
                                .m_run_ms = chosen.m_run_ms,
                                .m_keyed = happens_with_probability(m_options.m_keyed_share)};
        if (happens_with_probability(m_options.m_straggler_share))
            planned.m_run_ms *= m_options.m_straggler_factor;
        return planned;
    }

    const class_share& choose_class()
    {
        std::vector<double> shares;
        for (const auto& item : m_options.m_mix)
            shares.push_back(item.m_share);
        std::discrete_distribution<std::size_t> distribution(shares.begin(), shares.end());
        return m_options.m_mix[distribution(m_random)];
    }

    void send(instant due)
    {
        const auto planned = plan_request();
        send(due, planned);
        if (planned.m_keyed)
            send(due, planned);
    }

    void send(instant due, const planned_request& planned)
    {
        const auto& server = m_options.m_servers[m_sent_count++ % m_options.m_servers.size()];
        http_request request{
            .m_method = "POST",
            .m_path = m_options.m_direct ? "/execute" : "/v1/requests/" + planned.m_class,
            .m_headers = {{"X-Dragonflygap-Caller", "load"},
                          {"X-Dragonflygap-Request", "load-" + std::to_string(m_sent_count)}},
            .m_body =
                nlohmann::json{{"run_ms", planned.m_run_ms}, {"token", planned.m_token}}.dump()};
        if (planned.m_keyed)
        {
            request.m_headers.push_back({"Idempotency-Key", planned.m_token});
            request.m_headers.push_back({"X-Dragonflygap-Idempotent", "false"});
        }
        ++m_in_flight;
        constexpr duration timeout = 120s;
        m_client.send(server, std::move(request), timeout,
                      [this, due, planned](const outcome<http_response>& response)
                      { on_response(due, planned, response); });
    }

    void record(const planned_request& planned, const outcome<http_response>& response) const
    {
        history::caller_answered entry{.m_token = planned.m_token};
        if (!response)
            entry.m_verdict = response.error().m_verdict;
        else if (response->m_status != 200)
            entry.m_verdict = verdict_from_string(response->header(verdict_header));
        else
            entry.m_echo = echoed_token(response->m_body);
        // When a request is sent twice, one copy may legitimately be rejected as not run.
        if (planned.m_keyed && entry.m_verdict != verdict::ran)
            return;
        // An executor's own error counts as ran, but its response carries no token.
        if (entry.m_verdict == verdict::ran && (!response || response->m_status != 200))
            return;
        std::cout << history::format("load", entry, monotonic_clock::now()) << "\n";
    }

    static std::string echoed_token(const std::string& body)
    {
        const auto parsed = nlohmann::json::parse(body, nullptr, false);
        return parsed.is_object() ? parsed.value("token", "") : "";
    }

    void on_response(instant due, const planned_request& planned,
                     const outcome<http_response>& response)
    {
        if (m_options.m_history)
            record(planned, response);
        auto& result = m_results[planned.m_class];
        if (response && response->m_status == 200)
            result.m_latencies.push_back(monotonic_clock::now() - due);
        else if (response)
            ++result.m_failures[std::string(response->header(reason_header))];
        else
            ++result.m_failures[std::string(to_string(response.error().m_reason))];
        --m_in_flight;
        finish_if_done();
    }

    void finish_if_done()
    {
        if (m_done_sending && m_in_flight == 0)
            m_loop.stop();
    }

    event_loop& m_loop;
    const load_options& m_options;
    std::mt19937_64 m_random;
    http_client m_client;
    event_loop::timer_ptr m_timer;
    std::map<std::string, class_result> m_results;
    instant m_started_at{};
    instant m_next_send_at{};
    std::size_t m_sent_count = 0;
    std::size_t m_planned_count = 0;
    int m_in_flight = 0;
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
    load_generator load(loop, options);
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
    po::options_description description("Options of dragonflygap-load, an open-loop load tool");
    description.add_options()("help", "show this text")(
        "server", po::value(&servers)->composing(),
        "address for callers' requests; repeat for several")(
        "class", po::value(&mix)->composing(), "NAME:SHARE:RUN_MS; repeat for several")(
        "rate", po::value(&options.m_rate)->default_value(100),
        "requests per second")("seconds", po::value(&options.m_seconds)->default_value(5),
                               "length of the run, in seconds")(
        "seed", po::value(&options.m_seed)->default_value(1),
        "random seed of the arrivals")("direct", po::bool_switch(&options.m_direct),
                                       "the servers are executors, called directly for a baseline")(
        "json", po::bool_switch(&options.m_json),
        "print JSON")("history", po::bool_switch(&options.m_history),
                      "print each caller's result for dragonflygap-check")(
        "straggler-share", po::value(&options.m_straggler_share)->default_value(0),
        "share of requests that run far longer than the others")(
        "straggler-factor", po::value(&options.m_straggler_factor)->default_value(10),
        "run time of a straggler, as a multiple of its class's")(
        "keyed-share", po::value(&options.m_keyed_share)->default_value(0),
        "share of requests sent twice at once with one key, as non-idempotent")(
        "swing-factor", po::value(&options.m_swing_factor)->default_value(1),
        "rate during the swing, as a multiple of --rate")(
        "swing-start", po::value(&options.m_swing_start)->default_value(0),
        "start of the swing, in seconds")("swing-seconds",
                                          po::value(&options.m_swing_seconds)->default_value(0),
                                          "length of the swing, in seconds");
    try
    {
        po::variables_map variables;
        po::store(po::parse_command_line(argc, argv, description), variables);
        po::notify(variables);
        if (variables.count("help") != 0)
        {
            std::cout << description;
            return 0;
        }
        if (servers.empty())
            servers.emplace_back("127.0.0.1:8080");
        if (mix.empty())
            mix.emplace_back("tablet:1:5");
        for (const auto& text : servers)
        {
            const auto server = parse_endpoint(text);
            if (!server)
                throw std::runtime_error("--server expects an IP address and a port");
            options.m_servers.push_back(*server);
        }
        for (const auto& text : mix)
            options.m_mix.push_back(parse_class_share(text));
        return run(options);
    }
    catch (const std::exception& error)
    {
        std::cerr << "dragonflygap-load: " << error.what() << "\n";
        return 2;
    }
}
