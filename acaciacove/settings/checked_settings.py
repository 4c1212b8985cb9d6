"""The base class of all settings, which checks them on construction."""

from attrs import fields, frozen

from acaciacove.errors import InvalidSettingsError
from acaciacove.settings.checks import CHECK, Check


def field_faults(cls: type, values: dict[str, object]) -> list[str]:
    """List the faults of single values, one sentence each."""
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
    """Settings that are valid once constructed.

    Construction raises InvalidSettingsError with all faults, so that an operator
    need not correct one setting and restart to find the next fault.
    """

    def __attrs_post_init__(self) -> None:
        """Check each field, then the constraints between fields."""
        values = {a.name: getattr(self, a.name) for a in fields(type(self))}
        faults = field_faults(type(self), values) + self.cross_field_faults()
        if faults:
            raise InvalidSettingsError(faults)

    def cross_field_faults(self) -> list[str]:
        """List violated constraints between fields; subclasses override this."""
        return []
