"""HTTP and JSON interface for operators, used by the command line."""

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
    """Base class of the operators' handlers."""

    def initialize(self, link: entries.ControlLink) -> None:
        """Set the link used to read state and propose changes."""
        self.link = link

    def write_error(self, status_code: int, **kwargs: ty.Any) -> None:
        """Respond to an error with a result code and its text."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, errors.RefusedError):
            self.refuse(error.code, error.text)
        elif isinstance(error, errors.SettingsError):
            self.set_status(400)
            self.refuse(results.INVALID_CONFIGURATION, str(error))
        else:
            self.refuse(results.INTERNAL, str(error))

    def log_exception(self, *exc_info: ty.Any) -> None:
        """Log unexpected exceptions only, not the project's own errors."""
        if not isinstance(exc_info[1], errors.GoldcrestProxyError):
            super().log_exception(*exc_info)

    def refuse(self, code: int, text: str, **fields: ty.Any) -> None:
        """Respond with a result code, its HTTP status and its text."""
        self.set_status(results.BY_CODE[code].status)
        self.finish({"code": code, "text": text, **fields})

    def read_json(self) -> dict[str, ty.Any]:
        """Return the request's body as a JSON object.

        :raises RefusedError: if the body is not a JSON object
        """
        try:
            body = json.loads(self.request.body)
        except (ValueError, RecursionError) as error:
            raise results.refusal(
                results.BAD_REQUEST, f"the body is not JSON: {error}"
            ) from error
        if not isinstance(body, dict):
            raise results.refusal(
                results.BAD_REQUEST, "the body is not a JSON object"
            )
        return body

    def read_change_fields(self, body: dict[str, ty.Any]) -> dict[str, ty.Any]:
        """Return the fields common to all changes.

        :raises RefusedError: if a field is missing or invalid
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
        """Propose a change and respond with its outcome."""
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
        """Respond with the configuration in force."""
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
        """Apply a document if the expected revision is still in force."""
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
    """Compares a document with the configuration in force."""

    async def post(self) -> None:
        """Respond with the differences from the configuration in force."""
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
    """Lists the accepted changes."""

    async def get(self) -> None:
        """Respond with the changes, newest first."""
        await self.link.catch_up()
        self.write(views.history(self.link.state))


class ZoneHandler(OperatorHandler):
    """Takes a zone out of service or returns it to service."""

    async def post(self, zone: str) -> None:
        """Commit the change of the zone."""
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
    """Drains a target or returns it to service."""

    async def post(self, target: str) -> None:
        """Commit the change of the target."""
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
    """Lists the targets."""

    async def get(self) -> None:
        """Respond with every target in the replicated state."""
        await self.link.catch_up()
        self.write(views.targets(self.link.state))


class OwnersHandler(OperatorHandler):
    """Looks up the owner of a key."""

    async def get(self) -> None:
        """Respond with the owner of a customer's key."""
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
    """Reports the daemons and the revision in force on each."""

    def initialize(
        self,
        link: entries.ControlLink,
        describe: ty.Callable[[], dict[str, ty.Any]],
    ) -> None:
        """Set the function that returns this daemon's own status fields."""
        super().initialize(link)
        self._describe = describe

    async def get(self) -> None:
        """Respond with this daemon's status and the leader's list of daemons.

        If these queries are refused, the lists are empty and ``problem``
        holds the reason.
        """
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
    """Forms the control group and changes its members."""

    async def post(self, action: str) -> None:
        """Run ``found``, ``add`` or ``remove`` on the leader."""
        body = self.read_json()
        host = str(body.get("host", ""))
        query = "found" if action == "found" else f"members-{action}"
        self.write({"members": await self.link.query(query, host)})


class QuarantineHandler(OperatorHandler):
    """Lists and releases quarantined requests."""

    async def get(self) -> None:
        """Respond with the fingerprints of requests suspected of crashes."""
        await self.link.catch_up()
        self.write(views.quarantine(self.link.state))

    async def post(self) -> None:
        """Release a fingerprint from quarantine."""
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
    """Return a validated document without comments, and its desks.

    :raises SettingsError: if the document is invalid; the error gives the
        path, the value and what is allowed
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
