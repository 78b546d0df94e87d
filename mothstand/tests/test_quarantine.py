"""When a request under which upstreams ended is kept from others, tried again, and forgotten."""

from __future__ import annotations

from ..core.quarantine import (
    COMMON_CAUSE_GRACE_S,
    CRASH_THRESHOLD,
    MAX_PROBES,
    ForgottenRequest,
    Probe,
    Quarantine,
    UpstreamCrash,
)
from ..core.request_digest import RequestDigest
from ..core.upstreams import UpstreamKey

DIGEST = RequestDigest("d")
OTHER = UpstreamCrash(RequestDigest("other"), UpstreamKey("u9", 1), "r", "i", 0)
FIRST, SECOND = Probe(DIGEST, "first"), Probe(DIGEST, "second")


def crash(number: int, *, known_crashes: int | None = None) -> UpstreamCrash:
    """Return the end of an upstream; as a rule all ends before it were known to its instance."""
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
        # Guards against all requests of one upstream that ends, or two that tell of one end.
        quarantine = make_quarantine(crash(0), crash(0), crash(0, known_crashes=2))
        assert len(quarantine.crashes(DIGEST)) == 1

    def test_concurrent_crashes_quarantine_after_the_grace(self) -> None:
        # Guards against a popular request that is refused as soon as several upstreams end at once.
        quarantine = make_quarantine(*(crash(n, known_crashes=0) for n in range(CRASH_THRESHOLD)))
        assert not quarantine.is_quarantined(DIGEST, COMMON_CAUSE_GRACE_S / 2)
        assert quarantine.is_quarantined(DIGEST, COMMON_CAUSE_GRACE_S)

    def test_complete_answer_clears_the_quarantine(self) -> None:
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        quarantine.clear(DIGEST)
        assert not quarantine.is_quarantined(DIGEST, 0.0)
        assert quarantine.is_empty

    def test_first_probe_is_immediate_only_for_a_possible_common_cause(self) -> None:
        assert not make_quarantine(crash(0), crash(1), crash(2)).is_probe_due(
            DIGEST, COMMON_CAUSE_GRACE_S
        )
        common_cause = make_quarantine(*(crash(n, known_crashes=1) for n in range(CRASH_THRESHOLD)))
        assert common_cause.is_probe_due(DIGEST, COMMON_CAUSE_GRACE_S)
        common_cause.add_probe(FIRST, COMMON_CAUSE_GRACE_S)
        assert not common_cause.is_probe_due(DIGEST, 2 * COMMON_CAUSE_GRACE_S)
        assert common_cause.is_probe_due(DIGEST, COMMON_CAUSE_GRACE_S + 10.0)

    def test_probes_are_limited_and_pauses_grow(self) -> None:
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        probes_s = []
        now_s = 0.0
        while quarantine.is_quarantined(DIGEST, now_s) and now_s < 3600.0:
            if quarantine.is_probe_due(DIGEST, now_s):
                quarantine.add_probe(Probe(DIGEST, f"at {now_s}"), now_s)
                probes_s.append(now_s)
            now_s += 1.0
        assert probes_s == [30.0, 180.0]
        assert len(probes_s) == MAX_PROBES

    def test_retry_after_is_the_time_to_the_next_probe(self) -> None:
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        assert quarantine.retry_after_s(DIGEST, 20.0) == 10.0

    def test_crash_without_the_request_brings_the_first_probe_forward(self) -> None:
        # Guards against a popular request that is refused for long after all upstreams ended twice.
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        quarantine.add_crash(OTHER, 0.5)
        assert quarantine.is_quarantined(DIGEST, 0.0)
        assert quarantine.is_probe_due(DIGEST, COMMON_CAUSE_GRACE_S)

    def test_old_listed_crash_brings_no_probe_forward(self) -> None:
        # Guards against an instance that starts, takes old ends for new ones, and tries at once.
        quarantine = Quarantine()
        for one in (crash(0), crash(1), crash(2)):
            quarantine.add_crash(one, 0.0)
        quarantine.add_crash(OTHER, 0.0, age_s=3000.0)
        assert not quarantine.is_probe_due(DIGEST, 29.0)

    def test_recent_listed_crash_brings_the_first_probe_forward(self) -> None:
        # Guards against a restart that forgets that upstreams also ended for another cause.
        quarantine = Quarantine()
        for one, age_s in ((crash(0), 5.0), (crash(1), 4.0), (crash(2), 3.0), (OTHER, 2.0)):
            quarantine.add_crash(one, 0.0, age_s=age_s)
        assert quarantine.is_probe_due(DIGEST, 0.0)

    def test_probe_pauses_continue_after_a_restart(self) -> None:
        # Guards against restarts in series, each of which begins all pauses anew.
        quarantine = Quarantine()
        for one in (crash(0), crash(1), crash(2)):
            quarantine.add_crash(one, 0.0, age_s=25.0)
        assert not quarantine.is_probe_due(DIGEST, 4.0)
        assert quarantine.is_probe_due(DIGEST, 5.0)
        quarantine.add_probe(FIRST, 0.0, age_s=20.0)
        assert not quarantine.is_probe_due(DIGEST, 129.0)
        assert quarantine.is_probe_due(DIGEST, 130.0)

    def test_crashes_of_any_age_are_retained(self) -> None:
        # Guards against a time of day that jumps, and lets a quarantined request through.
        quarantine = Quarantine()
        for one in (crash(0), crash(1), crash(2)):
            quarantine.add_crash(one, 0.0, age_s=1e9)
        assert quarantine.forget_expired(3000.0) == []
        assert quarantine.is_quarantined(DIGEST, 3000.0)

    def test_probe_that_reached_no_upstream_is_repeated(self) -> None:
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        quarantine.add_probe(FIRST, 30.0)
        quarantine.drop_probe(FIRST)
        assert quarantine.is_probe_due(DIGEST, 60.0)

    def test_dropping_a_probe_twice_leaves_other_probes(self) -> None:
        # Guards against one trial more for each time that the same one is given back.
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        quarantine.add_probe(FIRST, 30.0)
        quarantine.drop_probe(FIRST)
        quarantine.add_probe(SECOND, 60.0)
        quarantine.drop_probe(FIRST)
        assert quarantine.probes(DIGEST) == {SECOND}

    def test_crashes_are_forgotten_after_their_expiry(self) -> None:
        assert make_quarantine(crash(0)).forget_expired(599.0) == []
        assert make_quarantine(crash(0)).forget_expired(600.0) == [
            ForgottenRequest((crash(0),), frozenset())
        ]
        assert make_quarantine(crash(0), crash(1), crash(2)).forget_expired(3599.0) == []
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        quarantine.add_probe(FIRST, 0.0)
        ends = (crash(0), crash(1), crash(2))
        assert quarantine.forget_expired(3600.0) == [ForgottenRequest(ends, frozenset({FIRST}))]
        assert quarantine.is_empty

    def test_retained_requests_are_bounded(self) -> None:
        # Guards against memory, or a store, that grows with each request that breaks.
        quarantine = make_quarantine(crash(0), crash(1), crash(2))
        for number in range(3000):
            digest = RequestDigest(f"d{number}")
            quarantine.add_crash(UpstreamCrash(digest, UpstreamKey("u", 1), "r", "i", 0), 1.0)
        assert len(quarantine.all_crashes()) <= 2000 + 2
        assert quarantine.is_quarantined(DIGEST, 2.0)
        forgotten = sum(len(request.crashes) for request in quarantine.forget_expired(2.0))
        assert len(quarantine.all_crashes()) + forgotten == 3003
