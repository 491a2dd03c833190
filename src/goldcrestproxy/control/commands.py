"""Commands of the replicated log."""

from __future__ import annotations

import attrs

from goldcrestproxy.control import members
from goldcrestproxy import registry


@attrs.frozen(kw_only=True)
class Noop:
    """The first entry of a leader's term; has no effect."""


@attrs.frozen(kw_only=True)
class DeskShape:
    """The properties of a desk that the replicated state depends on."""

    kind: str
    partitions: int


@attrs.frozen(kw_only=True)
class ApplyConfiguration:
    """Replaces the configuration document by compare-and-swap."""

    change_id: str
    expected_revision: int
    operator: str
    time_s: float
    document: str
    desks: dict[str, DeskShape]


@attrs.frozen(kw_only=True)
class ChangeZone:
    """Takes an availability zone out of service or back into service."""

    change_id: str
    expected_revision: int
    operator: str
    time_s: float
    zone: str
    out: bool


@attrs.frozen(kw_only=True)
class DrainTarget:
    """Sets or clears the drained mark of a target."""

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
    """Records a target's announcement: start, restart or leaving."""

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
    """Records that a coordinator lost its target, or reached it again.

    ``lost`` is only reported once every grant of the target has expired.
    """

    target: str
    incarnation: str
    epoch: int
    lost: bool


@attrs.frozen(kw_only=True)
class ForgetTarget:
    """Deletes the record of a target that has been lost for long."""

    target: str
    incarnation: str


@attrs.frozen(kw_only=True)
class AssignCoordinators:
    """Assigns targets without a coordinator to a daemon's session.

    ``warm`` lists the targets that the previous coordinator measured as warm.
    """

    host: str
    session: str
    address: str
    peer_port: int
    targets: tuple[str, ...]
    warm: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class RevokeCoordinators:
    """Requests that coordinators release targets."""

    targets: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ReleaseCoordinators:
    """Records that a coordinator released targets and sends nothing more."""

    host: str
    session: str
    targets: tuple[str, ...]


@attrs.frozen(kw_only=True)
class EndSession:
    """Ends the session of a daemon whose lease has expired.

    The daemon loses all its targets, and its running claims are settled.
    """

    host: str
    session: str


@attrs.frozen(kw_only=True)
class Slot:
    """A partition of a keyed desk, or a hot key split out of one."""

    number: int
    hot: bool = False


@attrs.frozen(kw_only=True)
class Placed:
    """A slot and the target to which it is granted."""

    slot: Slot
    target: str


@attrs.frozen(kw_only=True)
class Held:
    """A slot and the fencing token under which it is held."""

    slot: Slot
    token: int


@attrs.frozen(kw_only=True)
class GrantSlots:
    """Grants free slots to targets; the log index is the fencing token."""

    desk: str
    placed: tuple[Placed, ...]


@attrs.frozen(kw_only=True)
class RevokeSlots:
    """Requests that the owners' coordinators release slots."""

    desk: str
    held: tuple[Held, ...]


@attrs.frozen(kw_only=True)
class ReleaseSlots:
    """Frees slots whose release is acknowledged or whose grant has expired.

    Only takes effect from the coordinator of the assignment ``epoch``.
    """

    desk: str
    held: tuple[Held, ...]
    target: str
    epoch: int


@attrs.frozen(kw_only=True)
class KeepSlots:
    """Cancels a revocation because work in flight would not end soon."""

    desk: str
    held: tuple[Held, ...]
    target: str
    epoch: int


@attrs.frozen(kw_only=True)
class SplitKeys:
    """Creates slots for hot keys, owned by their partition's owner."""

    desk: str
    key_hashes: tuple[int, ...]


@attrs.frozen(kw_only=True)
class JoinKeys:
    """Deletes the slots of keys that are no longer hot.

    Only takes effect where the key's owner is its partition's owner.
    """

    desk: str
    key_hashes: tuple[int, ...]


@attrs.frozen(kw_only=True)
class Claim:
    """Claims an idempotency key before the request is sent.

    ``earlier_fingerprint`` is the one that earlier builds compute for a long
    body, from its length.
    """

    customer: str
    idempotency_key: str
    fingerprint: str
    request_id: str
    claim_id: str
    host: str
    session: str
    time_s: float
    earlier_fingerprint: str = ""


@attrs.frozen(kw_only=True)
class Answer:
    """The recorded answer to a claimed request."""

    code: int
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body_base64: str = ""


@attrs.frozen(kw_only=True)
class SettleClaim:
    """Records the answer to a claimed request.

    ``not_run`` deletes a running claim instead.
    """

    customer: str
    idempotency_key: str
    claim_id: str
    answer: Answer
    not_run: bool = False


@attrs.frozen(kw_only=True)
class ForgetClaims:
    """Deletes the settled claims made before ``before_s``."""

    before_s: float


@attrs.frozen(kw_only=True)
class ReportCrash:
    """Records that a target crashed while running these fingerprints."""

    target: str
    incarnation: str
    fingerprints: tuple[str, ...]
    time_s: float
    # Number of crashes after which a fingerprint is quarantined.
    crashes_needed: int = 2


@attrs.frozen(kw_only=True)
class ReleaseQuarantine:
    """Removes a fingerprint from quarantine."""

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
