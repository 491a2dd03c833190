"""Exceptions of goldcrestproxy."""

from __future__ import annotations


class GoldcrestProxyError(Exception):
    """Base class of the project's exceptions."""


class SettingsError(GoldcrestProxyError):
    """A settings or configuration file cannot be used."""

    def __init__(self, file: str, path: str, problem: str) -> None:
        """Set the file, the path inside it and the problem found there."""
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
        """Set the file and the offset of the damaged record."""
        self.file = file
        self.offset_bytes = offset_bytes
        super().__init__(
            f"{file}: damaged at offset {offset_bytes} bytes: {problem}; "
            "treat this disk as lost: move the data folder away, start with "
            "an empty one and run 'goldcrestproxy members add'"
        )


class WireError(GoldcrestProxyError):
    """A peer violated the channel protocol, or the channel is closed."""


class MalformedFrameError(WireError):
    """A received frame is not valid in this version of the protocol."""


class FrameTooLargeError(WireError):
    """A message is too large for the channel; nothing was sent."""


class ChannelClosedError(WireError):
    """The connection to a peer was closed before an answer was received."""


class PeerTimeoutError(WireError):
    """A peer did not answer within its timeout."""


class NotLeaderError(GoldcrestProxyError):
    """The call needs the leader, and this replica is not the leader."""

    def __init__(self, leader_host: str) -> None:
        """Set the leader's host name, empty if it is unknown."""
        self.leader_host = leader_host
        super().__init__(
            f"not the leader; ask {leader_host or 'again in a moment'}"
        )


class ProposalLostError(GoldcrestProxyError):
    """The outcome of a proposal is unknown after a change of leader."""


class RefusedError(GoldcrestProxyError):
    """A request is refused with a result code; see docs/result-codes.md."""

    def __init__(self, code: int, text: str, retry_after_ms: int = 0) -> None:
        """Set the result code, its text and the time until a retry.

        :param retry_after_ms: 0 if a retry does not help
        """
        self.code = code
        self.text = text
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{code}: {text}")
