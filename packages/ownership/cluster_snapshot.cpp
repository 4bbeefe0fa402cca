// Writing and loading of checkpoints of the replayed state. Sections: writing, loading.
#include "ownership/cluster_state.h"

#include "base/errors.h"
#include "wire/log.pb.h"

#include <algorithm>
#include <string>

namespace kumquat {

// ---- writing ----

namespace {

// Leaves room for the other fields of the record within 64 KiB.
constexpr std::size_t maxPartBytes = 61'440;

wire::SessionSnapshot makeSnapshotOf(const Session &session)
{
    wire::SessionSnapshot snapshot;
    snapshot.set_session(session.id);
    wire::Join &join = *snapshot.mutable_join();
    join.set_node(session.node);
    join.set_incarnation(session.incarnation);
    join.set_mesh_address(session.meshAddress);
    join.set_caller_address(session.callerAddress);
    join.set_admin_address(session.adminAddress);
    join.set_region(session.region);
    join.set_data_centre(session.dataCentre);
    join.set_service(session.service);
    join.set_checks_grants(session.checksGrants);
    snapshot.set_ended(session.ended);
    snapshot.set_released(session.released);
    snapshot.set_generation(session.generation);
    for (const PeerSet &set : session.peerSets) {
        wire::PeerSetSnapshot &target = *snapshot.add_peer_sets();
        target.set_generation(set.generation);
        for (const std::string &peer : set.peers) {
            target.add_peers(peer);
        }
    }
    return snapshot;
}

wire::ServiceSnapshot makeSnapshotOf(const std::string &name, const ServiceState &service)
{
    wire::ServiceSnapshot snapshot;
    snapshot.set_service(name);
    for (Slot slot = 0; slot < service.slots.size(); ++slot) {
        const SlotState &state = service.slots[slot];
        snapshot.add_owners(state.owner);
        snapshot.add_epochs(state.epoch);
        if (!state.predecessors.empty()) {
            wire::PredecessorSnapshot &target = *snapshot.add_predecessors();
            target.set_slot(slot);
            for (const Predecessor &predecessor : state.predecessors) {
                target.add_sessions(predecessor.session);
                target.add_epochs(predecessor.epoch);
            }
        }
        if (state.lineage.front() != 0) {
            wire::LineageSnapshot &target = *snapshot.add_lineages();
            target.set_slot(slot);
            for (const SessionId session : state.lineage) {
                if (session != 0) {
                    target.add_sessions(session);
                }
            }
        }
    }
    for (const Binding &binding : service.bindings) {
        wire::BindingSnapshot &target = *snapshot.add_bindings();
        target.set_key_hash(binding.keyHash);
        target.set_dedicated_slot(binding.slot);
    }
    return snapshot;
}

} // namespace

wire::ClusterSnapshot ClusterState::makeSnapshot() const
{
    wire::ClusterSnapshot snapshot;
    snapshot.set_covers(this->next - 1);
    snapshot.set_rules_version(this->currentRules.version);
    wire::Rules &rules = *snapshot.mutable_rules();
    rules.set_publication_id_high(this->currentRules.publicationIdHigh);
    rules.set_publication_id_low(this->currentRules.publicationIdLow);
    rules.set_author(this->currentRules.author);
    rules.set_text(this->currentRules.text);
    for (const auto &[id, session] : this->sessions) {
        *snapshot.add_sessions() = makeSnapshotOf(session);
    }
    for (const auto &[name, service] : this->services) {
        *snapshot.add_services() = makeSnapshotOf(name, service);
    }
    // Written in order of the last crash, so that a restored state drops the same fingerprints.
    std::map<std::uint64_t, std::uint64_t> byOrder;
    for (const auto &[fingerprint, crash] : this->crashes) {
        byOrder[crash.order] = fingerprint;
    }
    for (const auto &[order, fingerprint] : byOrder) {
        const CrashState &crash = this->crashes.at(fingerprint);
        wire::CrashSnapshot &target = *snapshot.add_crashes();
        target.set_fingerprint(fingerprint);
        target.set_crashes(crash.crashes);
        target.set_last_crash_id(crash.lastCrashId);
    }
    return snapshot;
}

std::vector<wire::Checkpoint> ClusterState::makeCheckpoint() const
{
    if (this->next == 0) {
        return {};
    }
    const std::string bytes = this->makeSnapshot().SerializeAsString();
    const std::size_t count =
            std::max<std::size_t>(1, (bytes.size() + maxPartBytes - 1) / maxPartBytes);
    std::vector<wire::Checkpoint> parts(count);
    for (std::size_t index = 0; index < count; ++index) {
        parts[index].set_covers(this->next - 1);
        parts[index].set_part(static_cast<std::uint32_t>(index));
        parts[index].set_parts(static_cast<std::uint32_t>(count));
        parts[index].set_state(bytes.substr(index * maxPartBytes, maxPartBytes));
    }
    return parts;
}

// ---- loading ----

absl::StatusOr<ClusterState>
ClusterState::loadCheckpoint(const std::vector<wire::Checkpoint> &parts, SlotLayout layout)
{
    std::string bytes;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        if (parts[index].part() != index || parts[index].parts() != parts.size()
            || parts[index].covers() != parts.front().covers()) {
            return makeError(ErrorKind::Internal,
                             "the parts are from different checkpoints or not in order");
        }
        bytes += parts[index].state();
    }
    wire::ClusterSnapshot snapshot;
    if (parts.empty() || !snapshot.ParseFromString(bytes)
        || snapshot.covers() != parts.front().covers()) {
        return makeError(ErrorKind::Internal, "the checkpoint cannot be parsed");
    }
    ClusterState state(layout);
    if (absl::Status status = state.restore(snapshot); !status.ok()) {
        return status;
    }
    return state;
}

