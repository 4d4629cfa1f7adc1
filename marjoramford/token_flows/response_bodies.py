"""Reads bodies of HTTP responses completely, up to a limit."""

import aiohttp


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the complete body of a response.

    Raises:
        aiohttp.ClientPayloadError: the body is longer than `max_bytes`, or ended early.
    """
    chunks: list[bytes] = []
    size = 0
    # `content.read(n)` returns what has arrived so far, which may be less than the body.
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            raise aiohttp.ClientPayloadError(
                f"expected a body of at most {max_bytes} bytes from {response.url}, got more"
            )
        chunks.append(chunk)
    return b"".join(chunks)
