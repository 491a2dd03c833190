"""Faults of a run, drawn from its seed alone, so that a run can be repeated.

Faults overlap: while one process is frozen, another may be killed, links
delayed and a planned stop begun. At most the tolerated number of control
hosts is affected at a time, except that all of them may be killed with their
disks kept.
"""

from __future__ import annotations

import random
import signal

import attrs

# Between the starts of two faults; short, so that most faults overlap.
GAP_S_MAX = 2.5
FAULT_S_MAX = 4.0
# Time without faults at the end of a run, for recovery.
QUIET_END_S = 16.0
# Time before the first fault.
QUIET_START_S = 2.0
# For a planned stop and the restart.
STOP_S = 7.0


@attrs.frozen(kw_only=True)
class Kill:
    """SIGKILL, and a restart after ``for_s``, on a blank disk if ``wiped``."""

    at_s: float
    for_s: float
    process: str
    wiped: bool = False


@attrs.frozen(kw_only=True)
class KillControl:
    """SIGKILL of all control hosts at the same time; disks are kept."""

    at_s: float
    for_s: float


@attrs.frozen(kw_only=True)
class Stop:
    """SIGTERM, and a restart once the process has ended.

    ``signals`` are all signals to send, with the seconds after ``at_s``; a
    SIGSTOP is followed by a SIGCONT.
    """

    at_s: float
    for_s: float
    process: str
    signals: tuple[tuple[float, signal.Signals], ...] = (
        (0.0, signal.SIGTERM),
    )


@attrs.frozen(kw_only=True)
class Freeze:
    """SIGSTOP, and SIGCONT after ``for_s``."""

    at_s: float
    for_s: float
    process: str


@attrs.frozen(kw_only=True)
class HangUp:
    """SIGHUP to a daemon; targets are left out."""

    at_s: float
    for_s: float
    process: str


@attrs.frozen(kw_only=True)
class Disturb:
    """Delay of a link, or loss of bytes in one or both directions."""

    at_s: float
    for_s: float
    link: str
    delay_s: float = 0.0
    drops_in: bool = False
    drops_out: bool = False


@attrs.frozen(kw_only=True)
class Break:
    """Reset of all open connections of a link, or permanent silence."""

    at_s: float
    for_s: float
    link: str
    silent: bool


@attrs.frozen(kw_only=True)
class TornWrite:
    """SIGKILL, and bytes of an unfinished write at the end of the log."""

    at_s: float
    for_s: float
    process: str
    torn_bytes: int


Fault = (
    Kill | KillControl | Stop | Freeze | HangUp | Disturb | Break | TornWrite
)


def draw(seed, length_s, processes, links, losses_tolerated):
    """Return the faults of a run in the order of their start.

    :param processes: names, control hosts beginning with ``control-``
    :param links: names of links, each that of the process behind it
    """
    rng = random.Random(seed)
    busy_until_s = {}
    faults = []
    at_s = QUIET_START_S
    while at_s < length_s - QUIET_END_S:
        fault = _draw_one(rng, round(at_s, 2), processes, links)
        if _is_allowed(fault, busy_until_s, losses_tolerated):
            for name in affected(fault, processes):
                # A restarted control host needs longer to recover.
                recovery_s = 4.0 if name.startswith("control-") else 1.0
                busy_until_s[name] = fault.at_s + fault.for_s + recovery_s
            faults.append(fault)
        at_s += rng.uniform(0.05, GAP_S_MAX)
    return faults


def _draw_one(rng, at_s, processes, links):
    for_s = round(rng.uniform(0.1, FAULT_S_MAX), 2)
    process = rng.choice(processes)
    link = rng.choice(links)
    control = rng.choice([n for n in processes if n.startswith("control-")])
    entry = rng.choice([n for n in processes if n.startswith("entry-")])
    when = {"at_s": at_s, "for_s": for_s}
    kinds = [
        lambda: Kill(**when, process=process),
        lambda: Kill(**when, process=control, wiped=rng.random() < 0.3),
        lambda: KillControl(at_s=at_s, for_s=rng.uniform(0.1, 1.0)),
        lambda: Stop(at_s=at_s, for_s=STOP_S, process=process),
        lambda: Stop(
            at_s=at_s,
            for_s=STOP_S,
            process=entry,
            signals=_draw_signals(rng),
        ),
        lambda: Freeze(**when, process=process),
        lambda: HangUp(at_s=at_s, for_s=0.0, process=process),
        lambda: Disturb(**when, link=link, delay_s=rng.uniform(0.01, 0.4)),
        lambda: Disturb(**when, link=link, drops_in=True, drops_out=True),
        lambda: Disturb(**when, link=link, drops_in=True),
        lambda: Disturb(**when, link=link, drops_out=True),
        lambda: Break(at_s=at_s, for_s=0.0, link=link, silent=False),
        lambda: Break(at_s=at_s, for_s=0.0, link=link, silent=True),
        lambda: TornWrite(
            **when, process=control, torn_bytes=rng.randint(1, 40)
        ),
    ]
    weights = [3, 2, 1, 3, 10, 3, 2, 3, 2, 1, 1, 3, 3, 1]
    return rng.choices(kinds, weights)[0]()


def _draw_signals(rng):
    """Return SIGTERM, with others shortly before it and until its end."""
    signals = [(0.0, signal.SIGTERM)]
    if rng.random() < 0.3:
        signals = [
            (0.0, signal.SIGHUP),
            (rng.uniform(0, 0.05), signal.SIGTERM),
        ]
    for number in (signal.SIGTERM, signal.SIGHUP):
        if rng.random() < 0.4:
            signals.append((rng.uniform(0, 5.5), number))
    if rng.random() < 0.2:
        from_s = rng.uniform(0.1, 4.0)
        signals.append((from_s, signal.SIGSTOP))
        signals.append((from_s + rng.uniform(0.1, 2.0), signal.SIGCONT))
    return tuple(sorted(signals))


def affected(fault, processes):
    """Return the names of the processes that a fault affects."""
    match fault:
        case KillControl():
            return [n for n in processes if n.startswith("control-")]
        case Disturb(link=name) | Break(link=name):
            return [name]
        case _:
            return [fault.process]


def _is_allowed(fault, busy_until_s, losses_tolerated):
    """Return whether a fault keeps to the tolerated losses.

    A process that is still affected by an earlier fault gets no second fault
    of its own, though its link may be disturbed.
    """
    busy = {name for name, end in busy_until_s.items() if end > fault.at_s}
    controls = {name for name in busy if name.startswith("control-")}
    match fault:
        case KillControl():
            return not controls
        case Disturb(link=name) | Break(link=name):
            affected = name
        case _:
            affected = fault.process
            if affected in busy:
                return False
    if not affected.startswith("control-"):
        return True
    return affected not in controls and len(controls) < losses_tolerated
