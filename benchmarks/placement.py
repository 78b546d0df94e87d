"""Placement of prompts by many instances, each of which knows only its own requests.

Run ``python -m benchmarks.placement``. It runs in fake time, with a real `Placement` for each
instance and simulated engines. There are two kinds of requests: documents, long prompts that share
large parts within a session, and questions, short prompts with long answers. Load on instances is
uneven, as on a platform that assigns callers to instances by a hash.

``--paces none`` measures no engine's pace, ``own`` lets each instance measure its own answers, and
``announced`` lets each also announce the slow ones to all others at intervals.
"""

from __future__ import annotations

import math
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import fire

from mothstand.core.fleet import ANNOUNCE_INTERVAL_S, MAX_ANNOUNCEMENTS_PER_S
from mothstand.core.pace import StreamGaps
from mothstand.core.placement import PlacedRequest, Placement, PlacementPolicy, session_key
from mothstand.core.prefill_schedule import PrefillRequest
from mothstand.core.prompt import Prompt, PromptPart
from mothstand.core.upstreams import RegisteredUpstream
from mothstand.types import DataCentre

from .engine_model import STEP_S, Engine, EngineSize, Work

if TYPE_CHECKING:
    from collections.abc import Callable

    from mothstand.core.prefill_schedule import PrefillScheduler

#: Numbers and tokens of the leading parts that documents share, and of their sessions' parts; then
#: the new prompt tokens and the answer tokens of each document and each question.
_STYLES, _STYLE_TOKENS = 4, 2_520
_SESSION_TOKENS = 3_780
_DOCUMENT_TOKENS, _DOCUMENT_ANSWER_TOKENS = 2_890, 52
_QUESTION_TOKENS, _QUESTION_ANSWER_TOKENS = 750, 290

_ENGINE = EngineSize(
    slots=16,
    prefill_tokens_per_s=41_400.0,
    decode_tokens_per_s=3_200.0,
    request_tokens_per_s=200.0,
    cache_tokens=150_000,
)

#: A first token after this time counts as late.
DOCUMENT_OBJECTIVE_S, QUESTION_OBJECTIVE_S = 0.6, 0.3


#: An answer with a longer time between two events counts as late too.
MAX_GAP_S = 0.3


class PaceSharing(Enum):
    """Whose measurements of the engines' paces an instance knows."""

    NONE = "none"
    OWN = "own"
    ANNOUNCED = "announced"


#: Fixed time of a pass over the batch, and the maximum number of prompt tokens read in it.
_PASS_S = 0.00463
_CHUNK_TOKENS = 1_024

#: Time to the first event of a prompt that is read within one pass.
_FIRST_EVENT_S = 0.04

#: Tokens in an event; an engine sends its first event only when it has generated this number.
_EVENT_TOKENS = 7


@dataclass(slots=True)
class ChunkedEngine(Engine):
    """Engine whose passes each read a chunk of one prompt and decode a token of each answer.

    A long prompt delays the prompts behind it and the tokens of all running requests.

    Parameters
    ----------
    slowness
        Duration of a pass relative to that of a usual engine.
    """

    slowness: float = 1.0
    read_tokens: float = 0.0
    gaps: dict[int, StreamGaps] = field(default_factory=dict)
    _ahead_s: float = 0.0

    def step(self, now_s: float) -> list[Work]:
        """Advance by `STEP_S` and return the requests that completed."""
        ended: list[Work] = []
        self._ahead_s -= STEP_S
        while self._ahead_s < 0:
            while self.waiting and len(self.batch) < self.size.slots:
                self._admit(self.waiting.popleft())
            if not self.batch:
                self._ahead_s = 0.0
                break
            self._ahead_s += self._pass(now_s, ended)
        return ended

    def _pass(self, now_s: float, ended: list[Work]) -> float:
        """Run one pass over the batch and return its duration."""
        unread = next((work for work in self.batch if work.prefill_tokens_left > 0), None)
        chunk = 0.0 if unread is None else min(_CHUNK_TOKENS, unread.prefill_tokens_left)
        for work in self.batch:
            if work.prefill_tokens_left <= 0:
                work.generated_tokens += 1
                self._note_event(work, now_s + self._ahead_s)
            if work.first_token_s is None and work.generated_tokens >= min(
                _EVENT_TOKENS, work.answer_tokens
            ):
                work.first_token_s = now_s
        if unread is not None:
            unread.prefill_tokens_left -= chunk
            self.read_tokens += chunk
        ended += [work for work in self.batch if work.generated_tokens >= work.answer_tokens]
        self.batch = [work for work in self.batch if work.generated_tokens < work.answer_tokens]
        return (_PASS_S + chunk / self.size.prefill_tokens_per_s) * self.slowness

    def _note_event(self, work: Work, at_s: float) -> None:
        if work.generated_tokens % _EVENT_TOKENS == 0:
            self.gaps.setdefault(id(work), StreamGaps()).note_events(1, at_s)


