"""Tests of when a request that may crash upstreams is quarantined, probed and forgotten."""

from __future__ import annotations

from ..core.prompt import Prompt, PromptPart
from ..core.quarantine import (
    CERTAIN_CRASHES,
    COMMON_CAUSE_GRACE_S,
    CRASH_THRESHOLD,
    MAX_PROBES,
    ForgottenSuspect,
    Probe,
    Quarantine,
    UpstreamCrash,
)
from ..core.suspects import MAX_SUSPECTED_PARTS, SuspectId, part_suspect, part_suspects
from ..core.upstreams import UpstreamKey

DIGEST = SuspectId("d")
OTHER = UpstreamCrash(SuspectId("other"), UpstreamKey("u9", 1), "r", "i", 0)
FIRST, SECOND = Probe(DIGEST, "first"), Probe(DIGEST, "second")


def crash(number: int, *, known_crashes: int | None = None) -> UpstreamCrash:
    """Return the crash of an upstream; by default its instance knew all earlier crashes."""
    known = number if known_crashes is None else known_crashes
    return UpstreamCrash(DIGEST, UpstreamKey(f"u{number}", 1), f"r{number}", "i", known)


def make_quarantine(*crashes: UpstreamCrash, now_s: float = 0.0) -> Quarantine:
    result = Quarantine()
    for one in crashes:
        result.add_crash(one, now_s)
    return result


