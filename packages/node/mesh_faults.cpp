#include "node/mesh_faults.h"

namespace kumquat {

void MeshFaults::setDropped(const std::string &node, bool isDropped)
{
    if (isDropped) {
        this->nodes.insert(node);
    } else {
        this->nodes.erase(node);
    }
}

bool MeshFaults::drops(const wire::MeshMessage &message) const
{
    return !this->nodes.empty() && this->nodes.contains(message.from());
}

} // namespace kumquat
