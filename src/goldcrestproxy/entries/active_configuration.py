"""Access to the configuration in force."""

from __future__ import annotations

import json

from goldcrestproxy.entries import control_link
from goldcrestproxy import results
from goldcrestproxy.routing import classification
from goldcrestproxy import settings


class ActiveConfiguration:
    """Compiles the configuration whenever its document changes."""

    def __init__(self, link: control_link.ControlLink) -> None:
        """Read the configuration from the replicated state of ``link``."""
        self._link = link
        self._document = ""
        self._classifier: classification.RequestClassifier | None = None
        self._desks: dict[str, settings.Desk] = {}

    def get(self) -> classification.RequestClassifier:
        """Return the classifier for the configuration in force.

        :raises RefusedError: before any configuration has arrived
        """
        self._refresh()
        if self._classifier is None:
            raise results.refusal(
                results.NO_CONFIGURATION,
                "no configuration has arrived here yet",
                500,
            )
        return self._classifier

    def desk(self, name: str) -> settings.Desk | None:
        """Return a desk as defined for the first customer that has it."""
        self._refresh()
        return self._desks.get(name)

    def _refresh(self) -> None:
        document = self._link.state.configuration.document
        if document is self._document or not document:
            return
        self._document = document
        checked = settings.check_deployment(
            json.loads(document), "configuration"
        )
        self._classifier = classification.RequestClassifier(checked)
        self._desks = {}
        for filled in checked.customers.values():
            for name, desk in filled.desks.items():
                self._desks.setdefault(name, desk)
