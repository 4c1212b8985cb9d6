"""The base of all settings: checked whole when they are made."""

from attrs import fields, frozen

from acaciacove.errors import InvalidSettingsError
from acaciacove.settings.checks import CHECK, Check


def field_faults(cls: type, values: dict[str, object]) -> list[str]:
    """List what is wrong with single values, one sentence each."""
    faults = []
    for attribute in fields(cls):
        check: Check | None = attribute.metadata.get(CHECK)
        if check is None or attribute.name not in values:
            continue
        fault = check(values[attribute.name])
        if fault is not None:
            faults.append(f"{attribute.name} {fault}")
    return faults


@frozen
class CheckedSettings:
    """Settings that cannot be made with a fault in them.

    Raises InvalidSettingsError with every fault at once, so that nobody mends
    one setting, restarts, and finds the next.
    """

    def __attrs_post_init__(self) -> None:
        """Check every field, then what holds between them."""
        values = {a.name: getattr(self, a.name) for a in fields(type(self))}
        faults = field_faults(type(self), values) + self.cross_field_faults()
        if faults:
            raise InvalidSettingsError(faults)

    def cross_field_faults(self) -> list[str]:
        """List what is wrong between fields; none unless a class says so."""
        return []
