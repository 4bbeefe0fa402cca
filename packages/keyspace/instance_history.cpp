#include "keyspace/instance_history.h"

#include <algorithm>

namespace kumquat {

void InstanceHistory::noteReplaced(const UpstreamInstance &instance)
{
    if (!instance.isKnown()) {
        return;
    }
    std::erase(this->instances, instance);
    this->instances.push_back(instance);
    if (this->instances.size() > maxInstances) {
        this->instances.erase(this->instances.begin());
    }
}

void InstanceHistory::noteCurrent(const UpstreamInstance &instance)
{
    std::erase(this->instances, instance);
}

bool InstanceHistory::hasReplaced(const UpstreamInstance &instance) const
{
    return std::find(this->instances.begin(), this->instances.end(), instance)
           != this->instances.end();
}

} // namespace kumquat
