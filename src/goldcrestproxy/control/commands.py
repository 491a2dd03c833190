"""Commands of the replicated log."""

from __future__ import annotations

import attrs

from goldcrestproxy.control import members
from goldcrestproxy import registry


@attrs.frozen(kw_only=True)
class Noop:
    """First entry of a leader's term."""


@attrs.frozen(kw_only=True)
class DeskShape:
    """What the replicated state must know of a desk."""

    kind: str
    partitions: int


@attrs.frozen(kw_only=True)
class ApplyConfiguration:
    """Replaces the configuration document, compare-and-swap."""

    change_id: str
    expected_revision: int
    operator: str
    time_s: float
    document: str
    desks: dict[str, DeskShape]


@attrs.frozen(kw_only=True)
class ChangeZone:
    """Takes an availability zone out or brings it back."""

    change_id: str
    expected_revision: int
    operator: str
    time_s: float
    zone: str
    out: bool


@attrs.frozen(kw_only=True)
class DrainTarget:
    """Marks a target as leaving, or takes the mark back."""

    change_id: str
    expected_revision: int
    operator: str
    time_s: float
    target: str
    leaving: bool


@attrs.frozen(kw_only=True)
class Supports:
    """Parts of the target protocol that a target implements."""

    fencing: bool = False
    cancellation: bool = False
    deadlines: bool = False


@attrs.frozen(kw_only=True)
class AnnounceTarget:
    """A target said that it is there, is new, or is leaving."""

    target: str
    incarnation: str
    zone: str
    desk: str
    address: str
    slots: int
    supports: Supports = Supports()
    leaving: bool = False


@attrs.frozen(kw_only=True)
class ReportTarget:
    """A coordinator found its target lost, or reached it again.

    ``lost`` is only reported once every grant of the target has run out.
    """

    target: str
    incarnation: str
    epoch: int
    lost: bool


@attrs.frozen(kw_only=True)
class ForgetTarget:
    """Drops the record of a target that was lost for long."""

    target: str
    incarnation: str


@attrs.frozen(kw_only=True)
class AssignCoordinators:
    """Gives targets that have no coordinator to a daemon's session.

    ``warm`` names those that their coordinator before had found warm.
    """

    host: str
    session: str
    address: str
    peer_port: int
    targets: tuple[str, ...]
    warm: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class RevokeCoordinators:
    """Asks a coordinator to give targets up."""

    targets: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ReleaseCoordinators:
    """A coordinator gave targets up; it sends them nothing any more."""

    host: str
    session: str
    targets: tuple[str, ...]


@attrs.frozen(kw_only=True)
class EndSession:
    """A daemon's lease has run out: it coordinates nothing any more."""

    host: str
    session: str


@attrs.frozen(kw_only=True)
class Slot:
    """A partition of a keyed desk, or a hot key split out of one."""

    number: int
    hot: bool = False


@attrs.frozen(kw_only=True)
class Placed:
    """A slot and the target that shall own it."""

    slot: Slot
    target: str


@attrs.frozen(kw_only=True)
class Held:
    """A slot and the fencing token under which it is held."""

    slot: Slot
    token: int


@attrs.frozen(kw_only=True)
class GrantSlots:
    """Gives free slots to targets; the entry's index is the token."""

    desk: str
    placed: tuple[Placed, ...]


@attrs.frozen(kw_only=True)
class RevokeSlots:
    """Asks the coordinators of the owners to release slots."""

    desk: str
    held: tuple[Held, ...]


@attrs.frozen(kw_only=True)
class ReleaseSlots:
    """The owner holds these slots no more, acknowledged or run out.

    Only counts from the coordinator of the assignment ``epoch``.
    """

    desk: str
    held: tuple[Held, ...]
    target: str
    epoch: int


@attrs.frozen(kw_only=True)
class KeepSlots:
    """Takes a revocation back: work in flight would not end soon."""

    desk: str
    held: tuple[Held, ...]
    target: str
    epoch: int


@attrs.frozen(kw_only=True)
class SplitKeys:
    """Gives hot keys a record of their own, held by the same owner."""

    desk: str
    key_hashes: tuple[int, ...]


@attrs.frozen(kw_only=True)
class JoinKeys:
    """Drops the records of keys that are not hot any more.

    Only takes effect where the key's owner is its partition's owner.
    """

    desk: str
    key_hashes: tuple[int, ...]


@attrs.frozen(kw_only=True)
class Claim:
    """Claims an idempotency key before the request is sent."""

    customer: str
    idempotency_key: str
    fingerprint: str
    request_id: str
    claim_id: str
    host: str
    session: str
    time_s: float


@attrs.frozen(kw_only=True)
class Answer:
    """A recorded answer of a claimed request."""

    code: int
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body_base64: str = ""


@attrs.frozen(kw_only=True)
class SettleClaim:
    """Records how a claimed request ended; ``not_run`` frees the claim."""

    customer: str
    idempotency_key: str
    claim_id: str
    answer: Answer
    not_run: bool = False


@attrs.frozen(kw_only=True)
class ForgetClaims:
    """Drops the settled claims made before a time."""

    before_s: float


@attrs.frozen(kw_only=True)
class ReportCrash:
    """A target was lost while it ran requests with these fingerprints."""

    target: str
    incarnation: str
    fingerprints: tuple[str, ...]
    time_s: float
    # Crashes after which a fingerprint is quarantined.
    crashes_needed: int = 2


@attrs.frozen(kw_only=True)
class ReleaseQuarantine:
    """Lets requests with a fingerprint run again."""

    fingerprint: str


Command = (
    Noop
    | members.Members
    | ApplyConfiguration
    | ChangeZone
    | DrainTarget
    | AnnounceTarget
    | ReportTarget
    | ForgetTarget
    | AssignCoordinators
    | RevokeCoordinators
    | ReleaseCoordinators
    | EndSession
    | GrantSlots
    | RevokeSlots
    | ReleaseSlots
    | KeepSlots
    | SplitKeys
    | JoinKeys
    | Claim
    | SettleClaim
    | ForgetClaims
    | ReportCrash
    | ReleaseQuarantine
    | registry.Command
)
