"""Checks a trace of events against the rules of ``model/``.

A trace lists events in the order in which they happened. The rules follow
the specifications and share nothing with the code that they check.
"""

import collections

import attrs


@attrs.frozen
class AttemptReceived:
    """An instance received an attempt of a key."""

    attempt: int
    key: str


@attrs.frozen
class RecordAppended:
    """The log has a record of a claim stream; traces keep the log order."""

    kind: str
    key: str
    claim_id: str
    instance: str = ''


@attrs.frozen
class FoldDecided:
    """The decision of the code's fold on a key after the last record."""

    key: str
    owner: str | None
    settled: bool


@attrs.frozen
class PermitIssued:
    """An instance received the permit of a claim."""

    claim_id: str


@attrs.frozen
class Dispatched:
    """A target received the request of an attempt under a claim."""

    attempt: int
    key: str
    claim_id: str


@attrs.frozen
class TargetAnswered:
    """A target answered a dispatch."""

    claim_id: str
    output: str


@attrs.frozen
class InstanceCrashed:
    """An instance crashed and does not come back."""

    instance: str


@attrs.frozen
class LogRecovered:
    """The log is available again and all pending operations have ended."""


@attrs.frozen
class CallerAnswered:
    """The caller of an attempt received an outcome and its output, if any."""

    attempt: int
    key: str
    outcome: str
    output: str | None = None


@attrs.frozen
class ChangeAppended:
    """The catalogue stream has a change; ``bases`` are revisions by key."""

    offset: int
    change_id: str
    bases: tuple[tuple[str, int], ...]
    removed: tuple[str, ...] = ()


@attrs.frozen
class ChangeDecided:
    """A reader or an operator received the verdict on a change."""

    change_id: str
    accepted: bool


@attrs.frozen
class StateInForce:
    """A state came into force at a reader."""

    reader: str
    offset: int
    digest: bytes


@attrs.frozen
class SnapshotWritten:
    """A complete snapshot names the state of an offset."""

    offset: int
    digest: bytes


@attrs.frozen
class OrderExecuted:
    """An engine that checks fencing numbers executed an order."""

    engine: str
    fence: int
    holder: str


class KeyOwnership:
    """The owners of keys, decided by the order of records in the log."""

    def __init__(self):
        self.owner = {}
        self.void = set()
        self.owned = set()
        self.settled = set()

    def apply(self, event):
        """Apply one record."""
        match event.kind:
            case 'claim':
                self._apply_claim(event)
            case 'abandon' if self.owner.get(event.key) != event.claim_id:
                self.void.add(event.claim_id)
            case 'release' if self._is_unsettled_owner(event):
                self.void.add(event.claim_id)
                del self.owner[event.key]
            case 'outcome' if self._is_unsettled_owner(event):
                self.settled.add(event.claim_id)

    def _apply_claim(self, event):
        if event.key in self.owner or event.claim_id in self.void:
            self.void.add(event.claim_id)
            return
        self.owner[event.key] = event.claim_id
        self.owned.add(event.claim_id)

    def _is_unsettled_owner(self, event):
        held = self.owner.get(event.key) == event.claim_id
        return held and event.claim_id not in self.settled


