"""The end of an engine's answer."""

from attrs import frozen


@frozen
class EngineFinish:
    """Last event of a complete answer.

    In a stream it stands for the closing ``[DONE]`` event, which is not relayed as
    a chunk. The engine counts the tokens; for a resumed answer the counts include
    the part before the resumption.
    """

    finish_reason: str = ""
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
