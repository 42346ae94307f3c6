"""Routes for callers that run calls: chat completions, tool calls, resumed answers."""

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
from bramleylead.request._http_formats import ChatFormat
from bramleylead.request._http_formats import ToolFormat
from bramleylead.request._http_relay import relay_answer
from bramleylead.request._http_routes import Access
from bramleylead.request._http_routes import HttpRequest
from bramleylead.request._http_routes import route
from bramleylead.request._http_sinks import AnswerSink
from bramleylead.request._http_sinks import EventSink
from bramleylead.request._http_sinks import JsonSink
from bramleylead.request._messages import CallKind
from bramleylead.request._messages import CallRequest
from bramleylead.request._messages import ResumeCall
from bramleylead.request._one_call import end_one_call_program
from bramleylead.request._one_call import one_call_program_id
from bramleylead.request._one_call import open_implied_program

EVENT_STREAM = "text/event-stream"


@route("POST", "/v1/chat/completions", access=Access.CALLER, new_work=True)
async def complete_chat(request: HttpRequest) -> Result[None, Failure]:
    """Run one model call, in the named program or in a new one-call program."""
    headers = _read_headers(request)
    if isinstance(headers, Err):
        return headers
    call = headers.ok_value
    _set_call_ref(request, call)
    body = await request.read_model(ChatBody)
    if isinstance(body, Err):
        return body
    chat = body.ok_value
    if not call.program:
        request.call_ref.program = one_call_program_id(request, call.key)
    opened = await open_implied_program(request, call, chat.model)
    if isinstance(opened, Err):
        return opened
    if call.program:
        return await _run_chat(request, call, chat)
    result: Result[None, Failure] = Ok(None)
    try:
        result = await _run_chat(request, call._replace(number=1), chat)
    finally:
        if not _may_be_retried(call, result):
            await end_one_call_program(request)
    return result


@route("POST", "/v1/programs/{program}/tools/{tool}", access=Access.CALLER, new_work=True)
async def call_tool(request: HttpRequest) -> Result[None, Failure]:
    """Run one tool call of a program."""
    headers = _read_headers(request)
    if isinstance(headers, Err):
        return headers
    call = headers.ok_value
    _set_call_ref(request, call)
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
    streaming = EVENT_STREAM in request.exchange.headers.get("accept", "")
    sink_type = EventSink if streaming else JsonSink
    sink: AnswerSink = sink_type(request.exchange, request.call_ref, ToolFormat())
    answer_stream = request.service.call(message)
    return await relay_answer(request, answer_stream, sink, deadline_s=call.deadline_s)


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
    request.call_ref.program = request.arguments["program"]
    request.call_ref.number = int(number)
    message = ResumeCall(
        request.branch, request.call_ref.program, int(number), int(offset), deadline_s
    )
    sink = EventSink(request.exchange, request.call_ref, _chat_format(request, model=""))
    answer_stream = request.service.resume(message)
    return await relay_answer(
        request, answer_stream, sink, deadline_s=deadline_s, offset=message.offset
    )


async def _run_chat(
    request: HttpRequest, call: CallHeaders, chat: ChatBody
) -> Result[None, Failure]:
    message = CallRequest(
        branch=request.branch,
        program=request.call_ref.program,
        number=call.number,
        incarnation=call.incarnation,
        key=call.key,
        call_kind=CallKind.MODEL,
        target=chat.model,
        messages=chat.role_text_pairs,
        whole_history=call.whole_history,
        arguments={},
        max_tokens=chat.output_limit,
        deadline_s=call.deadline_s,
    )
    sink_type = EventSink if chat.stream else JsonSink
    chat_format = _chat_format(request, model=chat.model)
    sink: AnswerSink = sink_type(request.exchange, request.call_ref, chat_format)
    answer_stream = request.service.call(message)
    return await relay_answer(request, answer_stream, sink, deadline_s=call.deadline_s)


def _read_headers(request: HttpRequest) -> Result[CallHeaders, Failure]:
    return read_call_headers(
        request.exchange.headers,
        default_deadline_s=request.settings.default_deadline_s,
        path_program=request.arguments.get("program", ""),
    )


def _set_call_ref(request: HttpRequest, call: CallHeaders) -> None:
    request.call_ref.program = call.program
    request.call_ref.number = call.number
    request.call_ref.incarnation = call.incarnation


def _may_be_retried(call: CallHeaders, result: Result[None, Failure]) -> bool:
    """Whether a retry with the same idempotency key could succeed.

    The one-call program then stays open; after a permanent refusal it is ended.
    """
    if not call.key or isinstance(result, Ok):
        return False
    answer = result.err_value.answer
    return answer.retry_after_s is not None or answer.ran is not Ran.NOT_RUN


def _chat_format(request: HttpRequest, *, model: str) -> ChatFormat:
    return ChatFormat(request.call_ref, model=model, created_s=int(request.wall_clock()))
