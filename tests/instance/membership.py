"""Raft cluster with the membership managers of its replicas."""

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.membership_planner import MembershipOptions
from bluebellyoke.instance.directory import ReplicaDirectory
from bluebellyoke.instance.membership import MembershipManager
from tests.consensus.cluster import Cluster, create_member

TARGET_VOTERS = 3

OPTIONS = MembershipOptions(target_voters=TARGET_VOTERS, replace_after_s=2.0)


class ManagedCluster(Cluster):
    """A cluster whose replicas also exchange requests to join and to leave.

    Attributes:
        has_leading_seeds: Whether the leader may be a seed of the replicas that start.
    """

    def __init__(self):
        self.managers = {}
        self.directories = {}
        self.addresses = {}
        self.has_leading_seeds = True
        super().__init__(TARGET_VOTERS)

    def start(self, name):
        super().start(name)
        member = create_member(name)
        self.addresses[f"{member.address}:{member.port}"] = name
        directory = ReplicaDirectory(seeds=self.list_seeds())
        self.directories[name] = directory
        self.managers[name] = MembershipManager(
            raft=self.nodes[name],
            member=member,
            options=OPTIONS,
            directory=directory,
            send=lambda address, message: self.network.append(
                (name, self.addresses.get(address, ""), message)
            ),
        )

    def list_seeds(self):
        """Return the addresses of up to three running replicas, or of one follower."""
        names = sorted(self.nodes)[:3]
        if not self.has_leading_seeds:
            followers = self.list_voters() - {self.find_leader()}
            names = sorted(followers & set(self.nodes))[:1]
        members = [create_member(name) for name in names]
        return tuple(f"{item.address}:{item.port}" for item in members)

    def deliver(self, position):
        source, target, message = self.network[position]
        manager = self.managers.get(target)
        if target in self.nodes and not self.is_partitioned(source, target):
            if isinstance(message, messages.JoinRequest):
                manager.record_join_request(message.member, self.now)
            elif isinstance(message, messages.LeaveNotice):
                manager.record_leave_notice(source, self.now)
            elif isinstance(message, messages.PeerList):
                self.directories[target].record_peer_list(message.addresses)
        super().deliver(position)

    def advance(self, seconds):
        super().advance(seconds)
        for name in sorted(self.nodes):
            self.managers[name].tick(self.now)
            self.manage(name)

    def manage(self, name):
        """Let a leader with a valid lease propose a membership change."""
        if self.nodes[name].is_lease_valid(self.now):
            self.managers[name].propose_change(self.now)
            self.process_effects(name)

    def list_voters(self):
        leader = self.find_leader()
        return set(self.nodes[leader].membership.voters) if leader else set()
