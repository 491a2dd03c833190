"""The operators' interface: HTTP with JSON, used by the command line."""

from __future__ import annotations

import json
import typing as ty

from tornado import web

from goldcrestproxy import control
from goldcrestproxy.control import clock as clocks
from goldcrestproxy import entries
from goldcrestproxy import errors
from goldcrestproxy.operators import views
from goldcrestproxy import results
from goldcrestproxy import settings

CHANGE_ID_BYTES_MAX: ty.Final = 128


class OperatorHandler(web.RequestHandler):
    """Common ground of the operators' handlers."""

    def initialize(self, link: entries.ControlLink) -> None:
        """Share the daemon's link to the control leader."""
        self.link = link

    def write_error(self, status_code: int, **kwargs: ty.Any) -> None:
        """Answer an error as a numbered refusal."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, errors.RefusedError):
            self.refuse(error.code, error.text)
        elif isinstance(error, errors.SettingsError):
            self.set_status(400)
            self.refuse(results.INVALID_CONFIGURATION, str(error))
        else:
            self.refuse(results.INTERNAL, str(error))

    def log_exception(self, *exc_info: ty.Any) -> None:
        """Log faults of the system only."""
        if not isinstance(exc_info[1], errors.GoldcrestProxyError):
            super().log_exception(*exc_info)

    def refuse(self, code: int, text: str, **fields: ty.Any) -> None:
        """Answer with a numbered refusal."""
        self.set_status(results.BY_CODE[code].status)
        self.finish({"code": code, "text": text, **fields})

    def read_json(self) -> dict[str, ty.Any]:
        """Return the request's body.

        :raises RefusedError: when it is not a JSON object
        """
        try:
            body = json.loads(self.request.body)
        except ValueError as error:
            raise results.refusal(
                results.BAD_REQUEST, f"the body is not JSON: {error}"
            ) from error
        if not isinstance(body, dict):
            raise results.refusal(
                results.BAD_REQUEST, "the body is not a JSON object"
            )
        return body

    def read_change_fields(self, body: dict[str, ty.Any]) -> dict[str, ty.Any]:
        """Return the fields that every change has.

        :raises RefusedError: when one is missing or not usable
        """
        change_id = body.get("change_id")
        if not isinstance(change_id, str) or not (
            1 <= len(change_id) <= CHANGE_ID_BYTES_MAX
        ):
            raise results.refusal(
                results.BAD_REQUEST,
                f"change_id must be a text of 1 to {CHANGE_ID_BYTES_MAX}",
            )
        expected_revision = body.get("expected_revision")
        if expected_revision is None:
            expected_revision = self.link.state.configuration.revision
        if type(expected_revision) is not int:
            raise results.refusal(
                results.BAD_REQUEST, "expected_revision must be a number"
            )
        return {
            "change_id": change_id,
            "expected_revision": expected_revision,
            "operator": str(body.get("operator", "")),
            "time_s": clocks.wall_s(),
        }

    async def commit_change(self, command: control.Command) -> None:
        """Propose a change and answer with its outcome."""
        outcome = await self.link.propose(command)
        match outcome:
            case control.Changed():
                self.finish({"revision": outcome.revision})
            case control.Refused():
                await self.link.catch_up()
                self.refuse(
                    outcome.code,
                    outcome.text,
                    revision=outcome.revision,
                    document=self.link.state.configuration.document,
                )
            case _:
                self.refuse(results.INTERNAL, f"unexpected {outcome}")


class ConfigurationHandler(OperatorHandler):
    """Reads and replaces the configuration."""

    async def get(self) -> None:
        """Answer the configuration in force."""
        current = await self.link.catch_up()
        configuration = self.link.state.configuration
        self.write(
            {
                "revision": configuration.revision,
                "document": configuration.document,
                "zones_out": configuration.zones_out,
                "current": current,
            }
        )

    async def post(self) -> None:
        """Apply a document, compare-and-swap."""
        body = self.read_json()
        document, desk_shapes = _parse_document(body)
        _check_partition_counts(self.link.state, desk_shapes)
        await self.commit_change(
            control.ApplyConfiguration(
                document=document,
                desks=desk_shapes,
                **self.read_change_fields(body),
            )
        )


class PlanHandler(OperatorHandler):
    """Shows what an apply would change."""

    async def post(self) -> None:
        """Answer the difference to the configuration in force."""
        document, desk_shapes = _parse_document(self.read_json())
        await self.link.catch_up()
        _check_partition_counts(self.link.state, desk_shapes)
        configuration = self.link.state.configuration
        self.write(
            {
                "revision": configuration.revision,
                "diff": settings.diff_documents(
                    configuration.document, document
                ),
            }
        )


class HistoryHandler(OperatorHandler):
    """Shows the accepted changes."""

    async def get(self) -> None:
        """Answer the changes, the newest first."""
        await self.link.catch_up()
        self.write(views.history(self.link.state))


class ZoneHandler(OperatorHandler):
    """Takes a zone out and brings it back."""

    async def post(self, zone: str) -> None:
        """Commit the change of a zone."""
        body = self.read_json()
        await self.link.catch_up()
        await self.commit_change(
            control.ChangeZone(
                zone=zone,
                out=bool(body.get("out")),
                **self.read_change_fields(body),
            )
        )


class DrainHandler(OperatorHandler):
    """Takes a target out of service and brings it back."""

    async def post(self, target: str) -> None:
        """Commit the change of a target."""
        body = self.read_json()
        await self.link.catch_up()
        await self.commit_change(
            control.DrainTarget(
                target=target,
                leaving=bool(body.get("drain", True)),
                **self.read_change_fields(body),
            )
        )


class TargetsHandler(OperatorHandler):
    """Shows the targets."""

    async def get(self) -> None:
        """Answer every target as the map has it."""
        await self.link.catch_up()
        self.write(views.targets(self.link.state))


class OwnersHandler(OperatorHandler):
    """Shows the owner of a key."""

    async def get(self) -> None:
        """Answer who owns a customer's key."""
        await self.link.catch_up()
        self.write(
            views.owner(
                self.link.state,
                self.get_argument("customer"),
                self.get_argument("desk"),
                self.get_argument("key"),
            )
        )


