"""Closed list of error kinds and the table of their answers.

Every refusal that a caller can see has one of these kinds. The run state is part of the table, so
that each refusal says whether the request may have run. ``docs/ERRORS.md`` is generated from the
table and a test compares the two.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RunState(Enum):
    """Whether a refused request has run at an upstream, as far as is known."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


class ErrorKind(Enum):
    """Kind of an error, from a closed list."""

    UNAUTHORIZED = "unauthorized"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    MEMORY_FULL = "memory_full"
    CONNECTIONS_FULL = "connections_full"
    KEY_REUSED = "key_reused"
    KEY_RUNNING = "key_running"
    ANSWER_NOT_KEPT = "answer_not_kept"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_RESERVED = "budget_reserved"
    BUDGET_OUT_OF_REACH = "budget_out_of_reach"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    PLATFORM_UNREACHABLE = "platform_unreachable"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    INSTANCE_BUSY = "instance_busy"
    NOT_READY = "not_ready"
    CONFIGURATION_STALE = "configuration_stale"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    RESUMPTION_UNKNOWN = "resumption_unknown"
    UPSTREAM_REFUSED = "upstream_refused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_BROKEN = "answer_broken"
    TIMED_OUT = "timed_out"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """Answer to a request that is refused with one error kind.

    Parameters
    ----------
    status
        HTTP status code.
    run_state
        Whether the request has run at an upstream.
    retry_after_s
        Seconds after which to retry; None if a retry does not help.
    message
        Human-readable message: what happened and what to do.
    """

    status: int
    run_state: RunState
    retry_after_s: int | None
    message: str


