#include "dragonflygap/request/load_metrics.hpp"

#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::request
{

void publish_load(metrics& registry, const cluster::load_digest& load)
{
    for (const auto& item : load.m_classes)
    {
        registry.set("dragonflygap_queued", {"class", item.m_class.m_value}, item.m_queued);
        registry.set("dragonflygap_running", {"class", item.m_class.m_value}, item.m_running);
    }
}

} // namespace dragonflygap::request
