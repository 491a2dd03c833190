"""The replicated state, built by applying the commands of the log.

Every replica and every daemon applies the same entries in the same order, so
this module must be deterministic: no clocks, no random numbers.
"""

from __future__ import annotations

import json
import typing as ty

import attrs
import cattrs

from goldcrestproxy.control import claims
from goldcrestproxy.control import commands
from goldcrestproxy.control import configuration
from goldcrestproxy.control import members as groups
from goldcrestproxy.control import outcomes
from goldcrestproxy.control import quarantine
from goldcrestproxy.control import records
from goldcrestproxy.control import slots
from goldcrestproxy import registry
from goldcrestproxy import results

_CONVERTER: ty.Final = cattrs.Converter(omit_if_default=True)
_DONE: ty.Final = outcomes.Done()
ENDED_SESSIONS_MAX: ty.Final = 10_000
# Not sent to daemons: only the daemon that made a claim needs its outcome,
# and receives it as the reply.
CLAIM_COMMANDS: ty.Final = (
    commands.Claim,
    commands.SettleClaim,
    commands.ForgetClaims,
)


@attrs.define(kw_only=True)
class ControlState:
    """Configuration, targets, ownership, claims and quarantine."""

    applied_index: int = 0
    # Index of the newest entry relevant to daemons, which excludes claims.
    map_index: int = 0
    members: groups.Members = attrs.field(factory=groups.Members)
    configuration: configuration.ConfigurationState = attrs.field(
        factory=configuration.ConfigurationState
    )
    targets: dict[str, records.TargetRecord] = attrs.field(factory=dict)
    desks: dict[str, records.DeskRecord] = attrs.field(factory=dict)
    claims: claims.ClaimState = attrs.field(factory=claims.ClaimState)
    quarantine: quarantine.QuarantineState = attrs.field(
        factory=quarantine.QuarantineState
    )
    registry: registry.RegistryState = attrs.field(
        factory=registry.RegistryState
    )
    # Index of the entry that ended each session, oldest first.
    ended_sessions: dict[str, int] = attrs.field(factory=dict)

    @property
    def binding_index(self) -> int:
        """Index of the last change that binds all hosts within a time.

        A snapshot of an earlier build does not name it; then any entry may
        have been one.
        """
        return self.registry.binding_index or self.map_index

    def encode(self, *, for_daemons: bool = False) -> bytes:
        """Return an encoded snapshot.

        :param for_daemons: leave out claims and the keys of customers
        """
        snapshot = self
        if for_daemons:
            snapshot = attrs.evolve(
                self,
                claims=claims.ClaimState(),
                registry=self.registry.without_keys(),
            )
        return json.dumps(
            _CONVERTER.unstructure(snapshot), separators=(",", ":")
        ).encode()

    @classmethod
    def decode(cls, data: bytes) -> ControlState:
        """Decode a snapshot."""
        return _CONVERTER.structure(json.loads(data), cls)

    def apply(self, index: int, command: commands.Command) -> outcomes.Outcome:
        """Apply a command and return its outcome.

        :param index: log index of the command's entry
        """
        self.applied_index = index
        if not isinstance(command, CLAIM_COMMANDS):
            self.map_index = index
        match command:
            case commands.Noop():
                return _DONE
            case groups.Members():
                self.members = command
                return _DONE
            case (
                commands.ApplyConfiguration()
                | commands.ChangeZone()
                | commands.DrainTarget()
            ):
                return self._change_configuration(command)
            case commands.AnnounceTarget():
                return self._apply_announcement(command)
            case commands.ReportTarget():
                return self._apply_report(command)
            case commands.ForgetTarget():
                return self._remove_target(command)
            case (
                commands.AssignCoordinators()
                | commands.RevokeCoordinators()
                | commands.ReleaseCoordinators()
                | commands.EndSession()
            ):
                return self._change_coordinators(index, command)
            case (
                commands.GrantSlots()
                | commands.RevokeSlots()
                | commands.ReleaseSlots()
                | commands.KeepSlots()
                | commands.SplitKeys()
                | commands.JoinKeys()
            ):
                return slots.change_slots(self, index, command)
            case (
                commands.Claim()
                | commands.SettleClaim()
                | commands.ForgetClaims()
            ):
                return self.claims.apply(command)
            case commands.ReportCrash() | commands.ReleaseQuarantine():
                return self.quarantine.apply(command)
            case (
                registry.ChangeItems()
                | registry.SetZone()
                | registry.RegisterTarget()
                | registry.LoseTarget()
                | registry.LayOutKeys()
                | registry.FreeBlocks()
                | registry.GiveBlocks()
                | registry.SplitBlocks()
                | registry.SetQuotaHosts()
            ):
                return self._change_registry(index, command)

    def may_take_work(self, target: records.TargetRecord) -> bool:
        """Whether a target may receive new work."""
        return (
            target.reachable
            and not target.leaving
            and not target.drained
            and target.zone not in self.configuration.zones_out
        )

    def has_applied_end_of(self, session: str, applied_index: int) -> bool:
        """Whether a daemon has applied the end of its session.

        True for a session that was never ended. Until then the daemon may
        act as coordinator of targets that are assigned to others.

        :param applied_index: index of the newest entry applied by the daemon
        """
        return applied_index >= self.ended_sessions.get(session, 0)

    def owned_by(
        self, target: records.TargetRecord
    ) -> list[tuple[commands.Slot, records.SlotRecord]]:
        """Return the slots of its desk that a target owns."""
        desk = self.desks.get(target.desk)
        if desk is None:
            return []
        return [
            (slot, record)
            for slot, record in desk.slots()
            if record.owner == target.target
        ]

    def _change_registry(
        self, index: int, command: registry.Command
    ) -> outcomes.Outcome:
        refused = self.registry.apply(index, command)
        if refused:
            return outcomes.Refused(
                code=results.INVALID_CONFIGURATION, text=refused
            )
        return _DONE

    def _change_configuration(
        self, change: configuration.ConfigurationChange
    ) -> outcomes.Outcome:
        match change:
            case commands.ApplyConfiguration():
                summary = "configuration applied"
            case commands.ChangeZone():
                verb = "taken out" if change.out else "brought back"
                summary = f"zone {change.zone} {verb}"
            case commands.DrainTarget():
                if change.target not in self.targets:
                    return outcomes.Refused(
                        code=results.NOT_FOUND,
                        text=f"no target {change.target!r} is known",
                        revision=self.configuration.revision,
                    )
                verb = "drained" if change.leaving else "taken back"
                summary = f"target {change.target} {verb}"
        refused = self.configuration.accept(change, summary)
        if refused is not None:
            return refused
        match change:
            case commands.ApplyConfiguration():
                self.configuration.document = change.document
                self._set_desks(change.desks)
            case commands.ChangeZone():
                self._set_zone(change.zone, out=change.out)
            case commands.DrainTarget():
                self.targets[change.target].drained = change.leaving
        return outcomes.Changed(revision=self.configuration.revision)

    def _set_desks(self, shapes: dict[str, commands.DeskShape]) -> None:
        for name in list(self.desks):
            if name not in shapes or shapes[name].kind != "keyed":
                del self.desks[name]
        for name, shape in shapes.items():
            if shape.kind == "keyed" and name not in self.desks:
                self.desks[name] = records.DeskRecord(
                    partitions=[
                        records.SlotRecord() for _ in range(shape.partitions)
                    ]
                )

    def _set_zone(self, zone: str, *, out: bool) -> None:
        zones = set(self.configuration.zones_out)
        if out:
            zones.add(zone)
        else:
            zones.discard(zone)
        self.configuration.zones_out = sorted(zones)

    def _apply_announcement(
        self, command: commands.AnnounceTarget
    ) -> outcomes.Outcome:
        previous = self.targets.get(command.target)
        if (
            previous is not None
            and previous.incarnation == command.incarnation
        ):
            previous.leaving = command.leaving
            return _DONE
        if previous is not None:
            self._free_slots(previous)
        record = records.TargetRecord(
            target=command.target,
            incarnation=command.incarnation,
            zone=command.zone,
            desk=command.desk,
            address=command.address,
            slots=command.slots,
            supports=command.supports,
            leaving=command.leaving,
            drained=previous.drained if previous is not None else False,
        )
        if previous is not None:
            record.host, record.session = previous.host, previous.session
            record.peer_address = previous.peer_address
            record.peer_port = previous.peer_port
            record.epoch, record.revoking = previous.epoch, previous.revoking
        self.targets[command.target] = record
        return _DONE

    def _apply_report(
        self, command: commands.ReportTarget
    ) -> outcomes.Outcome:
        target = self.targets.get(command.target)
        if (
            target is None
            or target.incarnation != command.incarnation
            or target.epoch != command.epoch
            or not target.coordinated
        ):
            return _DONE
        target.reachable = not command.lost
        if command.lost:
            self._free_slots(target)
        return _DONE

    def _remove_target(
        self, command: commands.ForgetTarget
    ) -> outcomes.Outcome:
        target = self.targets.get(command.target)
        if (
            target is not None
            and target.incarnation == command.incarnation
            and not target.reachable
            and not self.owned_by(target)
        ):
            del self.targets[command.target]
        return _DONE

    def _free_slots(self, target: records.TargetRecord) -> None:
        for _, record in self.owned_by(target):
            record.free()

    def _change_coordinators(
        self,
        index: int,
        command: (
            commands.AssignCoordinators
            | commands.RevokeCoordinators
            | commands.ReleaseCoordinators
            | commands.EndSession
        ),
    ) -> outcomes.Outcome:
        match command:
            case commands.AssignCoordinators():
                for target in self._existing_targets(command.targets):
                    if not target.coordinated:
                        target.host = command.host
                        target.session = command.session
                        target.peer_address = command.address
                        target.peer_port = command.peer_port
                        target.epoch = index
                        target.warm = target.target in command.warm
            case commands.RevokeCoordinators():
                for target in self._existing_targets(command.targets):
                    target.revoking = target.coordinated
            case commands.ReleaseCoordinators():
                for target in self._existing_targets(command.targets):
                    if target.session == command.session:
                        target.clear_coordinator()
            case commands.EndSession():
                for target in self.targets.values():
                    if target.session == command.session:
                        target.clear_coordinator()
                self.claims.end_session(command.session)
                self._record_ended(index, command.session)
        return _DONE

    def _record_ended(self, index: int, session: str) -> None:
        self.ended_sessions.pop(session, None)
        self.ended_sessions[session] = index
        while len(self.ended_sessions) > ENDED_SESSIONS_MAX:
            del self.ended_sessions[next(iter(self.ended_sessions))]

    def _existing_targets(
        self, names: ty.Iterable[str]
    ) -> list[records.TargetRecord]:
        return [self.targets[name] for name in names if name in self.targets]
