"""The rules of ``model/`` as an independent check of a trace of events.

A trace lists events in the order in which they happened. The rules are
stated here from the specifications, without the code that they check.
"""

import collections

import attrs


@attrs.frozen
class Began:
    """An instance received an attempt of a key."""

    attempt: int
    key: str


@attrs.frozen
class Landed:
    """A record of a claim stream is in the log; order is log order."""

    kind: str
    key: str
    claim_id: str
    instance: str = ''


@attrs.frozen
class Decided:
    """What the code's fold says of a key after the last record."""

    key: str
    owner: str | None
    settled: bool


@attrs.frozen
class Permitted:
    """An instance got the permit of a claim."""

    claim_id: str


@attrs.frozen
class Dispatched:
    """A target got the request of an attempt under a claim."""

    attempt: int
    key: str
    claim_id: str


@attrs.frozen
class Ran:
    """The target's answer to a dispatch."""

    claim_id: str
    output: str


@attrs.frozen
class Died:
    """An instance stopped for good, without a word."""

    instance: str


@attrs.frozen
class Settled:
    """The log is back and everything that was on its way has ended."""


@attrs.frozen
class Told:
    """What the caller of an attempt was told: an outcome, an output."""

    attempt: int
    key: str
    outcome: str
    output: str | None = None


@attrs.frozen
class ChangeLanded:
    """A change is in the catalogue's stream; ``bases`` by entry key."""

    offset: int
    change_id: str
    bases: tuple[tuple[str, int], ...]
    removed: tuple[str, ...] = ()


@attrs.frozen
class Verdict:
    """What a reader or an operator found of a change."""

    change_id: str
    accepted: bool


@attrs.frozen
class InForce:
    """A reader has a state in force."""

    reader: str
    offset: int
    digest: bytes


@attrs.frozen
class SnapshotTaken:
    """A whole snapshot names the state of an offset."""

    offset: int
    digest: bytes


@attrs.frozen
class OrderTaken:
    """An engine that checks fencing numbers carried out an order."""

    engine: str
    fence: int
    holder: str


class Keys:
    """The claims as the log's order decides them."""

    def __init__(self):
        self.owner = {}
        self.void = set()
        self.owned = set()
        self.settled = set()

    def land(self, event):
        """Decide one record; return the rules that it breaks."""
        match event.kind:
            case 'claim':
                self._claim(event)
            case 'abandon' if self.owner.get(event.key) != event.claim_id:
                self.void.add(event.claim_id)
            case 'release' if self._holds(event):
                self.void.add(event.claim_id)
                del self.owner[event.key]
            case 'outcome' if self._holds(event):
                self.settled.add(event.claim_id)

    def _claim(self, event):
        if event.key in self.owner or event.claim_id in self.void:
            self.void.add(event.claim_id)
            return
        self.owner[event.key] = event.claim_id
        self.owned.add(event.claim_id)

    def _holds(self, event):
        held = self.owner.get(event.key) == event.claim_id
        return held and event.claim_id not in self.settled


class ClaimRules:
    """What claims, dispatches and answers must keep."""

    def __init__(self):
        self.broken = set()
        self._keys = Keys()
        self._claimed = {}
        self._died = set()
        self._released = set()
        self._permits = set()
        self._dispatched = {}
        self._outputs = collections.defaultdict(set)
        self._begun = []
        self._denied = collections.defaultdict(set)

    def take(self, event):
        """Take the next event of the trace."""
        match event:
            case Began():
                self._begun.append(event)
            case Landed():
                self._land(event)
            case Decided():
                owner = self._keys.owner.get(event.key)
                settled = owner in self._keys.settled
                same = (event.owner, event.settled) == (owner, settled)
                self._require('same_decision', same)
            case Permitted(claim_id=claim_id):
                self._require('permit_to_owner', claim_id in self._keys.owned)
                self._require('one_permit', claim_id not in self._permits)
                self._permits.add(claim_id)
            case Dispatched():
                self._dispatch(event)
            case Ran():
                self._outputs[event.claim_id].add(event.output)
            case Told():
                self._tell(event)
            case Died(instance=instance):
                self._died.add(instance)
            case Settled():
                held = self._keys.owner.values()
                self._require('no_orphan', all(map(self._may_hold, held)))

    def _may_hold(self, claim_id):
        died = self._claimed[claim_id] in self._died
        return died or claim_id in self._dispatched.values()

    def _require(self, rule, holds):
        if not holds:
            self.broken.add(rule)

    def _land(self, event):
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
        self._keys.land(event)

    def _dispatch(self, event):
        self._require('one_dispatch', event.key not in self._dispatched)
        self._require('dispatch_by_permit', event.claim_id in self._permits)
        released = event.claim_id in self._released
        self._require('release_unrun', not released)
        denied = event.attempt in self._denied[event.key]
        self._require('not_run', not denied)
        self._dispatched.setdefault(event.key, event.claim_id)

    def _tell(self, event):
        match event.outcome:
            case 'not_run':
                ran = event.key in self._dispatched
                self._require('not_run', not ran)
                self._denied[event.key].update(
                    item.attempt
                    for item in self._begun
                    if item.key == event.key
                )
            case 'completed':
                first = self._dispatched.get(event.key)
                known = event.output in self._outputs[first]
                self._require('answer_of_dispatch', known)


class CatalogueRules:
    """What the fold of the catalogue and its readers must keep."""

    def __init__(self):
        self.broken = set()
        self._revisions = {}
        self._accepted = {}
        self._highest = {}
        self._digests = {}

    def take(self, event):
        """Take the next event of the trace."""
        match event:
            case ChangeLanded():
                self._land(event)
            case Verdict():
                verdict = self._accepted.get(event.change_id)
                self._require('one_winner', verdict is event.accepted)
            case InForce():
                highest = self._highest.get(event.reader, -1)
                self._require('never_lower', event.offset >= highest)
                self._highest[event.reader] = event.offset
                self._compare(event)
            case SnapshotTaken():
                self._compare(event)

    def _require(self, rule, holds):
        if not holds:
            self.broken.add(rule)

    def _land(self, event):
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

    def _compare(self, event):
        digest = self._digests.setdefault(event.offset, event.digest)
        self._require('same_state', digest == event.digest)


class OrderRules:
    """What an engine that checks fencing numbers must keep."""

    def __init__(self):
        self.broken = set()
        self._newest = {}

    def take(self, event):
        """Take the next event of the trace."""
        match event:
            case OrderTaken():
                newest, holder = self._newest.get(event.engine, (-1, None))
                if event.fence < newest:
                    self.broken.add('fence_never_lower')
                if event.fence == newest and event.holder != holder:
                    self.broken.add('one_holder_a_fence')
                self._newest[event.engine] = (event.fence, event.holder)


def broken_rules(trace):
    """Return the names of the rules that a trace breaks, in order."""
    checks = (ClaimRules(), CatalogueRules(), OrderRules())
    for event in trace:
        for check in checks:
            check.take(event)
    return sorted(set().union(*(check.broken for check in checks)))
