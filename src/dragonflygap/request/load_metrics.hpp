#pragma once

namespace dragonflygap
{

class metrics;

namespace cluster
{
struct load_digest;
}

namespace request
{

/// Publishes the numbers of queued and running requests by class.
void publish_load(metrics& registry, const cluster::load_digest& load);

} // namespace request

} // namespace dragonflygap
