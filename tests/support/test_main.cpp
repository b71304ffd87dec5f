#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

namespace
{

/// Turns CppUTest's leak detector off: the sanitizer builds look for leaks.
///
/// It must be off before any static object allocates, since what it has counted and what is freed
/// after it was turned off corrupts its table.
struct no_leak_detector
{
    no_leak_detector() { MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(); }
};

__attribute__((init_priority(101))) const no_leak_detector before_all_others;

/// Names of the tests that KNOWN-RED.txt lists for this program: "test AREA NAME: what was seen".
std::set<std::string> known_red()
{
    const std::string prefix = "test " DRAGONFLYGAP_TEST_AREA " ";
    std::set<std::string> names;
    std::ifstream known(DRAGONFLYGAP_KNOWN_RED);
    for (std::string line; std::getline(known, line);)
        if (line.starts_with(prefix))
        {
            std::cout << "KNOWN-RED, not run: " << line << std::endl;
            names.insert(line.substr(prefix.size(), line.find(':') - prefix.size()));
        }
    return names;
}

/// Adds all tests but those named; several exclusions on the command line undo each other.
void add_tests_except(const std::set<std::string>& names, TestRegistry& registry)
{
    std::vector<UtestShell*> tests;
    for (UtestShell* test = TestRegistry::getCurrentRegistry()->getFirstTest(); test != nullptr;
         test = test->getNext())
        if (names.count(test->getName().asCharString()) == 0)
            tests.push_back(test);
    std::for_each(tests.rbegin(), tests.rend(),
                  [&registry](UtestShell* test) { registry.addTest(test); });
}

} // namespace

int main(int argc, char** argv)
{
    // A test that is asked for by name runs, known to be red or not.
    const auto red = argc == 1 ? known_red() : std::set<std::string>{};
    TestRegistry tests;
    add_tests_except(red, tests);
    CommandLineTestRunner runner(argc, argv, &tests);
    return runner.runAllTestsMain();
}