absl::Status ClusterState::restore(const wire::ClusterSnapshot &snapshot)
{
    this->next = snapshot.covers() + 1;
    this->currentRules.version = snapshot.rules_version();
    this->currentRules.publicationIdHigh = snapshot.rules().publication_id_high();
    this->currentRules.publicationIdLow = snapshot.rules().publication_id_low();
    this->currentRules.author = snapshot.rules().author();
    this->currentRules.text = snapshot.rules().text();
    for (const wire::SessionSnapshot &session : snapshot.sessions()) {
        if (session.peer_sets().empty()) {
            return makeError(ErrorKind::Internal,
                             "the checkpoint has a session without a peer set");
        }
        this->restoreSession(session);
    }
    for (const wire::ServiceSnapshot &service : snapshot.services()) {
        if (absl::Status status = this->restoreService(service); !status.ok()) {
            return status;
        }
    }
    for (const wire::CrashSnapshot &crash : snapshot.crashes()) {
        this->crashes[crash.fingerprint()] = {crash.crashes(), crash.last_crash_id(),
                                              ++this->crashOrder};
    }
    return absl::OkStatus();
}

void ClusterState::restoreSession(const wire::SessionSnapshot &snapshot)
{
    Session session = Session::fromJoin(snapshot.session(), snapshot.join());
    session.ended = snapshot.ended();
    session.released = snapshot.released();
    session.generation = snapshot.generation();
    for (const wire::PeerSetSnapshot &set : snapshot.peer_sets()) {
        session.peerSets.push_back({set.generation(), {set.peers().begin(), set.peers().end()}});
    }
    // Sessions are in ascending order of id, so the last one of a node is its newest.
    this->nodes[session.node] = session.id;
    this->sessions.emplace(session.id, std::move(session));
}

absl::Status ClusterState::restoreService(const wire::ServiceSnapshot &snapshot)
{
    absl::Status error = makeError(ErrorKind::Internal, "the checkpoint has an invalid service");
    const Slot count = this->serviceLayout.count();
    if (static_cast<Slot>(snapshot.owners_size()) != count
        || static_cast<Slot>(snapshot.epochs_size()) != count) {
        return error;
    }
    ServiceState &service = this->services[snapshot.service()];
    service.slots.resize(count);
    for (Slot slot = 0; slot < count; ++slot) {
        SlotState &state = service.slots[slot];
        state.owner = snapshot.owners(static_cast<int>(slot));
        state.epoch = snapshot.epochs(static_cast<int>(slot));
        if (state.owner != 0 && this->sessions.count(state.owner) == 0) {
            return error;
        }
        if (state.owner != 0) {
            ++this->sessions.at(state.owner).slots;
        }
    }
    for (const wire::PredecessorSnapshot &list : snapshot.predecessors()) {
        if (list.slot() >= count || list.sessions_size() != list.epochs_size()) {
            return error;
        }
        for (int index = 0; index < list.sessions_size(); ++index) {
            if (this->sessions.count(list.sessions(index)) == 0) {
                return error;
            }
            this->addPredecessor(service.slots[list.slot()],
                                 {list.sessions(index), list.epochs(index)});
        }
    }
    for (const wire::LineageSnapshot &list : snapshot.lineages()) {
        for (const SessionId session : list.sessions()) {
            if (list.slot() >= count || this->sessions.count(session) == 0) {
                return error;
            }
            this->addLineage(service.slots[list.slot()], session);
        }
    }
    for (const wire::BindingSnapshot &binding : snapshot.bindings()) {
        if (!this->serviceLayout.isDedicated(binding.dedicated_slot())) {
            return error;
        }
        service.bindings.push_back({binding.key_hash(), binding.dedicated_slot()});
    }
    return absl::OkStatus();
}

} // namespace kumquat
