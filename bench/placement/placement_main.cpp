#include <iostream>
#include <string_view>

#include "placement/benchmarks.hpp"

int main(int argc, char** argv)
{
    using namespace dragonflygap::bench;
    const std::string_view benchmark = argc > 1 ? argv[1] : "";
    if (benchmark == "decisions")
        measure_decisions();
    else if (benchmark == "packing")
        measure_packing();
    else if (benchmark == "gangs")
        measure_gang_wait();
    else if (benchmark == "urgent")
        measure_urgent();
    else
    {
        std::cerr << "usage: bench-placement decisions | packing | gangs | urgent\n";
        return 2;
    }
    return 0;
}
