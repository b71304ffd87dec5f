#pragma once

#include <functional>
#include <memory>

#include "dragonflygap/core/time.hpp"

struct event_base;

namespace dragonflygap
{

class timer_queue;

/// The loop of one task. All but post() and stop() must be called from the loop's own thread.
class event_loop
{
public:
    /// A running timer; it is stopped when this is destroyed.
    class timer
    {
    public:
        virtual ~timer() = default;
    };
    using timer_ptr = std::unique_ptr<timer>;

    event_loop();
    /// A loop that isn't run: its posted work and its timers wait in a queue, for virtual time.
    explicit event_loop(timer_queue& timers);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop().
    void run();

    /// Makes run() return; safe from any thread.
    void stop();

    /// Runs a function in the loop, soon; safe from any thread.
    void post(std::function<void()> work);

    /// Runs a function once after a delay, unless the timer is destroyed before.
    timer_ptr after(duration delay, std::function<void()> work);

    /// Runs a function once after a delay; it can't be stopped.
    void defer(duration delay, std::function<void()> work);

    /// Runs a function again and again.
    timer_ptr every(duration interval, std::function<void()> work);

    /// Runs a function when the process gets a signal.
    timer_ptr on_signal(int number, std::function<void()> work);

    /// Runs a function whenever a file descriptor can be read.
    timer_ptr on_readable(int descriptor, std::function<void()> work);

    event_base* base() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace dragonflygap
