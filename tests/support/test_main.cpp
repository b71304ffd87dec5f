#include <CppUTest/CommandLineTestRunner.h>

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

} // namespace

int main(int argc, char** argv)
{
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
