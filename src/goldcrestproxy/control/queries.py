"""Answers of the leader to queries by operators and daemons."""

from __future__ import annotations

import typing as ty

from goldcrestproxy.control import members as groups
from goldcrestproxy.control import sessions as daemon_sessions


def describe_members(members: groups.Members) -> ty.Any:
    """Return the members as JSON values."""
    return [
        {
            "host": member.host,
            "replica": member.replica,
            "address": member.address,
            "peer_port": member.peer_port,
            "voter": member.voter,
        }
        for member in members.members
    ]


def describe_daemons(sessions: daemon_sessions.Sessions) -> ty.Any:
    """Return the connected daemons and their state as JSON values.

    Sorted by host. Includes the configuration revision of each daemon.
    """
    daemons = [
        {
            "host": session.host,
            "zone": session.zone,
            "revision": session.revision,
            "applied_index": session.applied_index,
            "stopping": session.stopping,
        }
        for session in sessions.by_session.values()
        if session.channel is not None
    ]
    return sorted(daemons, key=lambda daemon: str(daemon["host"]))
