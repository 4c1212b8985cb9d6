"""The compact storage of settled claims is equivalent to complete claims."""

from random import Random

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.state.batch_codec import encode_batch
from acaciacove.state.claim import Claim
from acaciacove.state.claim_codec import encode_claim_record
from acaciacove.state.claim_key import claim_key, request_fingerprint
from acaciacove.state.claim_table import ClaimTable
from acaciacove.state.held_claim import HeldClaim
from acaciacove.state.outcome import Outcome
from acaciacove.state.release import Release
from acaciacove.state.settled_claims import MIN_SEGMENT_ROWS, SettledClaims

DAY_S = 86_400.0


def claim_of(number, at_s=1000.0, attempt=0):
    return Claim(
        claim_key("org", "bookings", f"key-{number}"),
        f"bookings-{number % 3}/17/{attempt:08x}{number:08x}",
        f"bookings-{number % 3}",
        17,
        request_fingerprint("POST", "/shuttles", b"%d" % number),
        at_s,
    )


def settled(number, at_s=1000.0, known=True):
    claim = claim_of(number, at_s)
    outcome = Outcome(claim.key, claim.claim_id, known, known, 201 if known else 0)
    return HeldClaim(claim, outcome, number)


def test_settled_claims_are_found_unchanged_in_all_segments():
    claims = SettledClaims()
    count = 5 * MIN_SEGMENT_ROWS + 7
    assert all(claims.add(settled(n, known=n % 5 > 0)) for n in range(count))
    assert len(claims) == count
    for number in Random(1).sample(range(count), 500):
        wanted = settled(number, known=number % 5 > 0)
        found = claims.find(wanted.claim.key)
        assert (found.claim, found.outcome) == (wanted.claim, wanted.outcome)
        assert found.outcome_offset == number
    assert claims.find(claim_of(count).key) is None


def test_claims_that_no_row_can_represent_are_not_added():
    # A large answer is only in the memory of its owner, which other processes query.
    # An open claim has no outcome, and an id in another format cannot be restored.
    claims = SettledClaims()
    held = settled(1)
    assert not claims.add(HeldClaim(held.claim))
    large = evolve(held.outcome, answer_kept=False)
    assert not claims.add(HeldClaim(held.claim, large, 1))
    other_format = evolve(held.claim, claim_id="odd")
    assert not claims.add(HeldClaim(other_format, held.outcome, 1))
    assert claims.add(held)
    assert not claims.add(held)


def test_settled_claims_are_removed_when_they_expire():
    claims = SettledClaims()
    for number in range(2 * MIN_SEGMENT_ROWS):
        claims.add(settled(number, at_s=1000.0 + number))
    claims.remove_expired(1000.0 + MIN_SEGMENT_ROWS)
    assert claims.find(claim_of(0).key) is None
    assert claims.find(claim_of(MIN_SEGMENT_ROWS - 1).key) is None
    assert claims.find(claim_of(MIN_SEGMENT_ROWS).key) is not None
    claims.remove_expired(1e6)
    assert len(claims) == 0


class ReferenceTable:
    """Reference model: the first claim of a key in the log holds it."""

    def __init__(self):
        self.held, self.released = {}, set()

    def fold(self, record):
        holder = self.held.get(record.key)
        match record:
            case Claim():
                if holder is None and record.claim_id not in self.released:
                    self.held[record.key] = [record, None]
            case Outcome():
                if holder and holder[0].claim_id == record.claim_id:
                    holder[1] = holder[1] or record
            case Release():
                if holder and holder[0].claim_id == record.claim_id:
                    if holder[1]:
                        return
                    del self.held[record.key]
                self.released.add(record.claim_id)


records = st.tuples(
    st.sampled_from(["claim", "kept", "large", "unknown", "release"]),
    st.integers(0, 3),
    st.integers(0, 2),
)


def record_of(kind, number, attempt):
    claim = claim_of(number, attempt=attempt)
    match kind:
        case "claim":
            return claim
        case "release":
            return Release(claim.key, claim.claim_id)
    return Outcome(claim.key, claim.claim_id, kind != "unknown", kind == "kept", 201)


@given(st.lists(records, max_size=40))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_the_table_agrees_with_a_reference_model(drawn):
    # If a settled key were considered free, its booking would run a second time.
    reference, table = ReferenceTable(), ClaimTable(DAY_S)
    for offset, record_args in enumerate(drawn):
        record = record_of(*record_args)
        reference.fold(record)
        payload = encode_batch("w", 1, offset, [encode_claim_record(record)])
        table.offer([LogEntry(offset, payload)])
    for number in range(4):
        key = claim_of(number).key
        held, expected = table.holder(key), reference.held.get(key)
        assert (held is None) == (expected is None)
        if held is not None:
            assert held.claim == expected[0]
            assert held.outcome == expected[1]