@dataclass(frozen=True, slots=True)
class Site:
    """A deployment and its load.

    Parameters
    ----------
    skew
        Exponent of the instances' shares of the load; 0 for equal shares.
    sessions
        Number of sessions of documents.
    slowness
        Slowness of the engines, which take these values in turn.
    """

    data_centres: int
    instances_each: int
    engines_each: int
    documents_per_s: float
    questions_per_s: float
    skew: float = 0.8
    duration_s: float = 20.0
    sessions: int = 1_209
    slowness: tuple[float, ...] = (1.0,)


SITES = {
    "few": Site(3, 2, 3, 17.0, 37.0, skew=0.0),
    "few busy": Site(3, 2, 3, 40.0, 80.0, skew=0.0),
    "dozens": Site(4, 18, 14, 137.0, 98.0),
    "hundreds": Site(5, 39, 12, 107.0, 118.0),
    "hundreds busy": Site(5, 39, 12, 220.0, 240.0),
    "few uneven": Site(3, 2, 3, 17.0, 37.0, skew=0.0, slowness=(1.0, 1.0, 1.3)),
    "few uneven busy": Site(3, 2, 3, 40.0, 80.0, skew=0.0, slowness=(1.0, 1.0, 1.3)),
    "ninety uneven": Site(3, 30, 15, 52.0, 155.0, sessions=552, slowness=(1.0, 1.0, 1.3)),
    "ninety uneven busy": Site(3, 30, 15, 52.0, 390.0, sessions=552, slowness=(1.0, 1.0, 1.3)),
    "300 uneven": Site(3, 100, 15, 52.0, 155.0, sessions=552, slowness=(1.0, 1.0, 1.3)),
}


@dataclass(slots=True)
class Outcome:
    """Counts of requests, by kind, and of the prompt tokens that engines read."""

    requests: Counter[str] = field(default_factory=Counter)
    late_requests: Counter[str] = field(default_factory=Counter)
    paused_requests: Counter[str] = field(default_factory=Counter)
    read_tokens: float = 0.0

    def late_share(self, kind: str) -> float:
        """Return the share of requests of a kind whose first token was late."""
        return self.late_requests[kind] / max(1, self.requests[kind])


@dataclass(slots=True)
class _RunningRequest:
    kind: str
    work: Work
    placement: Placement
    placed: PlacedRequest
    is_late: bool = False
    sent_s: float = 0.0


@dataclass(slots=True)
class _HeldRequest:
    """A document that waits for the time at which its engine reads it."""

    running: _RunningRequest
    until_s: float


