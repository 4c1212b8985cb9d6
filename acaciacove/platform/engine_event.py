"""What an engine call yields."""

from acaciacove.platform.engine_finish import EngineFinish
from acaciacove.platform.engine_head import EngineHead
from acaciacove.platform.engine_piece import EnginePiece
from acaciacove.refusal import Refusal

EngineEvent = EngineHead | EnginePiece | EngineFinish | Refusal
