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

/// Publishes queue lengths and running requests by class.
void publish_load(metrics& counted, const cluster::load_digest& load);

} // namespace request

} // namespace dragonflygap
