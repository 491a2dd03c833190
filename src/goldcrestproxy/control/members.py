"""Membership of the control group."""

from __future__ import annotations

import attrs

from goldcrestproxy import wire


@attrs.frozen(kw_only=True)
class Member:
    """A replica of the control group; not a voter while it is a learner."""

    replica: str
    host: str
    address: str
    peer_port: int
    voter: bool = True

    @property
    def peer(self) -> wire.PeerAddress:
        """The address on which the replica accepts peers."""
        return wire.PeerAddress(self.address, self.peer_port)


@attrs.frozen(kw_only=True)
class Members:
    """All members of the group; as a log entry, replaces the membership."""

    members: tuple[Member, ...] = ()

    def find(self, replica: str) -> Member | None:
        """Return a member by replica id, None if there is none."""
        for member in self.members:
            if member.replica == replica:
                return member
        return None

    def voters(self) -> tuple[Member, ...]:
        """Return the voting members."""
        return tuple(member for member in self.members if member.voter)

    def is_voter(self, replica: str) -> bool:
        """Whether the replica is a voting member."""
        member = self.find(replica)
        return member is not None and member.voter

    def majority(self) -> int:
        """Return the number of voters in a quorum."""
        return len(self.voters()) // 2 + 1

    def with_member(self, member: Member) -> Members:
        """Return a copy with this member added or replaced."""
        others = tuple(
            other for other in self.members if other.replica != member.replica
        )
        return Members(members=(*others, member))

    def without(self, replica: str) -> Members:
        """Return a copy without this replica."""
        return Members(
            members=tuple(
                member for member in self.members if member.replica != replica
            )
        )
