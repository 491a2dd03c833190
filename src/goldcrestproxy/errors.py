"""The exception tree of goldcrestproxy."""

from __future__ import annotations


class GoldcrestProxyError(Exception):
    """Base of every error that the project raises on purpose."""


class SettingsError(GoldcrestProxyError):
    """A settings or configuration file cannot be used."""

    def __init__(self, file: str, path: str, problem: str) -> None:
        """Name the file, the path inside it and what is allowed there."""
        self.file = file
        self.path = path
        self.problem = problem
        location = f"{file}: {path}" if path else file
        super().__init__(f"{location}: {problem}")


class StorageError(GoldcrestProxyError):
    """The data folder cannot be read or written."""


class DamagedLogError(StorageError):
    """A log record before the end of the log fails its checksum."""

    def __init__(self, file: str, offset_bytes: int, problem: str) -> None:
        """Name the file and the offset of the damaged record."""
        self.file = file
        self.offset_bytes = offset_bytes
        super().__init__(
            f"{file}: damaged at offset {offset_bytes} bytes: {problem}; "
            "treat this disk as lost: move the data folder away, start with "
            "an empty one and run 'goldcrestproxy members add'"
        )


class WireError(GoldcrestProxyError):
    """A peer broke the channel's protocol, or the channel is gone."""


class MalformedFrameError(WireError):
    """A frame that no daemon of this version sends."""


class ChannelClosedError(WireError):
    """The connection to a peer ended before the answer came."""


class PeerTimeoutError(WireError):
    """A peer did not answer within its timeout."""


class NotLeaderError(GoldcrestProxyError):
    """Only the leader can answer, and this replica does not lead."""

    def __init__(self, leader_host: str) -> None:
        """Carry the leader's host name, empty when it is not known."""
        self.leader_host = leader_host
        super().__init__(
            f"not the leader; ask {leader_host or 'again in a moment'}"
        )


class ProposalLostError(GoldcrestProxyError):
    """A proposal's outcome is not known: leadership changed meanwhile."""


class RefusedError(GoldcrestProxyError):
    """A numbered refusal; see docs/result-codes.md."""

    def __init__(self, code: int, text: str, retry_after_ms: int = 0) -> None:
        """Carry the result code, a sentence and when to come back."""
        self.code = code
        self.text = text
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{code}: {text}")
