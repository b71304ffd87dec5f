#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv)
{
    // The sanitizer builds look for leaks; CppUTest's own detector trips over static caches.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