_NOT_RUN = RunState.NOT_RUN
_MAY_HAVE_RUN = RunState.MAY_HAVE_RUN
_RAN = RunState.RAN

ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.UNAUTHORIZED: ErrorAnswer(
        401, _NOT_RUN, None, "No workspace has this key. Send 'Authorization: Bearer KEY'."
    ),
    ErrorKind.MODEL_NOT_ALLOWED: ErrorAnswer(
        403, _NOT_RUN, None, "The workspace may not use this model. Ask its operator."
    ),
    ErrorKind.UNKNOWN_MODEL: ErrorAnswer(404, _NOT_RUN, None, "No upstream serves this model."),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, _NOT_RUN, None, "No service has this name."),
    ErrorKind.UNKNOWN_PATH: ErrorAnswer(404, _NOT_RUN, None, "There is nothing at this path."),
    ErrorKind.MALFORMED_REQUEST: ErrorAnswer(400, _NOT_RUN, None, "The request cannot be read."),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, _NOT_RUN, None, "The body is too large."),
    ErrorKind.HEAD_TOO_LARGE: ErrorAnswer(431, _NOT_RUN, None, "The headers are too large."),
    ErrorKind.BODY_TOO_SLOW: ErrorAnswer(
        408, _NOT_RUN, None, "The body did not arrive before the request's deadline."
    ),
    ErrorKind.MEMORY_FULL: ErrorAnswer(
        503, _NOT_RUN, 1, "The instance's memory for callers is full. Another one may have room."
    ),
    ErrorKind.CONNECTIONS_FULL: ErrorAnswer(
        503, _NOT_RUN, 1, "The instance has no connection left. Another one may have."
    ),
    ErrorKind.KEY_REUSED: ErrorAnswer(
        422, _NOT_RUN, None, "This Idempotency-Key belongs to another body. Use a new key."
    ),
    ErrorKind.KEY_RUNNING: ErrorAnswer(
        409,
        _MAY_HAVE_RUN,
        1,
        "The request of this Idempotency-Key runs already, at another instance.",
    ),
    ErrorKind.ANSWER_NOT_KEPT: ErrorAnswer(
        410, _RAN, None, "The request of this Idempotency-Key ran; its answer is not kept."
    ),
    ErrorKind.BUDGET_EXHAUSTED: ErrorAnswer(
        402, _NOT_RUN, None, "The prepaid budget cannot cover the request. Top it up."
    ),
    ErrorKind.BUDGET_RESERVED: ErrorAnswer(
        429, _NOT_RUN, 2, "Running requests hold the rest of the budget; some of it will come back."
    ),
    ErrorKind.BUDGET_OUT_OF_REACH: ErrorAnswer(
        503, _NOT_RUN, 5, "The budget's rest is held where this data centre cannot get it just now."
    ),
    ErrorKind.LEDGER_UNAVAILABLE: ErrorAnswer(
        503, _NOT_RUN, 1, "The budget's leaseholder is being replaced."
    ),
    ErrorKind.PLATFORM_UNREACHABLE: ErrorAnswer(
        503, _NOT_RUN, 5, "A request that may run once only needs the platform's log, which is out."
    ),
    ErrorKind.NO_UPSTREAM: ErrorAnswer(503, _NOT_RUN, 5, "No upstream for this can be reached."),
    ErrorKind.OVERLOADED: ErrorAnswer(
        429, _NOT_RUN, 1, "All upstreams for this are at their limit."
    ),
    ErrorKind.INSTANCE_BUSY: ErrorAnswer(
        503, _NOT_RUN, 1, "This instance is busy. Another one may serve the request at once."
    ),
    ErrorKind.NOT_READY: ErrorAnswer(503, _NOT_RUN, 1, "The instance has no configuration yet."),
    ErrorKind.CONFIGURATION_STALE: ErrorAnswer(
        503, _NOT_RUN, 1, "A newer configuration may decide otherwise; this instance lacks it."
    ),
    ErrorKind.STOPPING: ErrorAnswer(503, _NOT_RUN, 1, "The instance is stopping."),
    ErrorKind.QUARANTINED: ErrorAnswer(
        503,
        _NOT_RUN,
        60,
        "Upstreams ended under this request or a part of its prompt; it is kept from them.",
    ),
    ErrorKind.RESUMPTION_UNKNOWN: ErrorAnswer(
        503, _NOT_RUN, 1, "The software version that began the stream is not known here."
    ),
    ErrorKind.UPSTREAM_REFUSED: ErrorAnswer(
        502, _NOT_RUN, None, "The upstream refused the request and says that it did not run it."
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        502, _MAY_HAVE_RUN, None, "The upstream got the request and gave no whole answer."
    ),
    ErrorKind.ANSWER_BROKEN: ErrorAnswer(
        502, _MAY_HAVE_RUN, None, "The answer broke off and could not be resumed."
    ),
    ErrorKind.TIMED_OUT: ErrorAnswer(
        504, _MAY_HAVE_RUN, None, "The upstream got the request and gave no answer in time."
    ),
    ErrorKind.INTERNAL: ErrorAnswer(500, _MAY_HAVE_RUN, None, "The instance failed."),
}


#: Refusals that rest on the configuration, so that a newer version may allow the request.
DECIDED_BY_CONFIGURATION = frozenset(
    {
        ErrorKind.UNAUTHORIZED,
        ErrorKind.UNKNOWN_PATH,
        ErrorKind.BUDGET_EXHAUSTED,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.HEAD_TOO_LARGE,
    }
)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request.

    Parameters
    ----------
    kind
        Error kind, the key into `ANSWERS`.
    detail
        The invalid value and what to do about it, added to the answer's message.
    retry_after_s
        Overrides the answer's `retry_after_s` if a better value is known.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def answer(self) -> ErrorAnswer:
        """Answer to the refusal's kind."""
        return ANSWERS[self.kind]

    @property
    def effective_retry_after_s(self) -> float | None:
        """Seconds after which to retry, or None if a retry does not help."""
        return self.answer.retry_after_s if self.retry_after_s is None else self.retry_after_s


class RefusedError(Exception):
    """Raised with a `Refusal` in I/O code, where a stream would lose a result value."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.kind.value}: {refusal.detail}")
        self.refusal = refusal


class SettingsError(ValueError):
    """Raised for invalid settings; the message quotes the value and says what to write."""