class ClaimRules:
    """Checks the rules of claims, dispatches and answers."""

    def __init__(self):
        self.broken = set()
        self._keys = KeyOwnership()
        self._claimed = {}
        self._crashed = set()
        self._released = set()
        self._permits = set()
        self._dispatched = {}
        self._outputs = collections.defaultdict(set)
        self._received = []
        self._reported_not_run = collections.defaultdict(set)

    def check(self, event):
        """Check the next event of the trace."""
        match event:
            case AttemptReceived():
                self._received.append(event)
            case RecordAppended():
                self._check_record(event)
            case FoldDecided():
                owner = self._keys.owner.get(event.key)
                settled = owner in self._keys.settled
                same = (event.owner, event.settled) == (owner, settled)
                self._require('same_decision', same)
            case PermitIssued(claim_id=claim_id):
                self._require('permit_to_owner', claim_id in self._keys.owned)
                self._require('one_permit', claim_id not in self._permits)
                self._permits.add(claim_id)
            case Dispatched():
                self._check_dispatch(event)
            case TargetAnswered():
                self._outputs[event.claim_id].add(event.output)
            case CallerAnswered():
                self._check_answer(event)
            case InstanceCrashed(instance=instance):
                self._crashed.add(instance)
            case LogRecovered():
                held = self._keys.owner.values()
                self._require('no_orphan', all(map(self._may_own, held)))

    def _may_own(self, claim_id):
        crashed = self._claimed[claim_id] in self._crashed
        return crashed or claim_id in self._dispatched.values()

    def _require(self, rule, holds):
        if not holds:
            self.broken.add(rule)

    def _check_record(self, event):
        claim_id = event.claim_id
        match event.kind:
            case 'claim':
                self._require('one_append', claim_id not in self._claimed)
                self._claimed[claim_id] = event.instance
            case 'release':
                self._released.add(claim_id)
                ran = claim_id in self._dispatched.values()
                self._require('release_unrun', not ran)
            case 'outcome':
                ran = claim_id in self._dispatched.values()
                self._require('outcome_of_dispatch', ran)
        self._keys.apply(event)

    def _check_dispatch(self, event):
        self._require('one_dispatch', event.key not in self._dispatched)
        self._require('dispatch_by_permit', event.claim_id in self._permits)
        released = event.claim_id in self._released
        self._require('release_unrun', not released)
        reported_not_run = event.attempt in self._reported_not_run[event.key]
        self._require('not_run', not reported_not_run)
        self._dispatched.setdefault(event.key, event.claim_id)

    def _check_answer(self, event):
        match event.outcome:
            case 'not_run':
                ran = event.key in self._dispatched
                self._require('not_run', not ran)
                self._reported_not_run[event.key].update(
                    item.attempt
                    for item in self._received
                    if item.key == event.key
                )
            case 'completed':
                first = self._dispatched.get(event.key)
                known = event.output in self._outputs[first]
                self._require('answer_of_dispatch', known)


class CatalogueRules:
    """Checks the rules of the catalogue's fold and its readers."""

    def __init__(self):
        self.broken = set()
        self._revisions = {}
        self._accepted = {}
        self._highest = {}
        self._digests = {}

    def check(self, event):
        """Check the next event of the trace."""
        match event:
            case ChangeAppended():
                self._check_change(event)
            case ChangeDecided():
                verdict = self._accepted.get(event.change_id)
                self._require('one_winner', verdict is event.accepted)
            case StateInForce():
                highest = self._highest.get(event.reader, -1)
                self._require('never_lower', event.offset >= highest)
                self._highest[event.reader] = event.offset
                self._check_digest(event)
            case SnapshotWritten():
                self._check_digest(event)

    def _require(self, rule, holds):
        if not holds:
            self.broken.add(rule)

    def _check_change(self, event):
        once = event.change_id not in self._accepted
        self._require('one_append', once)
        current = all(
            self._revisions.get(key, -1) == base for key, base in event.bases
        )
        self._accepted[event.change_id] = current
        if not current:
            return
        for key, _ in event.bases:
            self._revisions[key] = event.offset
        for key in event.removed:
            self._revisions[key] = -1

    def _check_digest(self, event):
        digest = self._digests.setdefault(event.offset, event.digest)
        self._require('same_state', digest == event.digest)


class OrderRules:
    """Checks the rules of an engine that checks fencing numbers."""

    def __init__(self):
        self.broken = set()
        self._newest = {}

    def check(self, event):
        """Check the next event of the trace."""
        match event:
            case OrderExecuted():
                newest, holder = self._newest.get(event.engine, (-1, None))
                if event.fence < newest:
                    self.broken.add('fence_never_lower')
                if event.fence == newest and event.holder != holder:
                    self.broken.add('one_holder_a_fence')
                self._newest[event.engine] = (event.fence, event.holder)


def broken_rules(trace):
    """Return the sorted names of the rules that a trace breaks."""
    checkers = (ClaimRules(), CatalogueRules(), OrderRules())
    for event in trace:
        for checker in checkers:
            checker.check(event)
    return sorted(set().union(*(checker.broken for checker in checkers)))
