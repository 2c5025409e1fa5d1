"""Seeded mistakes that the check of the claims model must find."""

from dataclasses import dataclass, replace

from specs.claims_model import Rules

from lacewingspar_core.claims import (
    CLAIM_SEND_TIMEOUT_SECONDS,
    Claim,
    ClaimState,
    OwnClaim,
    may_send,
)


class WinnersOnlyState(ClaimState):
    """Drops lost claims, so that the result depends on expired records."""

    def add(self, offset: int, claim: Claim) -> None:
        """Add a claim, and remove it at once if it has lost."""
        super().add(offset, claim)
        entry = self.entry_by_offset(offset)
        if entry is not None and not entry.has_won:
            self.remove(entry)


def may_send_late(state: ClaimState, claim: OwnClaim, now: float) -> bool:
    """Ignore the time limit."""
    return may_send(state, claim, min(now, claim.appended_at))


def may_send_lost(state: ClaimState, claim: OwnClaim, now: float) -> bool:
    """Ignore whether the claim has won."""
    entry = state.entry_by_offset(claim.offset)
    return (
        entry is not None
        and now < claim.appended_at + CLAIM_SEND_TIMEOUT_SECONDS
    )


def may_send_old_key(state: ClaimState, claim: OwnClaim, now: float) -> bool:
    """Ignore the age of the key at the time of the append."""
    return may_send(state, replace(claim, key_time_ms=None), now)


@dataclass(frozen=True)
class Mistake:
    """A seeded mistake and the name of the sizes that find it."""

    sizes: str
    rules: Rules


MISTAKES = {
    "send before reading back": Mistake(
        "small", Rules(sends_before_reading_back=True)
    ),
    "send a lost claim": Mistake("small", Rules(may_send=may_send_lost)),
    "send without time limit": Mistake("small", Rules(may_send=may_send_late)),
    "send after giving up": Mistake("small", Rules(sends_after_giving_up=True)),
    "send again after a crash": Mistake(
        "small", Rules(resumes_claims_after_crash=True)
    ),
    "release after sending": Mistake("small", Rules(releases_sent_claims=True)),
    "release a claim of another router": Mistake(
        "small", Rules(releases_open_claims=True)
    ),
    "retention shorter than the window": Mistake("small", Rules(retention=1)),
    "check the key's age before the append only": Mistake(
        "key with time", Rules(may_send=may_send_old_key)
    ),
    "forget lost claims": Mistake(
        "retention", Rules(make_state=WinnersOnlyState)
    ),
}
