#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "dragonflygap/cell/records.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

/// Outcomes of jobs that ended lately, and whose they were. A name is kept once for all jobs of a
/// customer, so that an entry is no larger than without it: hundreds of jobs end each second.
class ended_jobs
{
public:
    struct ended_job
    {
        job_outcome m_outcome = job_outcome::completed;
        customer_id m_customer; ///< Empty: none.
    };

    void add(const job_id& job, job_outcome outcome, const customer_id& customer, instant now);
    std::optional<ended_job> find(const job_id& job) const;
    void forget_before(instant time);

    std::size_t size() const { return m_jobs.size(); }
    /// Customers that have a job here.
    std::size_t customers() const { return m_numbers.size(); }

private:
    using customer_number = std::uint32_t;
    struct entry
    {
        instant m_ended_at{};
        customer_number m_customer = 0;
        job_outcome m_outcome = job_outcome::completed;
    };
    static_assert(sizeof(entry) == 2 * sizeof(instant));
    struct counted_name
    {
        customer_id m_name;
        std::size_t m_jobs = 0; ///< 0: the number is free.
    };

    customer_number number_of(const customer_id& customer);
    void release(customer_number number);

    std::unordered_map<job_id, entry> m_jobs;
    std::vector<counted_name> m_names; ///< By number.
    std::map<customer_id, customer_number> m_numbers;
    std::vector<customer_number> m_free_numbers;
};

} // namespace dragonflygap::cell
