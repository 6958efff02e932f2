"""Typed errors. Each message says what is wrong and what to do about it.

Failures that a running system expects (a refused request, an append with
an unknown outcome) are values, see ``answers`` and ``clients``; the errors
here end an operation that cannot go on.
"""

import attrs


@attrs.define
class SycamoreError(Exception):
    """The base of all errors of this program.

    ``detail`` says what is wrong, ``remedy`` what the reader can do.
    """

    detail: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.detail}; {self.remedy}'


@attrs.define
class SettingsError(SycamoreError):
    """The settings or a catalogue file is not valid.

    ``problems`` lists each thing that is wrong, when there are many.
    """

    problems: tuple[str, ...] = ()


@attrs.define
class PlatformError(SycamoreError):
    """The platform did not answer according to its protocol."""


@attrs.define
class GapError(SycamoreError):
    """The log no longer has records that a reader needs."""


@attrs.define
class VersionError(SycamoreError):
    """A record or message has a version that this program cannot read."""


@attrs.define
class PermitError(SycamoreError):
    """A dispatch permit was used twice, used after its release, or copied."""


@attrs.define
class LeaseError(SycamoreError):
    """An order was not sent because it is no longer valid."""


@attrs.define
class DigestError(SycamoreError):
    """Two states that must be equal have different digests."""
