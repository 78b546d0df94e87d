"""Tests of when a request that may crash upstreams is quarantined, probed and forgotten."""

from __future__ import annotations

from ..core.quarantine import (
    DOUBT_S,
    MOST_ENDS,
    MOST_TRIALS,
    ForgottenRequest,
    Quarantine,
    Trial,
    UpstreamEnd,
)
from ..core.request_digest import RequestDigest
from ..core.upstreams import UpstreamKey

D = RequestDigest("d")
OTHER = UpstreamEnd(RequestDigest("other"), UpstreamKey("u9", 1), "r", "i", 0)
FIRST, SECOND = Trial(D, "first"), Trial(D, "second")


def end(number: int, *, known_ends: int | None = None) -> UpstreamEnd:
    """Return the crash of an upstream; by default its instance knew all earlier crashes."""
    known = number if known_ends is None else known_ends
    return UpstreamEnd(D, UpstreamKey(f"u{number}", 1), f"r{number}", "i", known)


def quarantine(*ends: UpstreamEnd, now_s: float = 0.0) -> Quarantine:
    result = Quarantine()
    for one in ends:
        result.add_end(one, now_s)
    return result


class TestQuarantine:
    def test_begins_with_the_third_of_ends_one_after_the_other(self) -> None:
        assert not quarantine(end(0), end(1)).is_held(D, 0.0)
        assert quarantine(end(0), end(1), end(2)).is_held(D, 0.0)

    def test_an_end_that_many_tell_counts_once(self) -> None:
        # Guards against several reports of one crash: each request at the upstream, or two
        # instances, may report it.
        held = quarantine(end(0), end(0), end(0, known_ends=2))
        assert len(held.ends(D)) == 1

    def test_ends_of_attempts_beside_each_other_leave_time_for_an_answer(self) -> None:
        # Guards against refusing a popular request as soon as several upstreams crash at once.
        held = quarantine(*(end(n, known_ends=0) for n in range(MOST_ENDS)))
        assert not held.is_held(D, DOUBT_S / 2)
        assert held.is_held(D, DOUBT_S)

    def test_a_whole_answer_clears(self) -> None:
        held = quarantine(end(0), end(1), end(2))
        held.clear(D)
        assert not held.is_held(D, 0.0)
        assert held.is_empty

    def test_a_first_trial_is_made_at_once_only_where_one_cause_may_be_behind_all(self) -> None:
        assert not quarantine(end(0), end(1), end(2)).is_trial_due(D, DOUBT_S)
        doubted = quarantine(*(end(n, known_ends=1) for n in range(MOST_ENDS)))
        assert doubted.is_trial_due(D, DOUBT_S)
        doubted.add_trial(FIRST, DOUBT_S)
        assert not doubted.is_trial_due(D, 2 * DOUBT_S)
        assert doubted.is_trial_due(D, DOUBT_S + 10.0)

    def test_trials_are_few_and_ever_later(self) -> None:
        held = quarantine(end(0), end(1), end(2))
        trials_s = []
        now_s = 0.0
        while held.is_held(D, now_s) and now_s < 3600.0:
            if held.is_trial_due(D, now_s):
                held.add_trial(Trial(D, f"at {now_s}"), now_s)
                trials_s.append(now_s)
            now_s += 1.0
        assert trials_s == [30.0, 180.0]
        assert len(trials_s) == MOST_TRIALS

    def test_a_request_is_told_to_come_back_for_the_next_trial(self) -> None:
        held = quarantine(end(0), end(1), end(2))
        assert held.come_back_s(D, 20.0) == 10.0

    def test_upstreams_that_end_without_it_bring_the_first_trial_forward(self) -> None:
        # Guards against refusing a popular request for long after all upstreams crashed twice.
        held = quarantine(end(0), end(1), end(2))
        held.add_end(OTHER, 0.5)
        assert held.is_held(D, 0.0)
        assert held.is_trial_due(D, DOUBT_S)

    def test_old_ends_that_are_listed_bring_no_trial_forward(self) -> None:
        # Guards against a starting instance that takes old crashes for new ones and probes at once.
        held = Quarantine()
        for one in (end(0), end(1), end(2)):
            held.add_end(one, 0.0)
        held.add_end(OTHER, 0.0, age_s=3000.0)
        assert not held.is_trial_due(D, 29.0)

    def test_ends_that_are_listed_tell_of_another_cause(self) -> None:
        # Guards against a restart that forgets that upstreams also crashed for another cause.
        held = Quarantine()
        for one, age_s in ((end(0), 5.0), (end(1), 4.0), (end(2), 3.0), (OTHER, 2.0)):
            held.add_end(one, 0.0, age_s=age_s)
        assert held.is_trial_due(D, 0.0)

    def test_pauses_go_on_after_a_restart(self) -> None:
        # Guards against repeated restarts that each begin all pauses anew.
        held = Quarantine()
        for one in (end(0), end(1), end(2)):
            held.add_end(one, 0.0, age_s=25.0)
        assert not held.is_trial_due(D, 4.0)
        assert held.is_trial_due(D, 5.0)
        held.add_trial(FIRST, 0.0, age_s=20.0)
        assert not held.is_trial_due(D, 129.0)
        assert held.is_trial_due(D, 130.0)

    def test_ends_of_any_age_are_remembered(self) -> None:
        # Guards against a jump of the system clock that lets a quarantined request through.
        held = Quarantine()
        for one in (end(0), end(1), end(2)):
            held.add_end(one, 0.0, age_s=1e9)
        assert held.forget_old(3000.0) == []
        assert held.is_held(D, 3000.0)

    def test_a_trial_that_reached_no_upstream_is_made_again(self) -> None:
        held = quarantine(end(0), end(1), end(2))
        held.add_trial(FIRST, 30.0)
        held.drop_trial(FIRST)
        assert held.is_trial_due(D, 60.0)

    def test_a_trial_given_back_again_leaves_that_of_another(self) -> None:
        # Guards against an additional probe each time the same one is dropped.
        held = quarantine(end(0), end(1), end(2))
        held.add_trial(FIRST, 30.0)
        held.drop_trial(FIRST)
        held.add_trial(SECOND, 60.0)
        held.drop_trial(FIRST)
        assert held.trials(D) == {SECOND}

    def test_ends_are_forgotten_in_time(self) -> None:
        assert quarantine(end(0)).forget_old(599.0) == []
        assert quarantine(end(0)).forget_old(600.0) == [ForgottenRequest((end(0),), frozenset())]
        assert quarantine(end(0), end(1), end(2)).forget_old(3599.0) == []
        held = quarantine(end(0), end(1), end(2))
        held.add_trial(FIRST, 0.0)
        ends = (end(0), end(1), end(2))
        assert held.forget_old(3600.0) == [ForgottenRequest(ends, frozenset({FIRST}))]
        assert held.is_empty

    def test_what_is_kept_is_bounded(self) -> None:
        # Guards against memory, or a store, that grows with each broken request.
        kept = quarantine(end(0), end(1), end(2))
        for number in range(3000):
            digest = RequestDigest(f"d{number}")
            kept.add_end(UpstreamEnd(digest, UpstreamKey("u", 1), "r", "i", 0), 1.0)
        assert len(kept.all_ends()) <= 2000 + 2
        assert kept.is_held(D, 2.0)
        forgotten = sum(len(request.ends) for request in kept.forget_old(2.0))
        assert len(kept.all_ends()) + forgotten == 3003
