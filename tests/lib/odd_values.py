"""Build values that other processes may send by mistake."""

from typing import Final

from hypothesis import strategies as st

# Loads that no server can have, or that are none.
INVALID_LOADS: Final = (
    "3,0,16,0",
    "3,0,16,00",
    "3,0,16,0.0",
    "3,0,16,1",
    "3,0,16,-100",
    "3,0,16,1e306",
    "3,0,16,nan",
    "3,0,16,inf",
    "3,0,16,99999999",
    "3,0,16,",
    "3,0,16,0x64",
    "3,,16,100",
    "-3,0,16,100",
    "3,0,1_6,100",
    f"{'9' * 308},{'9' * 308},16,100",
    f"3,{'9' * 400},16,100",
    "3,0",
    "",
)

# Texts of a decimal number, or of none.
DECIMALS: Final = st.one_of(
    st.integers(-10, 2_000_000).map(str),
    st.floats().map(str),
    st.floats(0, 1e4).map(str),
    st.sampled_from(["", "0", "00", " 7 ", "+1", "1e400", "9" * 400, "٣", "1_0"]),
    st.text("0123456789.,eE+-_ ", max_size=8),
)
# Values of a load field, most of them with a plausible number of figures.
LOADS: Final = st.lists(DECIMALS, max_size=6).map(",".join)

_LONG_NUMBER: Final = b"9" * 400
# Bodies that are no report of an engine.
INVALID_REPORTS: Final = (
    b'{"sequence":-1,"models":[]}',
    b'{"sequence":%b,"models":[]}' % _LONG_NUMBER,
    b'{"sequence":1,"born":%b,"models":[]}' % _LONG_NUMBER,
    b'{"sequence":1,"models":[{"name":"m","adapters":["a1@-1"]}]}',
    b'{"sequence":1,"models":[{"name":"m","adapters":["a1@%b"]}]}' % _LONG_NUMBER,
    b"",
    b"null",
    b"[]",
    b'"report"',
    b"{}",
    b"\xff",
    b'{"sequence":1}',
    b'{"sequence":true,"models":[]}',
    b'{"sequence":"1","models":[]}',
    b'{"sequence":1.5,"models":[]}',
    b'{"sequence":1,"models":7}',
    b'{"sequence":1,"models":["m"]}',
    b'{"sequence":1,"models":[{"name":"m","version":1}]}',
    b'{"sequence":1,"models":[{"name":"m","version":null}]}',
    b'{"sequence":1,"models":[{"name":"m","adapters":7}]}',
    b'{"sequence":1,"models":[{"name":"m","adapters":["a1@x"]}]}',
    b'{"sequence":1,"models":[],"coming":[7]}',
    b'{"sequence":1,"models":[],"coming":7}',
)

# Values that a field of a message between hosts can have, few of them valid.
FIELD_VALUES: Final = st.one_of(
    st.integers(),
    st.sampled_from([0, -1, 10**400, -(10**400), 2**63, 10**18]),
    st.floats(),
    st.none(),
    st.booleans(),
    st.text(max_size=4),
    st.binary(max_size=4),
    st.lists(st.integers() | st.text(max_size=2), max_size=3),
    st.dictionaries(st.text(max_size=2), st.integers(), max_size=2),
)

# Numbers that are no count of anything.
INVALID_INTEGERS: Final[tuple[object, ...]] = (
    -1,
    10**400,
    -(10**400),
    2**63,
    1.5,
    1e300,
    True,
    None,
    "1",
    [],
)