class StatusHandler(OperatorHandler):
    """Shows the daemons and the revision in force on each."""

    def initialize(
        self,
        link: entries.ControlLink,
        describe: ty.Callable[[], dict[str, ty.Any]],
    ) -> None:
        """Take a function that describes this daemon."""
        super().initialize(link)
        self._describe = describe

    async def get(self) -> None:
        """Answer this daemon's state, and the leader's view of all."""
        status = self._describe()
        status["revision"] = self.link.state.configuration.revision
        status["has_lease"] = self.link.has_lease
        try:
            status["daemons"] = await self.link.query("daemons")
            status["members"] = await self.link.query("members")
        except errors.RefusedError as error:
            status["daemons"] = []
            status["members"] = []
            status["problem"] = error.text
        self.write(status)


class MembersHandler(OperatorHandler):
    """Founds the control group and changes its members."""

    async def post(self, action: str) -> None:
        """Carry out ``found``, ``add`` or ``remove``."""
        body = self.read_json()
        host = str(body.get("host", ""))
        query = "found" if action == "found" else f"members-{action}"
        self.write({"members": await self.link.query(query, host)})


class QuarantineHandler(OperatorHandler):
    """Shows and releases quarantined requests."""

    async def get(self) -> None:
        """Answer the fingerprints under suspicion."""
        await self.link.catch_up()
        self.write(views.quarantine(self.link.state))

    async def post(self) -> None:
        """Release a fingerprint."""
        fingerprint = str(self.read_json().get("fingerprint", ""))
        await self.link.catch_up()
        if fingerprint not in self.link.state.quarantine.crashes:
            raise results.refusal(
                results.NOT_FOUND,
                f"no request with fingerprint {fingerprint!r} is suspected",
            )
        await self.link.propose(
            control.ReleaseQuarantine(fingerprint=fingerprint)
        )
        self.write({"released": fingerprint})


def _parse_document(
    body: dict[str, ty.Any],
) -> tuple[str, dict[str, control.DeskShape]]:
    """Check a document; return it without comments, and its desks.

    :raises SettingsError: naming path, value and what is allowed
    """
    parsed = settings.parse(
        str(body.get("document", "")), str(body.get("file", "document"))
    )
    deployment = settings.check_deployment(
        parsed, str(body.get("file", "document"))
    )
    desk_shapes = {
        name: control.DeskShape(kind=desk.kind, partitions=desk.partitions)
        for template in deployment.customers.values()
        for name, desk in template.desks.items()
    }
    return json.dumps(parsed, separators=(",", ":")), desk_shapes


def _check_partition_counts(
    state: control.ControlState, desk_shapes: dict[str, control.DeskShape]
) -> None:
    for name, shape in desk_shapes.items():
        desk = state.desks.get(name)
        if desk is not None and len(desk.partitions) != shape.partitions:
            raise results.refusal(
                results.INVALID_CONFIGURATION,
                f"desk {name} has {len(desk.partitions)} partitions; the "
                "number cannot change, add a new desk instead",
            )
