#pragma once

#include <functional>
#include <memory>

#include "dragonflygap/core/time.hpp"

struct event_base;

namespace dragonflygap
{

class timer_queue;

/// Event loop of one task. Only post() and stop() may be called from other threads.
class event_loop
{
public:
    /// A registered timer, signal or descriptor; destroying it cancels its callback.
    class timer
    {
    public:
        virtual ~timer() = default;
    };
    using timer_ptr = std::unique_ptr<timer>;

    event_loop();
    /// A loop on virtual time: posted functions and timers go to the queue, and run() isn't used.
    explicit event_loop(timer_queue& timers);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop().
    void run();

    /// Makes run() return; safe from any thread.
    void stop();

    /// Queues a function to run in the loop; safe from any thread.
    void post(std::function<void()> work);

    /// Runs a function once after a delay, unless the timer is destroyed first.
    timer_ptr after(duration delay, std::function<void()> work);

    /// Runs a function once after a delay; can't be cancelled.
    void defer(duration delay, std::function<void()> work);

    /// Runs a function periodically.
    timer_ptr every(duration interval, std::function<void()> work);

    /// Runs a function each time the process receives a signal.
    timer_ptr on_signal(int number, std::function<void()> work);

    /// Runs a function whenever a file descriptor is readable.
    timer_ptr on_readable(int descriptor, std::function<void()> work);

    event_base* base() const;

    /// Priority of events that are handled before all others.
    static constexpr int urgent_priority = 0;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace dragonflygap
