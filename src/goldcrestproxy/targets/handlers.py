"""HTTP handler for the announcements of targets."""

from __future__ import annotations

from tornado import web

from goldcrestproxy import control
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.targets import agent
from goldcrestproxy.targets import protocol


class AnnounceHandler(web.RequestHandler):
    """Registers targets from their announcements."""

    def initialize(
        self, link: agent.ControlAccess, announcement_bytes_max: int
    ) -> None:
        """Set the link to the control leader and the size limit."""
        self._link = link
        self._announcement_bytes_max = announcement_bytes_max

    async def post(self) -> None:
        """Answer once the announcement is committed."""
        try:
            if len(self.request.body) > self._announcement_bytes_max:
                raise results.refusal(
                    results.BAD_ANNOUNCEMENT,
                    f"{len(self.request.body)} bytes; at most "
                    f"{self._announcement_bytes_max} are allowed",
                )
            announcement = protocol.read_announcement(self.request.body)
            command = announcement.command()
            if not _is_unchanged(self._link.state, command):
                await self._link.propose(command)
        except errors.RefusedError as error:
            self.set_status(results.BY_CODE[error.code].status)
            self.write({"code": error.code, "text": error.text})
            return
        self.write({"accepted": True})


def _is_unchanged(
    state: control.ControlState, command: control.AnnounceTarget
) -> bool:
    """Whether the replicated state already contains the announcement."""
    record = state.targets.get(command.target)
    return (
        record is not None
        and record.incarnation == command.incarnation
        and record.leaving == command.leaving
    )
