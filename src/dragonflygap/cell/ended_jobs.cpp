#include "dragonflygap/cell/ended_jobs.hpp"

namespace dragonflygap::cell
{

void ended_jobs::add(const job_id& job, job_outcome outcome, const customer_id& customer,
                     instant now)
{
    const auto number = number_of(customer);
    const auto [found, inserted] = m_jobs.try_emplace(job);
    if (!inserted)
        release(found->second.m_customer);
    found->second = {now, number, outcome};
}

std::optional<ended_jobs::ended_job> ended_jobs::find(const job_id& job) const
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return std::nullopt;
    return ended_job{found->second.m_outcome, m_names[found->second.m_customer].m_name};
}

void ended_jobs::forget_before(instant time)
{
    std::erase_if(m_jobs,
                  [&](const auto& job)
                  {
                      if (job.second.m_ended_at >= time)
                          return false;
                      release(job.second.m_customer);
                      return true;
                  });
}

ended_jobs::customer_number ended_jobs::number_of(const customer_id& customer)
{
    const auto [found, inserted] = m_numbers.try_emplace(customer);
    if (inserted)
    {
        if (m_free_numbers.empty())
        {
            found->second = static_cast<customer_number>(m_names.size());
            m_names.emplace_back();
        }
        else
        {
            found->second = m_free_numbers.back();
            m_free_numbers.pop_back();
        }
        m_names[found->second].m_name = customer;
    }
    ++m_names[found->second].m_jobs;
    return found->second;
}

void ended_jobs::release(customer_number number)
{
    auto& name = m_names[number];
    if (--name.m_jobs > 0)
        return;
    m_numbers.erase(name.m_name);
    name = {};
    m_free_numbers.push_back(number);
}

} // namespace dragonflygap::cell
