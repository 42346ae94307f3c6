"""Callers' routes that run calls: chat completions, tool calls, resumed answers."""

from __future__ import annotations

import re

from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.errors import Ran
from bramleylead.request._http_bodies import MAX_DEADLINE_S
from bramleylead.request._http_bodies import NUMBER_PATTERN
from bramleylead.request._http_bodies import CallHeaders
from bramleylead.request._http_bodies import ChatBody
from bramleylead.request._http_bodies import ToolBody
from bramleylead.request._http_bodies import read_call_headers
from bramleylead.request._http_follow import follow_answer
from bramleylead.request._http_routes import Access
from bramleylead.request._http_routes import HttpRequest
from bramleylead.request._http_routes import route
from bramleylead.request._http_shapes import ChatShape
from bramleylead.request._http_shapes import ToolShape
from bramleylead.request._http_sinks import AnswerSink
from bramleylead.request._http_sinks import EventSink
from bramleylead.request._http_sinks import JsonSink
from bramleylead.request._messages import CallKind
from bramleylead.request._messages import CallRequest
from bramleylead.request._messages import ResumeCall
from bramleylead.request._one_call import end_one_call
from bramleylead.request._one_call import one_call_program
from bramleylead.request._one_call import open_for_call

EVENT_STREAM = "text/event-stream"


@route("POST", "/v1/chat/completions", access=Access.CALLER, new_work=True)
async def complete_chat(request: HttpRequest) -> Result[None, Failure]:
    """Run one model call, in a program or as a one-call program."""
    headers = _read_headers(request)
    if isinstance(headers, Err):
        return headers
    call = headers.ok_value
    _place_call(request, call)
    body = await request.read_model(ChatBody)
    if isinstance(body, Err):
        return body
    chat = body.ok_value
    if not call.program:
        request.place.program = one_call_program(request, call.key)
    opened = await open_for_call(request, call, chat.model)
    if isinstance(opened, Err):
        return opened
    if call.program:
        return await _run_chat(request, call, chat)
    result: Result[None, Failure] = Ok(None)
    try:
        result = await _run_chat(request, call._replace(number=1), chat)
    finally:
        if not _may_come_back(call, result):
            await end_one_call(request)
    return result


@route("POST", "/v1/programs/{program}/tools/{tool}", access=Access.CALLER, new_work=True)
async def call_tool(request: HttpRequest) -> Result[None, Failure]:
    """Run one tool call of a program."""
    headers = _read_headers(request)
    if isinstance(headers, Err):
        return headers
    call = headers.ok_value
    _place_call(request, call)
    body = await request.read_model(ToolBody)
    if isinstance(body, Err):
        return body
    message = CallRequest(
        branch=request.branch,
        program=call.program,
        number=call.number,
        incarnation=call.incarnation,
        key=call.key,
        call_kind=CallKind.TOOL,
        target=request.arguments["tool"],
        messages=(),
        whole_history=False,
        arguments=body.ok_value.arguments,
        max_tokens=0,
        deadline_s=call.deadline_s,
    )
    streamed = EVENT_STREAM in request.exchange.headers.get("accept", "")
    kind = EventSink if streamed else JsonSink
    sink: AnswerSink = kind(request.exchange, request.place, ToolShape())
    answer = request.service.call(message)
    return await follow_answer(request, answer, sink, deadline_s=call.deadline_s)


@route("GET", "/v1/programs/{program}/calls/{number}/answer", access=Access.CALLER)
async def resume_answer(request: HttpRequest) -> Result[None, Failure]:
    """Send a running or finished answer again, from an offset in characters."""
    headers = _read_headers(request)
    if isinstance(headers, Err):
        return headers
    number, offset = request.arguments["number"], request.exchange.query.get("offset", "0")
    for name, value in (("call number", number), ("offset", offset)):
        if not re.fullmatch(NUMBER_PATTERN, value):
            detail = f"{name}: {value}: must be a whole number"
            return Err(Failure(ErrorKind.MALFORMED, detail))
    deadline_s = min(headers.ok_value.deadline_s, MAX_DEADLINE_S)
    request.place.program = request.arguments["program"]
    request.place.number = int(number)
    message = ResumeCall(
        request.branch, request.place.program, int(number), int(offset), deadline_s
    )
    sink = EventSink(request.exchange, request.place, _chat_shape(request, model=""))
    answer = request.service.resume(message)
    return await follow_answer(request, answer, sink, deadline_s=deadline_s, offset=message.offset)


async def _run_chat(
    request: HttpRequest, call: CallHeaders, chat: ChatBody
) -> Result[None, Failure]:
    message = CallRequest(
        branch=request.branch,
        program=request.place.program,
        number=call.number,
        incarnation=call.incarnation,
        key=call.key,
        call_kind=CallKind.MODEL,
        target=chat.model,
        messages=chat.pairs,
        whole_history=call.whole_history,
        arguments={},
        max_tokens=chat.output_limit,
        deadline_s=call.deadline_s,
    )
    kind = EventSink if chat.stream else JsonSink
    shape = _chat_shape(request, model=chat.model)
    sink: AnswerSink = kind(request.exchange, request.place, shape)
    answer = request.service.call(message)
    return await follow_answer(request, answer, sink, deadline_s=call.deadline_s)


def _read_headers(request: HttpRequest) -> Result[CallHeaders, Failure]:
    return read_call_headers(
        request.exchange.headers,
        default_deadline_s=request.settings.default_deadline_s,
        path_program=request.arguments.get("program", ""),
    )


def _place_call(request: HttpRequest, call: CallHeaders) -> None:
    request.place.program = call.program
    request.place.number = call.number
    request.place.incarnation = call.incarnation


def _may_come_back(call: CallHeaders, result: Result[None, Failure]) -> bool:
    """Whether the caller may ask again, under its idempotency key, with success.

    Its one-call program is then left open; a refusal that no repeat can change ends it.
    """
    if not call.key or isinstance(result, Ok):
        return False
    answer = result.err_value.answer
    return answer.retry_after_s is not None or answer.ran is not Ran.NOT_RUN


def _chat_shape(request: HttpRequest, *, model: str) -> ChatShape:
    return ChatShape(request.place, model=model, created_s=int(request.wall_clock()))
