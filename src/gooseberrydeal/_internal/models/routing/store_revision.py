"""Order the revisions of the metadata store also when it is restored from a copy.

The store then counts on from the copy's revision and gives out the same numbers again.
An ordered revision holds the number of restorations, the epoch, in its upper bits.
"""

from typing import Final

from gooseberrydeal._internal.utils.number_range import integer_in

_NUMBER_BITS: Final = 40
_MAX_NUMBER: Final = (1 << _NUMBER_BITS) - 1


def ordered_revision(epoch: int, number: int) -> int:
    """Return the ordered revision of a number that the store gave out in an epoch.

    Raises ``ValueError`` for a number that would change the epoch.
    """
    return (epoch << _NUMBER_BITS) | integer_in(number, 0, _MAX_NUMBER)


def epoch_of(revision: int) -> int:
    """Return the epoch of an ordered revision."""
    return revision >> _NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own number of an ordered revision."""
    return revision & _MAX_NUMBER
