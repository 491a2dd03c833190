"""Bodies of targets' answers, and whether they are complete."""

from __future__ import annotations

import attrs
from tornado import httputil

from goldcrestproxy import chunk_decoder
from goldcrestproxy.targets import answer_head


@attrs.define
class BodyReader:
    """Decodes the body of one answer as its framing says.

    What follows the end of a chunked body is dropped.
    """

    framing: answer_head.Framing
    _received_bytes: int = attrs.field(init=False, default=0)
    _decoder: chunk_decoder.ChunkDecoder = attrs.field(
        init=False,
        factory=lambda: chunk_decoder.ChunkDecoder(
            check_trailer=answer_head.check_field_line
        ),
    )

    def feed(self, data: bytes) -> bytes:
        """Return the part of the body in ``data``, which may be empty.

        :raises MalformedAnswerError: if it cannot be part of the body
        """
        match self.framing:
            case answer_head.ChunkedBody():
                return self._decode(data)
            case answer_head.BodyUntilClose():
                return data
            case answer_head.SizedBody(body_bytes=body_bytes):
                self._count(data, body_bytes)
                return data
            case answer_head.NoBody():
                self._count(data, 0)
                return data

    def end(self) -> None:
        """Check that the body is complete, at the end of the answer.

        :raises MalformedAnswerError: if it is not
        """
        match self.framing:
            case answer_head.ChunkedBody() if not self._decoder.ended:
                raise answer_head.MalformedAnswerError(
                    answer_head.AnswerRule.CHUNK, "the last chunk is missing"
                )
            case answer_head.SizedBody(body_bytes=body_bytes) if (
                self._received_bytes < body_bytes
            ):
                raise answer_head.MalformedAnswerError(
                    answer_head.AnswerRule.BODY_LENGTH,
                    f"{self._received_bytes} of {body_bytes} bytes arrived",
                )
            case _:
                pass

    def _count(self, data: bytes, body_bytes: int) -> None:
        self._received_bytes += len(data)
        if self._received_bytes > body_bytes:
            raise answer_head.MalformedAnswerError(
                answer_head.AnswerRule.BODY_LENGTH,
                f"{self._received_bytes} bytes arrived of {body_bytes}",
            )

    def _decode(self, data: bytes) -> bytes:
        if self._decoder.ended:
            return b""
        try:
            return self._decoder.feed(data, chunks_max=len(data))
        except httputil.HTTPInputError as error:
            raise answer_head.MalformedAnswerError(
                answer_head.AnswerRule.CHUNK, str(error)
            ) from error
