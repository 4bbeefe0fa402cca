#include "ctl/publish.h"

#include <absl/strings/str_format.h>

#include <map>
#include <random>
#include <thread>

namespace kumquat {
namespace {

constexpr Duration logWait = 100ms; // time to wait for the next record at the end of the log

// Queries the rules version of all members. A member that has the version is not queried again.
class MemberPoll
{
public:
    explicit MemberPoll(const AdminClient &adminClient)
        : admin(adminClient)
    {}

    std::vector<MemberVersion> query(std::uint64_t version);

private:
    void updateMembers();

    const AdminClient &admin;
    std::map<std::string, Address> addresses;      // by node
    std::map<std::string, std::uint64_t> versions; // last known version by node
};

// The process at the admin address counts as a member even if it has not joined. Members that have
// left are no longer queried.
void MemberPoll::updateMembers()
{
    const auto status = this->admin.readStatus();
    if (!status.ok()) {
        if (this->addresses.empty()) {
            this->addresses[this->admin.address().toString()] = this->admin.address();
        }
        return;
    }
    this->addresses.clear();
    this->addresses[status->node] = this->admin.address();
    for (const MemberStatus &member : status->members) {
        this->addresses.try_emplace(member.node, member.admin);
    }
}

std::vector<MemberVersion> MemberPoll::query(std::uint64_t version)
{
    this->updateMembers();
    std::vector<std::string> nodes;
    std::vector<Address> servers;
    for (const auto &[node, address] : this->addresses) {
        if (this->versions[node] < version) {
            nodes.push_back(node);
            servers.push_back(address);
        }
    }
    const auto answers = readStatuses(servers);
    for (std::size_t index = 0; index < answers.size(); ++index) {
        if (answers[index].ok()) {
            this->versions[nodes[index]] = answers[index]->rulesVersion;
        }
    }
    std::vector<MemberVersion> members;
    for (const auto &[node, address] : this->addresses) {
        members.push_back({node, this->versions[node]});
    }
    return members;
}

std::optional<ObservedVersion> readVersion(const AdminClient &admin)
{
    const auto status = admin.readStatus();
    if (!status.ok()) {
        return std::nullopt;
    }
    return ObservedVersion{status->rulesVersion, status->logOffset};
}

} // namespace

PublicationId makePublicationId()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> bits;
    const std::uint64_t high = bits(device);
    return {high, bits(device)};
}

std::string formatPublicationId(const PublicationId &id)
{
    return absl::StrFormat("%016x%016x", id.high, id.low);
}

PublishOutcome publishRules(const AdminClient &admin, const RulesLog &log, const PublicationId &id,
                            const std::string &author, const std::string &text)
{
    Publication publication(id, readBootTime());
    MemberPoll poll(admin);
    while (true) {
        const PublishCommand command = publication.next(readBootTime());
        std::this_thread::sleep_for(command.pause);
        switch (command.step) {
        case PublishStep::ReadVersion:
            publication.handleVersion(readVersion(admin));
            break;
        case PublishStep::Append:
            publication.handleAppend(log.appendRules(command.baseVersion, id, author, text));
            break;
        case PublishStep::ReadLog:
            publication.handleLog(log.readRules(command.from, logWait), readBootTime());
            break;
        case PublishStep::QueryMembers:
            publication.handleMembers(poll.query(publication.outcome().version), readBootTime());
            break;
        case PublishStep::Done:
            return publication.outcome();
        }
    }
}

} // namespace kumquat
