#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>

#include "dragonflygap/history_checker/checker.hpp"

using namespace dragonflygap;
using namespace dragonflygap::history_checker;

namespace
{

constexpr std::size_t max_shown_per_rule = 5;

constexpr std::string_view usage =
    "Usage: dragonflygap-check LOG...\n"
    "Reads the logs of daemons, emulator and callers of one run, written with history on, and\n"
    "prints each broken rule. Exit code: 0 none, 1 some, 2 wrong usage or logs can't be read.\n";

void print_violations(const std::vector<violation>& found)
{
    std::map<std::string_view, std::size_t> counts;
    for (const auto& item : found)
        if (++counts[item.m_rule] <= max_shown_per_rule)
            std::cout << "event=violation rule=" << item.m_rule
                      << " at_us=" << item.m_at.time_since_epoch().count() << " detail=\""
                      << item.m_detail << "\"\n";
    for (const auto& [rule, count] : counts)
        std::cout << "event=broken_rule rule=" << rule << " violations=" << count << "\n";
}

void print_summary(const std::vector<entry>& entries, std::size_t violations)
{
    const auto count = [&](std::string_view event)
    { return std::ranges::count(entries, event, &entry::m_event); };
    std::cout << "event=checked lines=" << entries.size()
              << " accepted=" << count("request_accepted")
              << " executions=" << count("execution_started")
              << " task_starts=" << count("worker_task_started")
              << " answers=" << count("caller_answered") << " rules=" << rules().size()
              << " violations=" << violations << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2 || std::string_view(argv[1]) == "--help")
    {
        std::cout << usage;
        return argc < 2 ? 2 : 0;
    }
    std::vector<entry> entries;
    for (int i = 1; i < argc; ++i)
    {
        std::ifstream file(argv[i]);
        if (!file)
        {
            std::cerr << "dragonflygap-check: can't read " << argv[i] << "\n";
            return 2;
        }
        read_entries(file, entries);
    }
    sort_entries(entries);
    const auto found = check(entries, {});
    print_violations(found);
    print_summary(entries, found.size());
    return found.empty() ? 0 : 1;
}