class TestQuarantine:
    def test_third_sequential_crash_quarantines(self) -> None:
        assert not make_quarantine(crash(0), crash(1)).is_quarantined(DIGEST, 0.0)
        assert make_quarantine(crash(0), crash(1), crash(2)).is_quarantined(DIGEST, 0.0)

    def test_crash_reported_several_times_counts_once(self) -> None:
        # Guards against several reports of one crash: each request at the upstream, or two
        # instances, may report it.
        quarantine = make_quarantine(crash(0), crash(0), crash(0, known_crashes=2))
        assert len(quarantine.crashes(DIGEST)) == 1

    def test_concurrent_crashes_quarantine_after_the_grace(self) -> None:
        # Guards against refusing a popular request as soon as several upstreams crash at once.
        quarantine = make_quarantine(*(crash(n, known_crashes=0) for n in range(CRASH_THRESHOLD)))
        assert not quarantine.is_quarantined(DIGEST, COMMON_CAUSE_GRACE_S / 2)
        assert quarantine.is_quarantined(DIGEST, COMMON_CAUSE_GRACE_S)

    def test_complete_answer_clears_the_quarantine(self) -> None:
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        quarantine.clear(DIGEST)
        assert not quarantine.is_quarantined(DIGEST, 0.0)
        assert quarantine.is_empty

    def test_first_probe_follows_the_grace_only_for_a_possible_common_cause(self) -> None:
        assert not make_quarantine(crash(0), crash(1), crash(2)).is_probe_due(
            (DIGEST,), COMMON_CAUSE_GRACE_S
        )
        common_cause = make_quarantine(*(crash(n, known_crashes=1) for n in range(CRASH_THRESHOLD)))
        assert common_cause.is_probe_due((DIGEST,), COMMON_CAUSE_GRACE_S)
        common_cause.add_probe(FIRST, COMMON_CAUSE_GRACE_S)
        assert not common_cause.is_probe_due((DIGEST,), 2 * COMMON_CAUSE_GRACE_S)
        assert common_cause.is_probe_due((DIGEST,), COMMON_CAUSE_GRACE_S + 10.0)

    def test_probes_are_limited_and_pauses_grow(self) -> None:
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        probes_s = []
        now_s = 0.0
        while quarantine.is_quarantined(DIGEST, now_s) and now_s < 3600.0:
            if quarantine.is_probe_due((DIGEST,), now_s):
                quarantine.add_probe(Probe(DIGEST, f"at {now_s}"), now_s)
                probes_s.append(now_s)
            now_s += 1.0
        assert probes_s == [30.0, 180.0]
        assert len(probes_s) == MAX_PROBES

    def test_retry_after_is_the_time_to_the_next_probe(self) -> None:
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        assert quarantine.retry_after_s((DIGEST,), 20.0) == 10.0

    def test_crash_without_the_request_brings_the_first_probe_forward(self) -> None:
        # Guards against refusing a popular request for long after all upstreams crashed twice.
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        quarantine.add_crash(OTHER, 0.5)
        assert quarantine.is_quarantined(DIGEST, 0.0)
        assert quarantine.is_probe_due((DIGEST,), COMMON_CAUSE_GRACE_S)

    def test_old_listed_crash_brings_no_probe_forward(self) -> None:
        # Guards against a starting instance that takes old crashes for new ones and probes at once.
        quarantine = Quarantine()
        for one in (crash(0), crash(1), crash(2)):
            quarantine.add_crash(one, 0.0)
        quarantine.add_crash(OTHER, 0.0, age_s=3000.0)
        assert not quarantine.is_probe_due((DIGEST,), 29.0)

    def test_recent_listed_crash_brings_the_first_probe_forward(self) -> None:
        # Guards against a restart that forgets that upstreams also crashed for another cause.
        quarantine = Quarantine()
        for one, age_s in ((crash(0), 5.0), (crash(1), 4.0), (crash(2), 3.0), (OTHER, 2.0)):
            quarantine.add_crash(one, 0.0, age_s=age_s)
        assert quarantine.is_probe_due((DIGEST,), 0.0)

    def test_probe_pauses_continue_after_a_restart(self) -> None:
        # Guards against repeated restarts that each begin all pauses anew.
        quarantine = Quarantine()
        for one in (crash(0), crash(1), crash(2)):
            quarantine.add_crash(one, 0.0, age_s=25.0)
        assert not quarantine.is_probe_due((DIGEST,), 4.0)
        assert quarantine.is_probe_due((DIGEST,), 5.0)
        quarantine.add_probe(FIRST, 0.0, age_s=20.0)
        assert not quarantine.is_probe_due((DIGEST,), 129.0)
        assert quarantine.is_probe_due((DIGEST,), 130.0)

    def test_crashes_of_any_age_are_retained(self) -> None:
        # Guards against a jump of the system clock that lets a quarantined request through.
        quarantine = Quarantine()
        for one in (crash(0), crash(1), crash(2)):
            quarantine.add_crash(one, 0.0, age_s=1e9)
        assert quarantine.forget_expired(3000.0) == []
        assert quarantine.is_quarantined(DIGEST, 3000.0)

    def test_probe_that_reached_no_upstream_is_repeated(self) -> None:
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        quarantine.add_probe(FIRST, 30.0)
        quarantine.drop_probe(FIRST)
        assert quarantine.is_probe_due((DIGEST,), 60.0)

    def test_dropping_a_probe_twice_leaves_other_probes(self) -> None:
        # Guards against an additional probe each time the same one is dropped.
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        quarantine.add_probe(FIRST, 30.0)
        quarantine.drop_probe(FIRST)
        quarantine.add_probe(SECOND, 60.0)
        quarantine.drop_probe(FIRST)
        assert quarantine.probes(DIGEST) == {SECOND}

    def test_crashes_are_forgotten_after_their_expiry(self) -> None:
        assert make_quarantine(crash(0)).forget_expired(599.0) == []
        assert make_quarantine(crash(0)).forget_expired(600.0) == [
            ForgottenSuspect((crash(0),), frozenset())
        ]
        assert make_quarantine(crash(0), crash(1), crash(2)).forget_expired(3599.0) == []
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        quarantine.add_probe(FIRST, 0.0)
        crashes = (crash(0), crash(1), crash(2))
        assert quarantine.forget_expired(3600.0) == [ForgottenSuspect(crashes, frozenset({FIRST}))]
        assert quarantine.is_empty

    def test_retained_requests_are_bounded(self) -> None:
        # Guards against memory, or a store, that grows with each broken request.
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        for number in range(3000):
            digest = SuspectId(f"d{number}")
            quarantine.add_crash(UpstreamCrash(digest, UpstreamKey("u", 1), "r", "i", 0), 1.0)
        assert len(quarantine.all_crashes()) <= 2000 + 2
        assert quarantine.is_quarantined(DIGEST, 2.0)
        forgotten = sum(len(one.crashes) for one in quarantine.forget_expired(2.0))
        assert len(quarantine.all_crashes()) + forgotten == 3003


PART, SHARED, RARE = (part_suspect(part_id).suspect_id for part_id in ("bad", "shared", "rare"))


