"""Reader of INI files into validated sections; errors name the file, section and key."""

from __future__ import annotations

from configparser import ConfigParser, Error
from typing import TYPE_CHECKING, Annotated, TypeVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, ValidationError

from ..errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path


def split_words(value: object) -> object:
    """Return the words of a string, which spaces or commas separate; other values unchanged."""
    return tuple(value.replace(",", " ").split()) if isinstance(value, str) else value


#: Tuple of words, written with spaces or commas between them.
Words = Annotated[tuple[str, ...], BeforeValidator(split_words)]


class SectionModel(BaseModel):
    """Base of all section models; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


_Model = TypeVar("_Model", bound=SectionModel)


def read_ini_file(path: Path) -> dict[str, dict[str, str]]:
    """Read one INI file and return its sections.

    Raises
    ------
    SettingsError
        If the file cannot be read or parsed.
    """
    parser = ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=path.name)
    except (OSError, UnicodeDecodeError, Error) as error:
        raise SettingsError(f"{path.name}: {error}; write an INI file in UTF-8") from error
    return {name: dict(parser[name]) for name in parser.sections()}


def read_section(
    model: type[_Model], values: dict[str, str], *, section: str, source: str
) -> _Model:
    """Validate a section's values and return them as its model.

    Raises
    ------
    SettingsError
        Naming source, section, key, bad value and what to write.
    """
    try:
        return model.model_validate(values)
    except ValidationError as error:
        raise SettingsError(_explain(error, model, section, source)) from error


def _explain(error: ValidationError, model: type[_Model], section: str, source: str) -> str:
    sentences = []
    for fault in error.errors():
        key = str(fault["loc"][0]) if fault["loc"] else "(section)"
        field = model.model_fields.get(key)
        if fault["type"] == "extra_forbidden":
            hint = f"remove it; known keys are {', '.join(model.model_fields)}"
        elif field is not None and field.description:
            hint = f"write {field.description}"
        else:
            hint = fault["msg"]
        value = "missing" if fault["type"] == "missing" else repr(fault["input"])
        sentences.append(f"{source}: [{section}] {key} = {value}: {fault['msg']}; {hint}")
    return "\n".join(sentences)


def read_sections(path: Path, models: dict[str, type[SectionModel]]) -> dict[str, SectionModel]:
    """Read a settings file and return each section as its validated model.

    Raises
    ------
    SettingsError
        Naming file, section, key, bad value and what to write.
    """
    sections = read_ini_file(path)
    unknown = sorted(set(sections) - set(models))
    if unknown:
        raise SettingsError(
            f"{path.name}: [{unknown[0]}] is unknown; write one of {', '.join(models)}"
        )
    return {
        name: read_section(model, sections.get(name, {}), section=name, source=path.name)
        for name, model in models.items()
    }
