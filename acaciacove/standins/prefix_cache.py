"""A prefix cache of limited size, as model engines have."""

from collections import OrderedDict

from attrs import define, field

BLOCK_TOKENS = 16


@define
class PrefixCache:
    """Blocks of prompt prefixes with least-recently-used eviction."""

    capacity_blocks: int = 4096
    blocks: OrderedDict[int, None] = field(factory=OrderedDict)
    evicted: int = 0

    def lookup(self, version: str, words: list[str]) -> int:
        """Return the number of cached leading tokens, then cache the prompt."""
        prefixes = _prefixes(version, words)
        hits = 0
        while hits < len(prefixes) and prefixes[hits] in self.blocks:
            hits += 1
        for prefix in prefixes:
            self.insert(prefix)
        return hits * BLOCK_TOKENS

    def insert(self, prefix: int) -> None:
        """Insert a block and evict the least recently used above capacity."""
        self.blocks[prefix] = None
        self.blocks.move_to_end(prefix)
        while len(self.blocks) > self.capacity_blocks:
            self.blocks.popitem(last=False)
            self.evicted += 1


def _prefixes(version: str, words: list[str]) -> list[int]:
    """Hash every complete block together with all blocks before it."""
    prefixes = []
    running = hash(version)
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        running = hash((running, *words[start : start + BLOCK_TOKENS]))
        prefixes.append(running)
    return prefixes
