#include "placement/allocations.hpp"

#include <cstddef>
#include <cstdlib>
#include <new>

namespace
{

std::uint64_t allocation_count = 0;

} // namespace

void* operator new(std::size_t size)
{
    ++allocation_count;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace dragonflygap::bench
{

std::uint64_t heap_allocations()
{
    return allocation_count;
}

} // namespace dragonflygap::bench
