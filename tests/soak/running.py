"""One soak run: daemons and targets as processes, faults and checks."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import time

import attrs
import fleet as fleets
from soak import callers
from soak import checks
from soak import faults
from soak import proxy

CONTROLS = 3
LOSSES_TOLERATED = 1
# Control hosts listen for peers on 127.0.1.n; other hosts connect to the
# address in their settings, 127.0.0.n, where a link forwards to it.
PEER_LISTEN_ADDRESS = "127.0.1.{}"
CALLER_LINK_ADDRESS = "127.0.5.{}"
TARGET_LISTEN_ADDRESS = "127.0.3.{}"
TARGET_LINK_ADDRESS = "127.0.4.{}"
REGISTRANT_LINK_ADDRESS = "127.0.2.{}"
CALLERS_PER_HOST = 6
READY_S = 30.0
# Time after the last fault during which callers go on sending what is slow.
RESTLESS_S = 1.0
STOP_S_MAX = 9.0
RESIDENT_MB_MAX = 200


@attrs.define
class Result:
    """Counts and violations of a run.

    ``acknowledged`` is the last acknowledged configuration version.
    """

    seed: int
    faults: int
    requests: int
    served: int
    acknowledged: int
    violations: list[str]


class Soak:
    """Start, disturb, check and stop the processes of one run."""

    def __init__(self, folder, seed, length_s, processes):
        self.seed = seed
        self.length_s = length_s
        targets = max(3, (processes - CONTROLS) * 2 // 3)
        entry_count = max(2, processes - CONTROLS - targets)
        self.fleet = fleets.Fleet(
            folder, control_count=CONTROLS, entry_count=entry_count
        )
        self.entry_names = [f"entry-{n}" for n in range(entry_count)]
        self.target_names = [f"target-{n}" for n in range(targets)]
        self.links = {}
        self.outcomes = []
        self.sightings = []
        self.exit_times_s = {}
        self.planned_stops = []
        self.fault_spans = []
        self.exit_violations = []
        self._expected_down = set()
        self._target_addresses = {}

    def _add_link(self, name, listen_address, to):
        self.links.setdefault(name, []).append(
            proxy.Link(name, listen_address, to)
        )

    def assign_addresses(self):
        """Assign addresses and links to every process."""
        fleet = self.fleet
        for n in range(CONTROLS):
            name = f"control-{n}"
            host, port = fleet.registrants[n].split(":")
            peer_port = fleet.peer_port
            fleet.change_settings(
                name, peer_listen_address=PEER_LISTEN_ADDRESS.format(n + 1)
            )
            self._add_link(
                name,
                (host, peer_port),
                (PEER_LISTEN_ADDRESS.format(n + 1), peer_port),
            )
            self._add_link(
                name,
                (REGISTRANT_LINK_ADDRESS.format(n + 1), int(port)),
                (host, int(port)),
            )
        caller_port = fleet.ports["callers"]
        for n, name in enumerate(self.entry_names):
            self._add_link(
                name,
                (CALLER_LINK_ADDRESS.format(n + 1), caller_port),
                (f"127.0.0.{n + 11}", caller_port),
            )
        (port,) = fleets.free_ports(1)
        for n, name in enumerate(self.target_names):
            listen_address = (TARGET_LISTEN_ADDRESS.format(n + 1), port)
            link_address = (TARGET_LINK_ADDRESS.format(n + 1), port)
            self._add_link(name, link_address, listen_address)
            self._target_addresses[name] = (link_address, listen_address)

    def start_target(self, name):
        link_address, listen_address = self._target_addresses[name]
        number = int(name.rpartition("-")[2])
        registrants = self.fleet.registrants
        port = registrants[0].split(":")[1]
        self.fleet.registrants = [
            f"{REGISTRANT_LINK_ADDRESS.format(n + 1)}:{port}"
            for n in range(CONTROLS)
        ]
        pooled = number % 4 == 3
        self.fleet.add_target(
            name,
            "vault" if pooled else "desk",
            "--events",
            "--listen",
            f"{listen_address[0]}:{listen_address[1]}",
            # Clocks of odd targets run 2 % slow, so that holds last longer.
            "--slow",
            "0.02" if number % 2 else "0",
            keyed=not pooled,
            address=f"{link_address[0]}:{link_address[1]}",
        )
        self.fleet.registrants = registrants

    def start(self, name):
        if name in self.target_names:
            self.start_target(name)
        else:
            self.fleet.start(name)

    async def run(self):
        """Execute the run; return its result."""
        fleet = self.fleet
        self.assign_addresses()
        for links in self.links.values():
            for link in links:
                await link.start()
        fleet.start()
        operator = callers.Operator(
            [
                f"{REGISTRANT_LINK_ADDRESS.format(n + 1)}:{at.split(':')[1]}"
                for n, at in enumerate(fleet.registrants)
            ],
            fleets.items,
            self.seed,
        )
        await self._configure(operator)
        for name in self.target_names:
            self.start_target(name)
        await self._wait_ready()
        senders = list(self._callers())
        traffic_tasks = [
            asyncio.create_task(sender.run())
            for sender in [operator, *senders, *self._observers(operator)]
        ]
        exit_watch = asyncio.create_task(self._watch_exits())
        started_s = time.monotonic()
        injected = self._draw_faults()
        await asyncio.gather(
            *(self._inject(fault, started_s) for fault in injected)
        )
        quiet_s = time.monotonic() + faults.QUIET_END_S - 6.0
        await asyncio.sleep(RESTLESS_S)
        for sender in senders:
            sender.calm = True
        await asyncio.sleep(faults.QUIET_END_S - RESTLESS_S)
        exit_watch.cancel()
        for task in traffic_tasks:
            task.cancel()
        results = await asyncio.gather(*traffic_tasks, return_exceptions=True)
        violations = [str(e) for e in results if isinstance(e, AssertionError)]
        violations += await self._check(operator, quiet_s)
        return Result(
            self.seed,
            len(injected),
            len(self.outcomes),
            sum(outcome.status == 200 for outcome in self.outcomes),
            operator.acknowledged,
            violations,
        )

    def close(self):
        """Close the links and stop the processes of this run."""
        for links in self.links.values():
            for link in links:
                with contextlib.suppress(AttributeError):
                    link.close()
        self.fleet.close()

    def _draw_faults(self):
        names = [f"control-{n}" for n in range(CONTROLS)]
        return faults.draw(
            self.seed,
            self.length_s,
            [*names, *self.entry_names, *self.target_names],
            sorted(self.links),
            LOSSES_TOLERATED,
        )

    def _observers(self, operator):
        port = self.fleet.ports["callers"]
        for n, name in enumerate(self.entry_names):
            address = f"127.0.0.{n + 11}", port
            yield callers.VersionObserver(
                name, address, operator, self.sightings
            )

    def _callers(self):
        port = self.fleet.ports["callers"]
        addresses = {
            name: (CALLER_LINK_ADDRESS.format(n + 1), port)
            for n, name in enumerate(self.entry_names)
        }
        for number in range(CALLERS_PER_HOST * len(self.entry_names)):
            yield callers.Caller(number, addresses, self.seed, self.outcomes)

    async def _configure(self, operator):
        body = fleets.items(1, timeout_ms=30_000)
        deadline_s = time.monotonic() + READY_S
        while (await operator.call("PATCH", body))[0] != 200:
            if time.monotonic() > deadline_s:
                raise AssertionError("RECOVER: no first configuration")
            await asyncio.sleep(0.1)
        operator.acknowledged = 1
        operator.sent[1] = 30_000

    async def _wait_ready(self):
        deadline_s = time.monotonic() + READY_S
        probe = callers.Caller(
            0xFFFF,
            {
                self.entry_names[-1]: (
                    CALLER_LINK_ADDRESS.format(len(self.entry_names)),
                    self.fleet.ports["callers"],
                )
            },
            self.seed,
            self.outcomes,
        )
        probe.calm = True
        served = 0
        while served < 10:
            await probe.send_one()
            served = (
                served + 1
                if self.outcomes[-1:] and (self.outcomes[-1].status == 200)
                else 0
            )
            if time.monotonic() > deadline_s:
                raise AssertionError("RECOVER: never served at the start")
            await asyncio.sleep(0.05)

    async def _inject(self, fault, started_s):
        await asyncio.sleep(max(0, started_s + fault.at_s - time.monotonic()))
        from_s = time.monotonic()
        match fault:
            case faults.Kill(process=name, wiped=wiped):
                await self._kill([name], fault.for_s, wiped=wiped)
            case faults.TornWrite(process=name, torn_bytes=torn):
                await self._kill([name], fault.for_s, torn_bytes=torn)
            case faults.KillControl():
                names = [f"control-{n}" for n in range(CONTROLS)]
                await self._kill(names, fault.for_s)
            case faults.Stop():
                await self._stop(fault)
            case faults.Freeze(process=name):
                self.fleet.signal(name, signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                self.fleet.signal(name, signal.SIGCONT)
            case faults.HangUp(process=name):
                if name not in self.target_names:
                    self.fleet.signal(name, signal.SIGHUP)
            case faults.Disturb(link=name):
                for link in self.links[name]:
                    link.disturbance = proxy.Disturbance(
                        fault.delay_s, fault.drops_in, fault.drops_out
                    )
                await asyncio.sleep(fault.for_s)
                for link in self.links[name]:
                    link.disturbance = proxy.Disturbance()
            case faults.Break(link=name, silent=silent):
                for link in self.links[name]:
                    link.silence() if silent else link.reset()
        if isinstance(fault, faults.Stop | faults.HangUp):
            return
        lasting = isinstance(fault, faults.Break) and fault.silent
        self.fault_spans += [
            checks.FaultSpan(name, from_s, time.monotonic(), lasting)
            for name in faults.affected(fault, sorted(self.links))
        ]

    async def _kill(self, names, for_s, *, wiped=False, torn_bytes=0):
        self._expected_down.update(names)
        for name in names:
            self.fleet.signal(name, signal.SIGKILL)
        for name in names:
            await asyncio.to_thread(self.fleet.wait_ended, name)
            self.exit_times_s.setdefault(name, []).append(time.monotonic())
            if name.startswith("control-"):
                self._damage_data(name, wiped=wiped, torn_bytes=torn_bytes)
        await asyncio.sleep(for_s)
        for name in names:
            self.start(name)
        self._expected_down.difference_update(names)

    def _damage_data(self, name, *, wiped, torn_bytes):
        folder = self.fleet.folder / f"data-{name.rpartition('-')[2]}"
        if wiped:
            shutil.rmtree(folder)
            folder.mkdir()
            # As on a real host, where the platform reports a blank disk.
            self.fleet.set_first_start(name, False)
        elif torn_bytes:
            logs = sorted(folder.rglob("*.log"))
            for log in logs[-1:]:
                with log.open("ab") as file:
                    file.write(b"\x00" * torn_bytes)

    async def _stop(self, fault):
        name = fault.process
        self._expected_down.add(name)
        from_s = time.monotonic()
        signaling = asyncio.create_task(self._send_signals(fault, from_s))
        try:
            await asyncio.to_thread(self.fleet.wait_ended, name, STOP_S_MAX)
        except Exception:
            self.exit_violations.append(
                f"STOP: {name} did not end in {STOP_S_MAX} s"
            )
            self.fleet.signal(name, signal.SIGKILL)
            await asyncio.to_thread(self.fleet.wait_ended, name)
        signaling.cancel()
        to_s = time.monotonic()
        self.exit_times_s.setdefault(name, []).append(to_s)
        if name in self.entry_names:
            self.planned_stops.append((name, from_s, to_s))
        self.start(name)
        self._expected_down.discard(name)

    async def _send_signals(self, fault, from_s):
        name = fault.process
        for after_s, number in fault.signals:
            await asyncio.sleep(from_s + after_s - time.monotonic())
            self.fleet.signal(name, number)
            if number == signal.SIGSTOP:
                frozen_s = time.monotonic()
            elif number == signal.SIGCONT:
                self.fault_spans.append(
                    checks.FaultSpan(name, frozen_s, time.monotonic())
                )

    async def _watch_exits(self):
        """Record processes that end without being stopped by the run."""
        reported = set()
        while True:
            for name, process in self.fleet.processes.items():
                code = process.poll()
                if code is None or name in self._expected_down:
                    continue
                if process.pid not in reported:
                    reported.add(process.pid)
                    self.exit_violations.append(
                        f"EXIT: {name} ended with {code}"
                    )
            await asyncio.sleep(0.05)

    async def _check(self, operator, quiet_s):
        runs, drops, holds = checks.read_events(
            {name: self.fleet.logs[name] for name in self.target_names}
        )
        violations = list(self.exit_violations)
        violations += checks.check(
            self.outcomes,
            runs,
            drops,
            holds,
            self.exit_times_s,
            self.planned_stops,
            self.fault_spans,
        )
        violations += checks.check_recovery(self.outcomes, quiet_s)
        violations += checks.check_versions(
            self.sightings,
            operator.sent_s,
            operator.acknowledged_s,
            self.exit_times_s,
            self.fault_spans,
        )
        read = None
        for _ in range(20):
            read = await operator.read_back()
            if read is not None:
                break
            await asyncio.sleep(0.2)
        violations += checks.check_items(
            read, operator.sent, operator.acknowledged
        )
        return [*violations, *self._check_memory()]

    def _check_memory(self):
        for name, process in self.fleet.processes.items():
            if name in self.target_names or process.poll() is not None:
                continue
            with open(f"/proc/{process.pid}/statm") as file:
                resident_mb = int(file.read().split()[1]) * 4096 / 1e6
            if resident_mb > RESIDENT_MB_MAX:
                yield f"MEMORY: {name} has {resident_mb:.0f} MB"


async def run_soak(folder, seed, length_s, processes):
    """Execute one run with its settings, data and logs in ``folder``.

    An AssertionError that ends the run becomes its only violation.
    """
    soak = Soak(folder, seed, length_s, processes)
    try:
        return await soak.run()
    except AssertionError as error:
        return Result(seed, 0, len(soak.outcomes), 0, 0, [str(error)])
    finally:
        soak.close()
