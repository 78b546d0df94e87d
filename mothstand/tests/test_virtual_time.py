"""Tests that runs in virtual time are reproducible."""

from __future__ import annotations

import random

import anyio

from ..testing.virtual_time import run_in_virtual_time


def _order_of_tasks(order: int) -> list[int]:
    woken: list[int] = []

    async def wake(number: int) -> None:
        await anyio.sleep(1.0)
        woken.append(number)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(10):
                tasks.start_soon(wake, number)

    run_in_virtual_time(run, order=order)
    return woken


async def _draw() -> float:
    return random.random()


class TestRunInVirtualTime:
    def test_equal_runs_wake_tasks_in_equal_order(self) -> None:
        # Guards against tests that fail at random because of the scheduler.
        assert _order_of_tasks(7) == _order_of_tasks(7)
        assert len({tuple(_order_of_tasks(order)) for order in range(5)}) > 1

    def test_equal_runs_draw_equal_numbers(self) -> None:
        assert run_in_virtual_time(_draw) == run_in_virtual_time(_draw)

    def test_draws_outside_are_not_affected(self) -> None:
        random.seed(1)
        expected = random.random()
        random.seed(1)
        run_in_virtual_time(_draw)
        assert random.random() == expected
