"""Statuses with which control hosts answer targets and operators."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from goldcrestproxy import errors
from goldcrestproxy.platform import registrants
from goldcrestproxy import results


def status_of(error):
    """Return the status of a call that ends with an error."""
    handler = registrants.ItemsHandler.__new__(registrants.ItemsHandler)
    handler._service = mock.AsyncMock()
    handler._service.serve.side_effect = error
    handler._send_error = mock.Mock()
    handler.request = mock.Mock()
    asyncio.run(handler.get())
    status, _ = handler._send_error.call_args.args
    return status


@pytest.mark.parametrize(
    "error",
    [
        errors.PeerTimeoutError("no answer"),
        errors.ChannelClosedError("closed"),
        results.refusal(results.OUTCOME_UNKNOWN, "lost"),
    ],
)
def test_call_that_may_have_an_effect_is_not_refused_as_not_taken(error):
    assert status_of(error) == 502


def test_call_that_was_not_taken_is_refused_as_such():
    assert status_of(results.refusal(results.NO_LEADER, "none")) == 503
