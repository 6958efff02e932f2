"""Issues permits to send to targets that limit the rate of their requests.

Instances ask one of them, the issuer of a target, before each request to a
target that sets a limit. While instances disagree about who is reachable, two
issuers may be in use: the first in the ranking of all listed instances, and
one other. Both together issue no more than a target tolerates. It does no I/O.
"""

import attrs

from sycamorebeam.forwarding import target_limits

# Targets tolerate 1.5 times their limit plus 5 requests in any 4 s
# (protocol). Two issuers with these shares and this burst stay within that.
FIRST_ISSUER_SHARE = 1.0
OTHER_ISSUER_SHARE = 0.5
MAX_BURST = 2.0
# A target whose limit is 0 is still sent a request now and then, since only
# its answers tell that the limit has ended.
MIN_REQUESTS_PER_S = 0.1
# A refused instance asks again after this time at most, since others may not
# use the permits that they were promised.
MAX_WAIT_MS = 5_000.0
MIN_WAIT_MS = 50.0  # a few round trips


def issued_per_ms(
    requests_per_s: float, share: float = FIRST_ISSUER_SHARE
) -> float:
    """Return the rate at which an issuer issues permits for a target."""
    return max(MIN_REQUESTS_PER_S, requests_per_s * share) / 1_000


@attrs.define
class _PermitBucket:
    """The permits left for a target, and when refused instances get theirs.

    It starts empty: a previous issuer may have issued permits just now.
    """

    _per_ms: float
    _updated_ms: int
    _permits: float = 0.0
    _promised_ms: dict[str, float] = attrs.field(factory=dict)

    def take(self, instance_id: str, per_ms: float, now_ms: int) -> float:
        """Take a permit and return 0, or return the time until there is one.

        Refused instances are promised successive permits, so that they do
        not all return for the same one.
        """
        earned = (now_ms - self._updated_ms) * self._per_ms
        self._permits = min(MAX_BURST, self._permits + earned)
        self._updated_ms = now_ms
        self._per_ms = per_ms
        if self._permits >= 1:
            self._permits -= 1
            self._promised_ms.pop(instance_id, None)
            return 0.0
        self._promised_ms = {
            other_id: at_ms
            for other_id, at_ms in self._promised_ms.items()
            if at_ms > now_ms
        }
        at_ms = self._promised_ms.get(instance_id)
        if at_ms is None:
            missing = 1 - self._permits + len(self._promised_ms)
            at_ms = now_ms + missing / self._per_ms
            self._promised_ms[instance_id] = at_ms
        return max(MIN_WAIT_MS, min(MAX_WAIT_MS, at_ms - now_ms))


class PermitIssuer:
    """Issues the permits of the targets that this instance is issuer of."""

    def __init__(self) -> None:
        self._buckets: dict[target_limits.Key, _PermitBucket] = {}

    def take(
        self,
        key: target_limits.Key,
        requests_per_s: float,
        instance_id: str,
        now_ms: int,
        *,
        is_first: bool,
    ) -> float:
        """Issue a permit to an instance and return 0.

        If there is none, return after which time to ask again, in ms.
        """
        share = FIRST_ISSUER_SHARE if is_first else OTHER_ISSUER_SHARE
        per_ms = issued_per_ms(requests_per_s, share)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _PermitBucket(per_ms, now_ms)
            if len(self._buckets) > target_limits.MAX_LIMITS_KEPT:
                del self._buckets[next(iter(self._buckets))]
        return bucket.take(instance_id, per_ms, now_ms)