def part_crash(suspect_id: SuspectId, number: int) -> UpstreamCrash:
    """Return the crash of an upstream whose instance knew all earlier crashes."""
    return UpstreamCrash(suspect_id, UpstreamKey(f"u{number}", 1), f"r{number}", "i", number)


def part_quarantine(**numbers: range) -> Quarantine:
    """Return a quarantine with crashes of numbered upstreams under suspects."""
    suspects = {"part": PART, "shared": SHARED, "rare": RARE, "request": DIGEST}
    crashes = [part_crash(suspects[name], n) for name, ns in numbers.items() for n in ns]
    return make_quarantine(*crashes)


class TestParts:
    def test_part_at_more_crashes_releases_the_other_one(self) -> None:
        # Guards against blocking a sound part that is often in a prompt with the crashing one.
        quarantine = part_quarantine(part=range(4), rare=range(3))
        assert quarantine.blocking((PART, RARE), 0.0) == (PART,)
        assert quarantine.blocking((RARE,), 0.0) == ()

    def test_parts_at_the_same_crashes_are_both_blocked(self) -> None:
        quarantine = part_quarantine(part=range(3), rare=range(3))
        assert quarantine.blocking((PART, RARE), 0.0) == (PART, RARE)

    def test_repeated_request_is_blamed_before_its_parts(self) -> None:
        # Guards against blocking a session because one of its requests crashes upstreams.
        quarantine = part_quarantine(request=range(3), rare=range(3))
        assert quarantine.blocking((DIGEST, RARE), 0.0) == (DIGEST,)

    def test_part_is_blocked_with_its_request_after_many_crashes(self) -> None:
        # Guards against a crashing part that is spared as one of its requests is repeated.
        crashes = range(CERTAIN_CRASHES)
        quarantine = part_quarantine(request=crashes, part=crashes)
        assert quarantine.blocking((PART,), 0.0) == (PART,)

    def test_second_crashing_part_is_blocked_by_its_own_crashes(self) -> None:
        quarantine = part_quarantine(part=range(4), rare=range(2, 7))
        assert quarantine.blocking((PART, RARE), 0.0) == (PART, RARE)

    def test_part_that_was_just_answered_here_is_not_blocked(self) -> None:
        # Guards against refusing all requests that share a part while its answers are on the way.
        quarantine = part_quarantine(part=range(3), shared=range(3))
        quarantine.survivals.add(SHARED, 0.0)
        assert quarantine.blocking((SHARED, PART), 1.0) == (PART,)
        assert quarantine.blocking((SHARED,), 3.0) == (SHARED,)

    def test_answered_part_does_not_explain_the_crashes_of_another_one(self) -> None:
        # Guards against a crashing part that hides behind a part of all requests.
        quarantine = part_quarantine(part=range(3), shared=range(4))
        quarantine.survivals.add(SHARED, 0.0)
        assert quarantine.blocking((SHARED, PART), 1.0) == (PART,)

    def test_request_with_one_of_two_suspected_parts_is_probed_soon(self) -> None:
        # Guards against refusing a sound part for long because a crashing one was always there.
        quarantine = part_quarantine(part=range(3), rare=range(3))
        assert quarantine.is_probe_due((RARE,), COMMON_CAUSE_GRACE_S)
        assert not quarantine.is_probe_due((RARE, PART), COMMON_CAUSE_GRACE_S)

    def test_probe_counts_for_all_blocked_suspects(self) -> None:
        # Guards against more probes of a part because the requests that hold it are blocked, too.
        crashes = range(CERTAIN_CRASHES)
        quarantine = part_quarantine(request=crashes, part=crashes)
        for number in range(MAX_PROBES):
            quarantine.add_probe(Probe(PART, f"probe {number}"), 0.0)
        assert not quarantine.is_probe_due((DIGEST, PART), 1000.0)

    def test_last_part_and_parts_beyond_the_limit_are_no_suspects(self) -> None:
        # Guards against records that grow with what a caller writes into its prompt.
        parts = tuple(PromptPart(f"p{n}" * 1000, 1) for n in range(1000))
        suspects = part_suspects(Prompt(parts=parts))
        assert len(suspects) == MAX_SUSPECTED_PARTS
        assert max(len(s.suspect_id) + len(s.label) for s in suspects) < 128
        assert part_suspects(Prompt(parts=parts[:1])) == ()
