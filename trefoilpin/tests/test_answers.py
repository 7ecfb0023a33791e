"""Saved answers stay within their bounds of bytes and time."""

from trefoilpin import answers
from trefoilpin.messages import Answer
from trefoilpin.operation_messages import SavedAnswer

BOUNDS = answers.AnswerBounds(max_bytes=2000, max_total_bytes=3000, seconds=10.0)


def test_first_answer_is_kept_until_it_expires():
    state = answers.SavedAnswers()
    first = SavedAnswer(200, (), b"first")
    answers.save(state, "i", b"k", first, 0.0, 0.0, BOUNDS)
    answers.save(state, "i", b"k", SavedAnswer(200, (), b"second"), 1.0, 1.0, BOUNDS)
    assert answers.find(state, "i", b"k", 9.9, BOUNDS) == first
    assert answers.find(state, "i", b"k", 10.0, BOUNDS) is None
    assert answers.restore(first) == Answer(200, (), b"first")


def test_oldest_answer_is_dropped_beyond_the_total_size():
    state = answers.SavedAnswers()
    for number in range(10):
        saved = SavedAnswer(200, (("a", "b"),), b"x" * 500)
        answers.save(state, "i", b"%d" % number, saved, 0.0, 0.0, BOUNDS)
        assert state.total_bytes <= BOUNDS.max_total_bytes
    assert answers.find(state, "i", b"0", 0.0, BOUNDS) is None
    assert answers.find(state, "i", b"9", 0.0, BOUNDS) is not None


def test_large_and_streamed_answers_are_not_saved():
    assert answers.to_saved(Answer(200, (), b"x" * 2001), 2000) is None
    assert answers.to_saved(Answer(200, (), b"", iter(())), 2000) is None
    assert answers.to_saved(None, 2000) is None
