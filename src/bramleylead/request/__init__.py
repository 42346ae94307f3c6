"""The HTTP interface for callers and operators, and the messages between entry node and owner."""

from __future__ import annotations

from bramleylead.http._server import HttpServer
from bramleylead.request._answer_buffer import AnswerBuffer
from bramleylead.request._http_app import HttpApp
from bramleylead.request._keys import find_branch
from bramleylead.request._keys import hash_key
from bramleylead.request._keys import key_matches
from bramleylead.request._messages import AddChild
from bramleylead.request._messages import AnswerChunk
from bramleylead.request._messages import AnswerEnd
from bramleylead.request._messages import AnswerStart
from bramleylead.request._messages import CallKind
from bramleylead.request._messages import CallRequest
from bramleylead.request._messages import EndProgram
from bramleylead.request._messages import LivePrograms
from bramleylead.request._messages import OpenProgram
from bramleylead.request._messages import ProgramView
from bramleylead.request._messages import ReadProgram
from bramleylead.request._messages import ResumeCall
from bramleylead.request._service import CallItem
from bramleylead.request._service import NodeService
from bramleylead.request._service import NodeTicket
from bramleylead.request._service import TicketAccepted
from bramleylead.request._service import TicketState
from bramleylead.request._service import TicketStatus
from bramleylead.request._service import TicketSummary

__all__ = [
    "AddChild",
    "AnswerBuffer",
    "AnswerChunk",
    "AnswerEnd",
    "AnswerStart",
    "CallItem",
    "CallKind",
    "CallRequest",
    "EndProgram",
    "HttpApp",
    "HttpServer",
    "LivePrograms",
    "NodeService",
    "NodeTicket",
    "OpenProgram",
    "ProgramView",
    "ReadProgram",
    "ResumeCall",
    "TicketAccepted",
    "TicketState",
    "TicketStatus",
    "TicketSummary",
    "find_branch",
    "hash_key",
    "key_matches",
]
