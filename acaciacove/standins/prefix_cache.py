"""A prefix cache in limited memory, as engines keep it."""

from collections import OrderedDict

from attrs import define, field

BLOCK_TOKENS = 16


@define
class PrefixCache:
    """Blocks of prompt prefixes, least recently used first out."""

    capacity_blocks: int = 4096
    blocks: OrderedDict[int, None] = field(factory=OrderedDict)
    evicted: int = 0

    def lookup(self, version: str, words: list[str]) -> int:
        """Return how many leading tokens are cached, then keep the prompt."""
        prefixes = _prefixes(version, words)
        hits = 0
        while hits < len(prefixes) and prefixes[hits] in self.blocks:
            hits += 1
        for prefix in prefixes:
            self.insert(prefix)
        return hits * BLOCK_TOKENS

    def insert(self, prefix: int) -> None:
        """Keep one block and evict the oldest when memory is full."""
        self.blocks[prefix] = None
        self.blocks.move_to_end(prefix)
        while len(self.blocks) > self.capacity_blocks:
            self.blocks.popitem(last=False)
            self.evicted += 1


def _prefixes(version: str, words: list[str]) -> list[int]:
    """Hash every whole block together with all that stands before it."""
    prefixes = []
    running = hash(version)
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        running = hash((running, *words[start : start + BLOCK_TOKENS]))
        prefixes.append(running)
    return prefixes
