"""Numbered log events.

Their catalogue ``docs/EVENTS.md`` is generated from this module, and a test compares the two.
"""

from __future__ import annotations

import json
from enum import Enum
from typing import Any

from absl import logging

#: Maximum characters of a text in a log line.
_MAX_LOGGED_CHARACTERS = 2_000


class Event(Enum):
    """Closed list of log events, each with number, absl level and meaning."""

    INSTANCE_STARTED = (1001, logging.INFO, "The instance listens for callers and peers.")
    INSTANCE_STOPPING = (1002, logging.INFO, "The instance accepts no new work and drains.")
    INSTANCE_STOPPED = (1003, logging.INFO, "The instance has stopped.")
    SETTINGS_CHANGED = (1005, logging.INFO, "SIGHUP reported a change of the settings file.")
    LINES_DROPPED = (1006, logging.WARNING, "Log lines above the rate limit were dropped.")
    KNOWLEDGE_TAKEN = (
        1007,
        logging.INFO,
        "At the start, a peer supplied what the store could not.",
    )
    INSTANCE_BUSY = (
        1008,
        logging.WARNING,
        "This instance is nearly full or has redirected callers to others.",
    )
    INSTANCE_FREE = (1009, logging.INFO, "The instance has had room for callers for a while.")
    SIGNAL_IN_STOP = (1010, logging.INFO, "A signal came in a stop, which goes on as planned.")
    TASK_FAILED = (1004, logging.ERROR, "A background task failed and is restarted.")
    CONFIG_IN_FORCE = (
        2001,
        logging.INFO,
        "A published configuration is in force at this instance.",
    )
    CONFIG_REFUSED = (2002, logging.WARNING, "A published configuration conflicted or was invalid.")
    CONFIG_READ = (2003, logging.INFO, "Versions of the configuration were read from the store.")
    CONFIG_OUTDATED = (
        2004,
        logging.WARNING,
        "A newer configuration exists and could not be read in time: requests are refused.",
    )
    CONFIG_CURRENT = (2005, logging.INFO, "The newest configuration is in force again.")
    PEER_SUSPECTED = (3001, logging.WARNING, "A peer has not answered for the suspicion time.")
    PEER_SEEN = (3002, logging.INFO, "A peer answered, for the first time or again.")
    MEMBER_SEEN = (3003, logging.INFO, "An instance announced itself for the first time.")
    MEMBER_GONE = (3004, logging.WARNING, "An instance's announcements have expired.")
    EPOCH_OPENED = (4001, logging.INFO, "A leaseholder epoch was opened for a ledger shard.")
    EPOCH_LOST = (4002, logging.WARNING, "This instance no longer leads a ledger shard.")
    EPOCH_CLOSED = (4003, logging.INFO, "One side of an epoch reported its spend and closed it.")
    EPOCH_SEALED = (4004, logging.WARNING, "The witness sealed an epoch.")
    WITNESS_PROMOTED = (4005, logging.WARNING, "The witness spends a sealed epoch's share itself.")
    WITNESS_LOST = (4006, logging.WARNING, "The leaseholder cannot reach its witness.")
    GRANT_UNMET = (4007, logging.WARNING, "The log granted less escrow than requested.")
    ESCROW_RETURNED = (4008, logging.INFO, "Unused escrow was returned for another data centre.")
    CLAIMS_WRITTEN = (4009, logging.INFO, "Claims on budgets were written to the store.")
    TOKENS_LENT = (4010, logging.INFO, "Tokens of a budget were lent to another instance.")
    TOKENS_BORROWED = (4011, logging.INFO, "Tokens of a budget came from another instance.")
    CLAIMS_STRANDED = (
        4012,
        logging.WARNING,
        "Claims of a stopped or expired process stay claimed.",
    )
    CLAIMS_RECLAIMED = (4013, logging.INFO, "Unused claims of an expired process were freed.")
    CLAIMS_UNLOCKED = (4014, logging.WARNING, "Claims may be spent past their windows.")
    CLAIMS_LOCKED = (4015, logging.INFO, "Claims may be spent only up to their windows.")
    RENEWAL_WITHHELD = (
        4016,
        logging.ERROR,
        "A renewal's windows would not cover the tokens used.",
    )
    TOKENS_HANDED_OVER = (
        4017,
        logging.INFO,
        "At a stop or as unused loans, tokens were handed over to a peer.",
    )
    TOKENS_TAKEN_OVER = (4018, logging.INFO, "Tokens that a peer handed over were taken over.")
    LOG_UNREACHABLE = (5001, logging.WARNING, "The platform's log or store does not answer.")
    LOG_REACHABLE = (5002, logging.INFO, "The platform's log or store answers again.")
    STREAM_BEHIND = (5004, logging.WARNING, "A stream of the store has been unreadable for long.")
    STREAM_CAUGHT_UP = (5005, logging.INFO, "A stream of the store can be read again.")
    RECORD_SKIPPED = (5003, logging.ERROR, "A log record cannot be decoded; all readers skip it.")
    UPSTREAM_FAILED = (6001, logging.WARNING, "An upstream failed a request.")
    ANSWER_BROKEN = (6002, logging.WARNING, "An answer broke off and was ended with an error.")
    ANSWER_CONTINUED = (6003, logging.WARNING, "A broken answer is continued at another engine.")
    ENGINE_ORDERED = (6004, logging.INFO, "An engine was ordered to load models or change role.")
    ENGINE_CONTESTED = (6005, logging.ERROR, "An engine repeatedly loses its ordered setup.")
    ENGINE_SILENT = (6006, logging.WARNING, "An engine that accepts orders does not answer.")
    UPSTREAMS_LISTED = (6010, logging.INFO, "The list of all registered upstreams was read.")
    UPSTREAM_REGISTERED = (6007, logging.INFO, "An upstream registered or changed its state.")
    UPSTREAM_LEFT = (6008, logging.INFO, "An upstream was deregistered.")
    UPSTREAM_LAPSED = (
        6011,
        logging.INFO,
        "A registration ended; its upstream stays in use: the store may have been unreachable.",
    )
    REGISTRATIONS_REGAINED = (
        6012,
        logging.INFO,
        "The upstreams' registrations are read again after a gap.",
    )
    ATTEMPT_FAILED = (6009, logging.WARNING, "An upstream did not answer a request.")
    RETRY_GRANTED = (6013, logging.INFO, "A retry was taken from this instance's budget.")
    RETRY_DENIED = (6014, logging.INFO, "A retry was denied: the retry budget is used up.")
    BURST_SHARED = (
        6015,
        logging.INFO,
        "The number of sharers of the retry burst changed; 0 if this instance has no share.",
    )
    UPSTREAM_ENDED = (6016, logging.WARNING, "An upstream crashed while it had these requests.")
    END_NOTED = (
        6017,
        logging.INFO,
        "A crash of an upstream under a request or a prompt part was recorded.",
    )
    QUARANTINE_BEGAN = (
        6018,
        logging.ERROR,
        "Upstreams crashed under a request or a prompt part; it is quarantined until answered.",
    )
    QUARANTINE_CLEARED = (
        6019,
        logging.INFO,
        "Crash records of a request or a prompt part were removed, see `reason`.",
    )
    QUARANTINE_TRIAL = (
        6020,
        logging.WARNING,
        "A quarantined request, or one with a quarantined part, may be sent once, as a probe.",
    )
    EVACUATION_BEGAN = (
        6022,
        logging.WARNING,
        "Operators evacuate a data centre: its upstreams get no new requests.",
    )
    EVACUATION_ENDED = (6023, logging.INFO, "An evacuated data centre is used again.")
    UPSTREAM_COLD = (6024, logging.INFO, "An upstream is cold and bears few requests a second.")
    UPSTREAM_UNREACHABLE = (
        6025,
        logging.WARNING,
        "This instance cannot connect to an upstream; other instances may.",
    )
    UPSTREAM_REACHABLE = (6026, logging.INFO, "This instance can connect to an upstream again.")
    SERVICE_UNREACHABLE = (
        6027,
        logging.ERROR,
        "This instance cannot connect to any upstream of a service.",
    )
    SERVICE_REACHABLE = (
        6028,
        logging.INFO,
        "This instance can connect to an upstream of a service again.",
    )
    RELAYS_CHANGED = (
        6029,
        logging.INFO,
        "The peers changed that relay for this instance.",
    )
    ATTEMPT_RELAYED = (6030, logging.INFO, "An attempt was made for another instance.")
    RELAY_LEFT = (
        6031,
        logging.INFO,
        "An instance disconnected before the answer that it was relayed was complete.",
    )
    UPSTREAM_LIMITED = (
        6032,
        logging.WARNING,
        "An upstream names a limit on the requests a second from the whole fleet.",
    )
    UPSTREAM_UNLIMITED = (6033, logging.INFO, "An upstream no longer names a limit.")
    RATE_LIMIT_IGNORED = (6034, logging.WARNING, "An upstream's limit is not a number; ignored.")
    VERSIONS_CHANGED = (
        6035,
        logging.INFO,
        "The upstreams of a service have another software version beside those known.",
    )
    RESUMPTION_BOUND = (
        6036,
        logging.INFO,
        "A resumed stream goes on only at the service and the version that began it.",
    )
    ORIGINS_DROPPED = (
        6037,
        logging.WARNING,
        "A peer did not get copies of where streams began.",
    )
    PROCESS_REPLACED = (
        6038,
        logging.WARNING,
        "Another process runs under an upstream's id than its registration says.",
    )
    PROCESS_UNCONFIRMED = (
        6039,
        logging.WARNING,
        "An upstream did not say which process it is.",
    )
    ORIGINS_FORGOTTEN = (
        6040,
        logging.WARNING,
        "Origins of streams were forgotten early: there are more than an instance remembers.",
    )
    HISTORY_READ = (
        6041,
        logging.INFO,
        "The software versions and routes of the time before a start, or in a gap, were read.",
    )
    HISTORY_UNKNOWN = (
        6042,
        logging.WARNING,
        "Software versions or routes of the time before a start, or in a gap, cannot be read.",
    )
    HISTORY_UNWRITTEN = (
        6043,
        logging.WARNING,
        "The software versions and routes could not be written for instances that start.",
    )
    UNSOLICITED_BYTES = (
        6044,
        logging.WARNING,
        "Bytes came on a connection that waits for no answer.",
    )
    END_DROPPED = (6021, logging.ERROR, "A crash record was dropped: too many wait for the store.")
    REQUEST_REFUSED = (7001, logging.INFO, "A request was refused.")
    HEAD_TOO_SLOW = (7005, logging.INFO, "A connection was closed before its head was complete.")
    CALLERS_REFUSED = (
        7006,
        logging.WARNING,
        "Connections or requests were refused or closed for lack of memory or descriptors.",
    )
    SETTLE_PENDING = (7002, logging.WARNING, "A settlement could not be delivered yet.")
    REQUEST_ANSWERED = (7003, logging.INFO, "A request got an upstream's answer.")
    REQUEST_LEFT = (7004, logging.INFO, "A caller disconnected before its answer was complete.")
    INTERNAL_ERROR = (9001, logging.ERROR, "A request failed because of an internal error.")
    LIBRARY_MESSAGE = (9002, logging.WARNING, "A library logged a message.")

    @property
    def number(self) -> int:
        """Number that identifies the event in log lines."""
        return int(self.value[0])

    @property
    def level(self) -> int:
        """Level as a constant of absl logging."""
        return int(self.value[1])

    @property
    def meaning(self) -> str:
        """Explanation for the catalogue."""
        return str(self.value[2])


def rounded(seconds: float | None) -> float | None:
    """Return a duration in milliseconds' precision for a log line."""
    return None if seconds is None else round(seconds, 3)


def _shortened(value: Any) -> Any:
    """Return a value of a log line; callers choose ids and may send long ones."""
    if isinstance(value, str) and len(value) > _MAX_LOGGED_CHARACTERS:
        return value[:_MAX_LOGGED_CHARACTERS] + "..."
    return value


def emit(event: Event, /, **fields: Any) -> None:
    """Log one event as a line of its number, its name and its fields as JSON."""
    logging.log(
        event.level,
        "MS%d %s %s",
        event.number,
        event.name.lower(),
        json.dumps({k: _shortened(v) for k, v in fields.items()}, default=str, sort_keys=True),
    )
