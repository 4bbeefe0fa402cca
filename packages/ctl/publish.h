// Carries out a publication with the clients.
//
//   PublishOutcome outcome = publishRules(admin, log, makePublicationId(), "Awa Ndiaye", text);
#pragma once

#include "ctl/clients.h"
#include "ctl/publication.h"

#include <string>

namespace kumquat {

// Returns 128 bits from the random device.
PublicationId makePublicationId();

// Returns 32 hexadecimal digits.
std::string formatPublicationId(const PublicationId &id);

// Publishes text that has been checked. Blocks for at most publishLimit and membersLimit, and the
// deadline of the last call.
PublishOutcome publishRules(const AdminClient &admin, const RulesLog &log, const PublicationId &id,
                            const std::string &author, const std::string &text);

} // namespace kumquat
