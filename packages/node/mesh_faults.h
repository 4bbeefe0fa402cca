// Fault injection for tests: drops received mesh messages of chosen senders. For a cut in both
// directions, set the fault in both processes.
//
//   MeshFaults faults;
//   faults.setDropped("node-a", true);
//   if (!faults.drops(message)) { ... }
#pragma once

#include "wire/mesh.pb.h"

#include <set>
#include <string>

namespace kumquat {

// Not thread-safe: use only on the control thread.
class MeshFaults
{
public:
    // Starts or stops dropping the messages that a node sends.
    void setDropped(const std::string &node, bool isDropped);

    bool drops(const wire::MeshMessage &message) const;

    const std::set<std::string> &dropped() const { return this->nodes; }

private:
    std::set<std::string> nodes;
};

} // namespace kumquat
