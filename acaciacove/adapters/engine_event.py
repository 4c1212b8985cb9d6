"""Events that an engine call yields."""

from acaciacove.adapters.engine_chunk import EngineChunk
from acaciacove.adapters.engine_finish import EngineFinish
from acaciacove.adapters.engine_head import EngineHead
from acaciacove.refusal import Refusal

EngineEvent = EngineHead | EngineChunk | EngineFinish | Refusal
