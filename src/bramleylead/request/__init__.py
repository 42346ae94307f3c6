"""What lives for a request: calls of programs and their answers."""

from __future__ import annotations

from bramleylead.request._answer import AnswerBuffer
from bramleylead.request._answer import AnswerItem
from bramleylead.request._messages import AddChild
from bramleylead.request._messages import AnswerChunk
from bramleylead.request._messages import AnswerEnd
from bramleylead.request._messages import CallKind
from bramleylead.request._messages import CallRequest
from bramleylead.request._messages import EndProgram
from bramleylead.request._messages import OpenProgram
from bramleylead.request._messages import ProgramView
from bramleylead.request._messages import ReadProgram
from bramleylead.request._messages import ResumeCall

__all__ = [
    "AddChild",
    "AnswerBuffer",
    "AnswerChunk",
    "AnswerEnd",
    "AnswerItem",
    "CallKind",
    "CallRequest",
    "EndProgram",
    "OpenProgram",
    "ProgramView",
    "ReadProgram",
    "ResumeCall",
]