class Fleet:
    """All instances and engines of a site.

    Parameters
    ----------
    make_scheduler
        Returns the scheduler of the documents of a data centre's engines; None to let each
        instance place them by what it knows itself.
    """

    def __init__(
        self,
        site: Site,
        policy: PlacementPolicy,
        seed: int,
        sharing: PaceSharing = PaceSharing.ANNOUNCED,
        make_scheduler: Callable[[], PrefillScheduler] | None = None,
    ) -> None:
        self._schedulers: defaultdict[DataCentre, PrefillScheduler] | None = None
        if make_scheduler is not None:
            self._schedulers = defaultdict(make_scheduler)
        self._held: list[_HeldRequest] = []
        self._sharing = sharing
        self._site = site
        self._rng = random.Random(seed)
        data_centres = [DataCentre(f"dc-{n}") for n in range(site.data_centres)]
        self._instances = [
            Placement(p, policy) for p in data_centres for _ in range(site.instances_each)
        ]
        self._rng.shuffle(self._instances)
        self._shares = [1 / (n + 1) ** site.skew for n in range(len(self._instances))]
        self._engines: dict[str, ChunkedEngine] = {}
        self._upstreams: list[RegisteredUpstream] = []
        for data_centre in data_centres:
            for number in range(site.engines_each):
                name = f"{data_centre}-{number}"
                slowness = site.slowness[number % len(site.slowness)]
                self._engines[name] = ChunkedEngine(_ENGINE, slowness=slowness)
                self._upstreams.append(
                    RegisteredUpstream(name, "llm", name, data_centre, 16, False)
                )
        self._running: list[_RunningRequest] = []
        self._request_count = 0
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Run the load and return its counts."""
        now_s = 0.0
        next_s = {"document": 0.0, "question": 0.0}
        rates = {"document": self._site.documents_per_s, "question": self._site.questions_per_s}
        while now_s < self._site.duration_s:
            for kind, rate in rates.items():
                while next_s[kind] <= now_s:
                    next_s[kind] += self._rng.expovariate(rate)
                    self._send(kind, now_s)
            if self._sharing is PaceSharing.ANNOUNCED:
                self._announce(now_s, now_s + STEP_S)
            self._start_held(now_s)
            now_s += STEP_S
            self._step(now_s)
        self.outcome.read_tokens = sum(e.read_tokens for e in self._engines.values())
        return self.outcome

    def _announce(self, from_s: float, to_s: float) -> None:
        """Deliver the announcements of the instances whose turn is in a span of time."""
        count = len(self._instances)
        interval_s = max(ANNOUNCE_INTERVAL_S, count / MAX_ANNOUNCEMENTS_PER_S)
        turns = range(math.ceil(from_s * count / interval_s), math.ceil(to_s * count / interval_s))
        for turn in turns:
            announcing = self._instances[turn % count]
            for placement in self._instances:
                if placement is not announcing:
                    name, slow_ids = f"i{turn % count}", announcing.paces.own_slow_ids
                    placement.paces.apply_report(name, slow_ids, to_s)

    def _send(self, kind: str, now_s: float) -> None:
        self._request_count += 1
        prompt, work = self._document(now_s) if kind == "document" else self._question(now_s)
        (placement,) = self._rng.choices(self._instances, self._shares)
        subject = session_key(prompt, f"r{self._request_count}")
        upstream = placement.choose(
            self._upstreams, prompt, subject, tried_upstreams=frozenset(), now_s=now_s
        )
        assert upstream is not None
        hold_s = 0.0
        if self._schedulers is not None and kind == "document":
            upstream, hold_s = self._schedule(upstream, prompt, work, now_s)
        placed = placement.note_started(upstream, prompt, now_s)
        running = _RunningRequest(kind, work, placement, placed)
        self._held.append(_HeldRequest(running, now_s + hold_s))

    def _schedule(
        self, first_choice: RegisteredUpstream, prompt: Prompt, work: Work, now_s: float
    ) -> tuple[RegisteredUpstream, float]:
        """Return the engine of a document, and the time for which it is held."""
        assert self._schedulers is not None
        local = [u for u in self._upstreams if u.data_centre == first_choice.data_centre]
        others = [u.key for u in local if u is not first_choice]
        request = PrefillRequest(
            "llm", str(id(work)), prompt, (first_choice.key, *others), DOCUMENT_OBJECTIVE_S / 2
        )
        grant = self._schedulers[first_choice.data_centre].reserve(request, now_s)
        assert grant is not None
        (upstream,) = (u for u in local if u.upstream_id == grant.upstream_id)
        return upstream, grant.hold_s

    def _start_held(self, now_s: float) -> None:
        """Send the requests whose time has come."""
        waiting = []
        for held in self._held:
            if held.until_s > now_s:
                waiting.append(held)
                continue
            running = held.running
            self._engines[running.placed.upstream.upstream_id].add(running.work)
            self._running.append(running)
            running.sent_s = now_s
        self._held = waiting

    def _document(self, now_s: float) -> tuple[Prompt, Work]:
        session = self._rng.randrange(self._site.sessions)
        own = min(18_300, int(_DOCUMENT_TOKENS * self._rng.lognormvariate(-0.35, 0.83)))
        parts = (
            PromptPart(f"style-{session % _STYLES}", _STYLE_TOKENS),
            PromptPart(f"session-{session}", _SESSION_TOKENS),
            PromptPart(f"request-{self._request_count}", own),
        )
        total = _STYLE_TOKENS + _SESSION_TOKENS + own
        # The style is left out of the work, since every engine soon has the few styles cached.
        work = Work(f"session-{session}", _SESSION_TOKENS, own, _DOCUMENT_ANSWER_TOKENS, now_s)
        return Prompt("m", total, _DOCUMENT_ANSWER_TOKENS, parts), work

    def _question(self, now_s: float) -> tuple[Prompt, Work]:
        own = min(3_300, int(_QUESTION_TOKENS * self._rng.lognormvariate(-0.35, 0.83)))
        answer = max(5, int(_QUESTION_ANSWER_TOKENS * self._rng.lognormvariate(-0.2, 0.62)))
        part = PromptPart(f"request-{self._request_count}", own)
        return Prompt("m", own, answer, (part,)), Work("", 0, own, answer, now_s)

    def _step(self, now_s: float) -> None:
        for engine in self._engines.values():
            engine.step(now_s)
        still_running = []
        for running in self._running:
            if running.work.first_token_s is not None and running.placed.is_reading_prompt:
                self._note_first_token(running)
            if running.work.generated_tokens >= running.work.answer_tokens:
                self._note_end(running)
            else:
                still_running.append(running)
        self._running = still_running

    def _note_first_token(self, running: _RunningRequest) -> None:
        running.placement.note_prompt_read(running.placed)
        assert running.work.first_token_s is not None
        elapsed_s = running.work.first_token_s - running.work.arrived_s
        is_document = running.kind == "document"
        if is_document and self._schedulers is not None:
            scheduler = self._schedulers[running.placed.upstream.data_centre]
            read_s = running.work.first_token_s - running.sent_s - _FIRST_EVENT_S
            name = str(id(running.work))
            scheduler.release(name, read_s=max(0.001, read_s), now_s=running.work.first_token_s)
        objective_s = DOCUMENT_OBJECTIVE_S if is_document else QUESTION_OBJECTIVE_S
        running.is_late = elapsed_s > objective_s

    def _note_end(self, running: _RunningRequest) -> None:
        running.placement.note_ended(running.placed)
        engine = self._engines[running.placed.upstream.upstream_id]
        gaps = engine.gaps.pop(id(running.work), StreamGaps())
        if gaps.typical_s is not None and self._sharing is not PaceSharing.NONE:
            running.placement.paces.record(running.placed.upstream, gaps.typical_s)
        has_paused = gaps.longest_s > MAX_GAP_S
        self.outcome.requests[running.kind] += 1
        self.outcome.late_requests[running.kind] += running.is_late or has_paused
        self.outcome.paused_requests[running.kind] += has_paused


def main(*, seeds: int = 3, site: str = "", paces: str = "announced") -> None:
    """Print the share of late requests at each site."""
    titles = f"{'documents late':>15} {'questions late':>15} {'questions paused':>17}"
    print(f"{'site':18} {titles} {'read, Mtokens':>14}")
    for name, deployment in SITES.items():
        if site and name != site:
            continue
        outcomes = [
            Fleet(deployment, PlacementPolicy(), seed, PaceSharing(paces)).run()
            for seed in range(seeds)
        ]
        documents = sum(o.late_share("document") for o in outcomes) / seeds
        questions = sum(o.late_share("question") for o in outcomes) / seeds
        read = sum(o.read_tokens for o in outcomes) / seeds / 1e6
        paused = sum(o.paused_requests["question"] for o in outcomes)
        paused_share = paused / sum(o.requests["question"] for o in outcomes)
        figures = f"{documents:15.3f} {questions:15.3f} {paused_share:17.3f} {read:14.2f}"
        print(f"{name:18} {figures}")


if __name__ == "__main__":
    fire.Fire(main)
