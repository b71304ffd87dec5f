#include "dragonflygap/net/event_loop.hpp"

#include <deque>
#include <mutex>
#include <stdexcept>
#include <utility>

#include <event2/event.h>
#include <event2/thread.h>

#include "dragonflygap/net/timer_queue.hpp"

namespace dragonflygap
{

namespace
{

timeval to_timeval(duration value)
{
    constexpr long long us_per_s = 1000000;
    return {static_cast<time_t>(value.count() / us_per_s),
            static_cast<suseconds_t>(value.count() % us_per_s)};
}

struct event_deleter
{
    void operator()(event* owned) const { event_free(owned); }
};

class event_timer : public event_loop::timer
{
public:
    explicit event_timer(std::function<void()> work) : m_work(std::move(work)) {}

    void arm(event_base* base, int descriptor, short what, const timeval* delay)
    {
        m_event.reset(event_new(base, descriptor, what, &event_timer::fired, this));
        event_add(m_event.get(), delay);
    }

private:
    static void fired(evutil_socket_t /*descriptor*/, short /*what*/, void* self)
    {
        // Copied, since the callback may destroy the timer and with it the stored function.
        auto work = static_cast<event_timer*>(self)->m_work;
        work();
    }

    std::function<void()> m_work;
    std::unique_ptr<event, event_deleter> m_event;
};

struct deferred_work
{
    std::function<void()> m_work;
};

void run_deferred(evutil_socket_t /*descriptor*/, short /*what*/, void* argument)
{
    const std::unique_ptr<deferred_work> work(static_cast<deferred_work*>(argument));
    work->m_work();
}

class queued_timer : public event_loop::timer
{
public:
    queued_timer(timer_queue& timers, timer_queue::timer_id id) : m_timers(timers), m_id(id) {}
    ~queued_timer() override { m_timers.remove(m_id); }
    queued_timer(const queued_timer&) = delete;
    queued_timer& operator=(const queued_timer&) = delete;

private:
    timer_queue& m_timers;
    timer_queue::timer_id m_id;
};

} // namespace

struct event_loop::state
{
    timer_queue* m_timers = nullptr; ///< Set if the loop runs on virtual time.
    event_base* m_base = nullptr;
    event* m_wake = nullptr;
    std::mutex m_mutex;
    std::deque<std::function<void()>> m_posted;

    static void on_wake(evutil_socket_t /*descriptor*/, short /*what*/, void* self)
    {
        static_cast<state*>(self)->run_posted();
    }

    void run_posted()
    {
        std::deque<std::function<void()>> work;
        {
            const std::scoped_lock lock(m_mutex);
            work.swap(m_posted);
        }
        for (auto& item : work)
            item();
    }
};

event_loop::event_loop() : m_state(std::make_unique<state>())
{
    evthread_use_pthreads();
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    // Between others the loop looks for urgent events.
    constexpr int max_callbacks = 16;
    event_config_set_max_dispatch_interval(config, nullptr, max_callbacks, urgent_priority + 1);
    m_state->m_base = event_base_new_with_config(config);
    event_config_free(config);
    constexpr int priorities = 2; // urgent, and the default
    if (m_state->m_base == nullptr || event_base_priority_init(m_state->m_base, priorities) != 0)
        throw std::runtime_error("can't create an event base");
    m_state->m_wake = event_new(m_state->m_base, -1, EV_PERSIST, &state::on_wake, m_state.get());
}

event_loop::event_loop(timer_queue& timers) : event_loop()
{
    m_state->m_timers = &timers;
}

event_loop::~event_loop()
{
    event_free(m_state->m_wake);
    event_base_free(m_state->m_base);
}

void event_loop::run()
{
    event_base_loop(m_state->m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(m_state->m_base);
}

void event_loop::post(std::function<void()> work)
{
    if (m_state->m_timers != nullptr)
    {
        m_state->m_timers->add(monotonic_clock::now(), {}, std::move(work));
        return;
    }
    {
        const std::scoped_lock lock(m_state->m_mutex);
        m_state->m_posted.push_back(std::move(work));
    }
    event_active(m_state->m_wake, EV_READ, 0);
}

event_loop::timer_ptr event_loop::after(duration delay, std::function<void()> work)
{
    if (auto* timers = m_state->m_timers)
        return std::make_unique<queued_timer>(
            *timers, timers->add(monotonic_clock::now() + delay, {}, std::move(work)));
    auto result = std::make_unique<event_timer>(std::move(work));
    const timeval when = to_timeval(delay);
    result->arm(m_state->m_base, -1, 0, &when);
    return result;
}

void event_loop::defer(duration delay, std::function<void()> work)
{
    if (auto* timers = m_state->m_timers)
    {
        timers->add(monotonic_clock::now() + delay, {}, std::move(work));
        return;
    }
    const timeval when = to_timeval(delay);
    auto* argument = new deferred_work{std::move(work)};
    event_base_once(m_state->m_base, -1, EV_TIMEOUT, run_deferred, argument, &when);
}

event_loop::timer_ptr event_loop::every(duration interval, std::function<void()> work)
{
    if (auto* timers = m_state->m_timers)
        return std::make_unique<queued_timer>(
            *timers, timers->add(monotonic_clock::now() + interval, interval, std::move(work)));
    auto result = std::make_unique<event_timer>(std::move(work));
    const timeval when = to_timeval(interval);
    result->arm(m_state->m_base, -1, EV_PERSIST, &when);
    return result;
}

event_loop::timer_ptr event_loop::on_signal(int number, std::function<void()> work)
{
    auto result = std::make_unique<event_timer>(std::move(work));
    result->arm(m_state->m_base, number, EV_SIGNAL | EV_PERSIST, nullptr);
    return result;
}

event_loop::timer_ptr event_loop::on_readable(int descriptor, std::function<void()> work)
{
    auto result = std::make_unique<event_timer>(std::move(work));
    result->arm(m_state->m_base, descriptor, EV_READ | EV_PERSIST, nullptr);
    return result;
}

event_base* event_loop::base() const
{
    return m_state->m_base;
}

} // namespace dragonflygap
