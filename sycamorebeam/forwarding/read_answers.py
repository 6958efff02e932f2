"""Answers other instances that ask for reads of the store."""

from collections.abc import Iterable
import enum

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import instances as instances_module
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import read_cache
from sycamorebeam.forwarding import read_questions
from sycamorebeam.peering import messages

# Instances that see listings of different times disagree on who owns a queue;
# those that read at one pace ask within this time of each other.
LISTING_AGE_MS = 300
# Who has lost the store is told at once of a read that began this recently,
# also where nothing is new.
FRESH_MS = followers.STATE_WAIT_MS


class Topic(enum.Enum):
    """A part of the store."""

    STATE = 'state'
    TARGETS = 'targets'
    INSTANCES = 'instances'


class ReadAnswers:
    """Keeps what was read last, and answers or holds questions for it."""

    def __init__(
        self,
        clock: clocks.Clock,
        own: instances_module.InstanceEntry,
        links: peer_links.PeerLinks,
    ) -> None:
        self._clock = clock
        self._precedence = instances_module.read_precedence(
            own.instance_id, is_strong=own.is_strong
        )
        self._caches = {topic: read_cache.ReadCache() for topic in Topic}
        self._questions = {
            topic: read_questions.ReadQuestions() for topic in Topic
        }
        self._is_away = dict.fromkeys(Topic, False)
        links.add_handler(self._serve)

    def is_away(self, topic: Topic) -> bool:
        """Whether this instance's last read of the store failed."""
        return self._is_away[topic]

    def questions(self, topic: Topic) -> read_questions.ReadQuestions:
        """Return the questions that wait for a part of the store."""
        return self._questions[topic]

    def publish(
        self,
        topic: Topic,
        rows: Iterable[read_cache.Row],
        position: int,
        is_whole: bool,
        began_ms: int,
    ) -> None:
        """Keep what was read, and answer those who wait for it."""
        self._is_away[topic] = False
        self._caches[topic].put(rows, position, is_whole, began_ms)
        for question in self._questions[topic].take():
            self._answer(topic, question)

    def refuse_all(self, topic: Topic) -> None:
        """Note that the store is not reached, and send away who waits."""
        self._is_away[topic] = True
        for question in self._questions[topic].take():
            question.refuse()

    def _serve(
        self, served: peer_links.InboundLink, message: messages.Message
    ) -> None:
        match message:
            case messages.RequestSharedRead(call_id, name, position):
                question = read_questions.Question(
                    served,
                    call_id,
                    position,
                    self._clock.boottime_ms(),
                    self._may_wait(served.instance_id, message),
                    message.is_waiting,
                )
                try:
                    topic = Topic(name)
                except ValueError:
                    telemetry.log_event(
                        'read_refused', 'WARNING', part=name, reason='unknown'
                    )
                    question.refuse()
                else:
                    self._serve_read(topic, question)

    def _may_wait(
        self, instance_id: str, question: messages.RequestSharedRead
    ) -> bool:
        """Whether an asker cannot be part of a circle with this instance."""
        precedence = instances_module.read_precedence(
            instance_id, is_strong=question.is_strong
        )
        return question.refuses_all or precedence < self._precedence

    def _serve_read(
        self, topic: Topic, question: read_questions.Question
    ) -> None:
        if self._is_away[topic]:
            question.refuse()
        elif self._has_answer(topic, question):
            self._answer(topic, question)
        else:
            self._questions[topic].hold(question)

    def _has_answer(
        self, topic: Topic, question: read_questions.Question
    ) -> bool:
        cache = self._caches[topic]
        if cache.began_ms is None:
            return False
        age_ms = question.received_ms - cache.began_ms
        if topic is Topic.INSTANCES:
            return age_ms <= LISTING_AGE_MS
        if not question.is_waiting and age_ms <= FRESH_MS:
            return True
        return cache.has_news(question.position)

    def _answer(self, topic: Topic, question: read_questions.Question) -> None:
        cache = self._caches[topic]
        assert cache.began_ms is not None
        found = cache.since(question.position)
        question.served.stream.send(
            messages.SharedRead(
                question.call_id,
                found.position,
                found.is_whole,
                [[row.key, row.record] for row in found.rows],
                question.received_ms - cache.began_ms,
            )
        )
