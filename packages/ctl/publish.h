// Publishes rules through the clients of the admin interface and of the log service.
//
//   PublishOutcome outcome = publishRules(admin, log, makePublicationId(), "Awa Ndiaye", text);
#pragma once

#include "ctl/clients.h"
#include "ctl/publication.h"

#include <string>

namespace kumquat {

// Returns a random id of 128 bits.
PublicationId makePublicationId();

// Returns the id as 32 hexadecimal digits.
std::string formatPublicationId(const PublicationId &id);

// Publishes the text of valid rules. Blocks for at most publishLimit plus membersLimit plus the
// deadline of the last call.
PublishOutcome publishRules(const AdminClient &admin, const RulesLog &log, const PublicationId &id,
                            const std::string &author, const std::string &text);

} // namespace kumquat
