"""Terms, votes and the election timer of a replica."""

import random

import attrs

from knapweedarch.replica_leadership import MAX_ELECTION_S, MIN_ELECTION_S
from knapweedarch.replica_log import ReplicaLog
from knapweedarch.replica_messages import HardState, VoteReply, VoteRequest

# Ranges of the random delay before another attempt. A pre-vote changes no state
# of the voters, and a rejected one was usually just too early, so it is retried
# soon. A vote waits for a sync at each voter, so its delay is longer.
PRE_VOTE_RETRY_S = (0.1, 0.3)
VOTE_RETRY_S = (0.3, 0.6)


@attrs.frozen
class Answer:
    """Answer of a voter to a candidate.

    Attributes:
        at: When it arrived, in seconds on the candidate's clock.
        granted: Whether it is a vote or pre-vote.
    """

    at: float
    granted: bool


class Election:
    """Term, vote and election timer of one replica.

    Times are seconds on the driver's clock.

    Attributes:
        hard_state: Term and vote.
        just_restarted: Whether the process has not heard from a leader since
            it started.
        answers: Newest answer of each voter since a leader was last heard from.
    """

    def __init__(self, identity: str, hard_state: HardState, seed: int):
        self.hard_state = hard_state
        self._saved = hard_state
        self._identity = identity
        self._random = random.Random(seed)
        # Identities that granted a vote in this term; the key is whether it is
        # a pre-vote.
        self._votes: dict[bool, set[str]] = {True: set(), False: set()}
        self.answers: dict[str, Answer] = {}
        self.just_restarted = False
        self._restarted_voters: set[str] = set()
        self._refuse_votes_until = 0.0
        self._due_at = 0.0

    @property
    def term(self) -> int:
        """Newest known term."""
        return self.hard_state.term

    def start_restart_wait(self, now: float) -> None:
        """Refuses votes while a lease from before the restart may still hold.

        The pre-vote starts at once all the same: if every voter has
        restarted, no process holds a lease and there is nothing to wait for.
        """
        self.record_leader_contact(now)
        self.just_restarted = True
        self._due_at = now

    def record_leader_contact(self, now: float) -> None:
        """Restarts the period in which this replica grants no votes."""
        self.just_restarted = False
        self.answers = {}
        self._votes = {True: set(), False: set()}
        self._refuse_votes_until = now + MIN_ELECTION_S
        self._restart_timer(now, MIN_ELECTION_S, MAX_ELECTION_S)

    def has_recent_leader(self, now: float) -> bool:
        """Returns whether a leader's lease may rely on this replica."""
        return now < self._refuse_votes_until

    def _restart_timer(self, now: float, low_s: float, high_s: float) -> None:
        self._due_at = now + self._random.uniform(low_s, high_s)

    def retry_later(self, now: float) -> None:
        """Delays the next attempt so that another candidate can be elected."""
        self._restart_timer(now, *VOTE_RETRY_S)

    def timer_expired(self, now: float) -> bool:
        """Returns whether the election timer has expired."""
        return now >= self._due_at

    def enter_term(self, term: int) -> None:
        """Enters a newer term without having voted in it."""
        self.hard_state = HardState(term)
        self._votes = {True: set(), False: set()}

    def start_round(
        self,
        log: ReplicaLog,
        pre: bool,
        now: float,
        handed_over: bool = False,
        all_restarted: bool = False,
    ) -> VoteRequest:
        """Starts a vote or pre-vote round; returns the request.

        A new pre-vote round in the same term keeps the votes already counted,
        since a reply may take longer than a round.
        """
        self._restart_timer(now, *(PRE_VOTE_RETRY_S if pre else VOTE_RETRY_S))
        if not pre:
            self.enter_term(self.term + 1)
            self.hard_state = HardState(self.term, self._identity)
        return self._request(log, pre, handed_over, all_restarted)

    def _request(
        self,
        log: ReplicaLog,
        pre: bool,
        handed_over: bool = False,
        all_restarted: bool = False,
    ) -> VoteRequest:
        return VoteRequest(
            self._identity,
            self.term + pre,
            log.last_index,
            log.last_term,
            pre,
            handed_over,
            all_restarted,
        )

    def counter_request(
        self, request: VoteRequest, log: ReplicaLog, now: float
    ) -> VoteRequest | None:
        """Returns a pre-vote request to send back to a candidate, if any.

        It lets the best candidate learn at once of the voter that restarted
        last. Only the better candidate of two sends one, so that they do not
        send requests back and forth indefinitely. After the restart wait, it
        no longer matters which voters have restarted.
        """
        if not (
            self.just_restarted and request.pre and self.has_recent_leader(now)
        ):
            return None
        if request.identity in self._restarted_voters:
            return None
        own = self._request(log, pre=True)
        return own if own.rank > request.rank else None

    def defers_to(self, request: VoteRequest, log: ReplicaLog) -> bool:
        """Returns whether a restarted voter ranks a candidate above itself."""
        if not (
            self.just_restarted and request.pre and request.term > self.term
        ):
            return False
        return request.rank > self._request(log, pre=True).rank

    def all_restarted(self, identity: str, voters: set[str]) -> bool:
        """Records a restarted voter; returns whether all voters restarted."""
        self._restarted_voters.add(identity)
        others = voters - {self._identity}
        return self.just_restarted and others <= self._restarted_voters

    def grant(self, request: VoteRequest, log: ReplicaLog, now: float) -> bool:
        """Returns whether to grant a pre-vote, or a vote in the current term.

        A granted vote is recorded in `hard_state`; a pre-vote is not. A
        candidate whose log is behind this one gets no vote, because it may
        lack committed entries.
        """
        newest = (request.last_term, request.last_index)
        if newest < (log.last_term, log.last_index):
            return False
        if request.pre:
            return request.term > self.term
        if request.term != self.term:
            return False
        if self.hard_state.voted_for not in ("", request.identity):
            return False
        self.hard_state = HardState(self.term, request.identity)
        self._restart_timer(now, MIN_ELECTION_S, MAX_ELECTION_S)
        return True

    def record_answer(self, reply: VoteReply, now: float) -> None:
        """Records that a voter answered, for reports only."""
        self.answers[reply.identity] = Answer(now, reply.granted)

    def count_vote(self, reply: VoteReply, voters: set[str]) -> bool:
        """Counts a granted vote; returns whether there is a majority."""
        if reply.term != self.term + reply.pre:
            return False
        if not reply.pre and self.hard_state.voted_for != self._identity:
            return False
        votes = self._votes[reply.pre]
        votes.add(reply.identity)
        return len(votes & voters) > len(voters) // 2

    def take_unsaved(self) -> HardState | None:
        """Returns the term and vote if they changed since the last call."""
        if self.hard_state == self._saved:
            return None
        self._saved = self.hard_state
        return self.hard_state
